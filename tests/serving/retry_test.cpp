#include "serving/retry_budget.hpp"
#include "serving/simulation.hpp"
#include "serving/version_selection.hpp"

#include <catch2/catch.hpp>

using namespace bergamotusher;
using namespace bergamotusher::serving_test;

namespace
{

int dispatches_of(const simulation& sim)
{
    int sum = 0;
    for (const auto& [prompt, count] : sim.dispatches)
        sum += count;
    return sum;
}

} // namespace

TEST_CASE("Retries add at most a fifth to the load when upstreams fail")
{
    simulation sim;
    for (auto& [id, upstream] : sim.upstreams)
    {
        upstream.slots = 1'000;
        upstream.failing = upstream.domain.value != "domain0";
    }
    const int sent = 1'000;
    for (int i = 0; i < sent; ++i)
    {
        send(sim, stream_request("b" + std::to_string(i), 2));
        run_for(sim, 20ms);
    }
    CHECK(dispatches_of(sim) > sent);
    CHECK(dispatches_of(sim) <= sent + sent / 5);
    CHECK(sim.entries[0].counters.budget_waits > 0);

    SECTION("Accepted requests complete after the upstreams recover")
    {
        for (auto& [id, upstream] : sim.upstreams)
            upstream.failing = false;
        for (int i = 0; i < sent; ++i)
        {
            send(sim, stream_request("c" + std::to_string(i), 2));
            run_for(sim, 20ms);
        }
        run_until_answered(sim, 40s);
        CHECK(sim.callers["r-b999"].text == expected_text("b999", 2));
    }
}

TEST_CASE("A retry keeps the deadline and prefers another failure domain")
{
    simulation sim;
    bool failed = false;
    sim.step_hook = [&](request_step step, std::uint64_t, fake_attempt& attempt)
    {
        if (step == request_step::first_byte_sent && !failed)
        {
            failed = true;
            break_connection(sim, attempt);
        }
    };
    send(sim, stream_request("late", 5));
    run_for(sim, 30ms);
    const choice_request& first = sim.routing_queries.front();
    const choice_request& second = sim.routing_queries.back();
    CHECK(second.time_left < first.time_left);
    CHECK(second.excluded.size() == 1);
    CHECK(second.avoided.size() == 1);
    run_until_answered(sim, 5s);
    CHECK(sim.callers["r-late"].text == expected_text("late", 5));
}

TEST_CASE("A service with a retry share of zero is not retried")
{
    simulation sim;
    sim.config->services[{"llm"}].retry_percent = 0;
    for (auto& [id, upstream] : sim.upstreams)
        upstream.failing = true;
    send(sim, stream_request("once", 2));
    run_for(sim, 100ms);
    CHECK(sim.dispatches["once"] == 1);
    const fake_caller& caller = sim.callers["r-once"];
    REQUIRE(caller.error);
    CHECK(caller.error->error.kind == error_kind::upstream_failed);
    CHECK(caller.error->run == run_claim::unknown);
}

TEST_CASE("A request is rejected at once if no upstream is known")
{
    simulation sim;
    for (auto& [id, upstream] : sim.upstreams)
        upstream.listed = false;
    const fake_caller& caller = send(sim, stream_request("none", 2));
    REQUIRE(caller.error);
    CHECK(caller.error->error.kind == error_kind::no_upstream);
    CHECK(caller.error->run == run_claim::not_run);
    CHECK(caller.error->retry_after.has_value());
}

TEST_CASE("The traffic split selects the version of an attempt")
{
    configuration config;
    auto& shares = config.splits[{"llm"}];
    shares = {
        {{"old"}, 0.95, {}, false},
        {{"new"}, 0.05, {{"llm3"}}, true},
        {{"taken back"}, 0, {}, false}};

    SECTION("First attempts are split by share")
    {
        int trials = 0;
        for (std::uint64_t draw = 0; draw < 1'000'000; draw += 1'000)
            trials += serving::version_candidates(config, {"llm"}, {}, draw)
                          .front()
                          .versions.front() == version_name{"new"};
        CHECK(trials == 50);
    }
    SECTION("Later attempts avoid versions on trial or without a share")
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
