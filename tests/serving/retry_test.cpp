#include "serving/retry_budget.hpp"
#include "serving/version_draw.hpp"
#include "serving/world.hpp"

#include <catch2/catch.hpp>

using namespace bergamotusher;
using namespace bergamotusher::serving_test;

namespace
{

int dispatches_of(const world& w)
{
    int sum = 0;
    for (const auto& [prompt, count] : w.dispatches)
        sum += count;
    return sum;
}

} // namespace

TEST_CASE("In a brown-out the work offered grows by a fifth at the most")
{
    world w;
    for (auto& [id, one] : w.upstreams)
    {
        one.slots = 1'000;
        one.failing = one.domain.value != "domain0";
    }
    const int sent = 1'000;
    for (int i = 0; i < sent; ++i)
    {
        send(w, stream_request("b" + std::to_string(i), 2));
        run_for(w, 20ms);
    }
    CHECK(dispatches_of(w) > sent);
    CHECK(dispatches_of(w) <= sent + sent / 5);
    CHECK(w.entries[0].counters.budget_waits > 0);

    SECTION("and what was accepted ends when the upstreams are well again")
    {
        for (auto& [id, one] : w.upstreams)
            one.failing = false;
        for (int i = 0; i < sent; ++i)
        {
            send(w, stream_request("c" + std::to_string(i), 2));
            run_for(w, 20ms);
        }
        run_until_answered(w, 40s);
        CHECK(w.callers["r-b999"].text == expected_text("b999", 2));
    }
}

TEST_CASE("A retry keeps the first deadline and goes to another domain")
{
    world w;
    bool failed = false;
    w.hook = [&](life_step step, std::uint64_t, fake_attempt& attempt)
    {
        if (step == life_step::first_byte_sent && !failed)
        {
            failed = true;
            cut(w, attempt);
        }
    };
    send(w, stream_request("late", 5));
    run_for(w, 30ms);
    const choice_request& first = w.questions.front();
    const choice_request& second = w.questions.back();
    CHECK(second.time_left < first.time_left);
    CHECK(second.excluded.size() == 1);
    CHECK(second.avoided.size() == 1);
    run_until_answered(w, 5s);
    CHECK(w.callers["r-late"].text == expected_text("late", 5));
}

TEST_CASE("A service without retries has none")
{
    world w;
    w.config->services[{"llm"}].retry_percent = 0;
    for (auto& [id, one] : w.upstreams)
        one.failing = true;
    send(w, stream_request("once", 2));
    run_for(w, 100ms);
    CHECK(w.dispatches["once"] == 1);
    const fake_caller& caller = w.callers["r-once"];
    REQUIRE(caller.error);
    CHECK(caller.error->error.kind == error_kind::upstream_failed);
    CHECK(caller.error->run == run_claim::unknown);
}

TEST_CASE("A request with no upstream at all is refused at once")
{
    world w;
    for (auto& [id, one] : w.upstreams)
        one.listed = false;
    const fake_caller& caller = send(w, stream_request("none", 2));
    REQUIRE(caller.error);
    CHECK(caller.error->error.kind == error_kind::no_upstream);
    CHECK(caller.error->run == run_claim::not_run);
    CHECK(caller.error->retry_after.has_value());
}

TEST_CASE("The split decides the version of a first attempt")
{
    configuration config;
    auto& shares = config.splits[{"llm"}];
    shares = {
        {{"old"}, 0.95, {}, false},
        {{"new"}, 0.05, {{"llm3"}}, true},
        {{"taken back"}, 0, {}, false}};

    SECTION("about by its share")
    {
        int trials = 0;
        for (std::uint64_t draw = 0; draw < 1'000'000; draw += 1'000)
            trials += serving::version_candidates(config, {"llm"}, {}, draw)
                          .front()
                          .versions.front() == version_name{"new"};
        CHECK(trials == 50);
    }
    SECTION("a later attempt stays off the trial and off what has no share")
    {
        for (std::uint64_t draw = 0; draw < 1'000'000; draw += 10'000)
            for (const char* current : {"new", "old", "taken back"})
                for (const auto& candidate : serving::version_candidates(
                         config, {"llm"}, {current}, draw))
                    CHECK(
                        candidate.versions ==
                        std::vector<version_name>{{"old"}});
    }
}
