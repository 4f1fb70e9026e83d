#include "serving/world.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace bergamotusher;
using namespace bergamotusher::serving_test;

namespace
{

/// `prompt` crashes each upstream that comes to its third token.
void make_deadly(world& w, const std::string& prompt)
{
    w.hook =
        [&w, prompt](life_step step, std::uint64_t index, fake_attempt& attempt)
    {
        if (step == life_step::token && index >= 3 &&
            attempt.prompt.starts_with(prompt))
            kill(w, attempt.sent.target);
    };
}

int dead_upstreams(const world& w)
{
    return static_cast<int>(std::count_if(
        w.upstreams.begin(),
        w.upstreams.end(),
        [](const auto& item) { return !item.second.alive; }));
}

void check_whole(const fake_caller& caller, std::uint64_t length)
{
    const std::string prompt = caller.request.id.value.substr(2);
    CHECK_FALSE(caller.error.has_value());
    CHECK(caller.complaint.empty());
    CHECK((caller.text == expected_text(prompt, length)));
}

caller_request resend(caller_request request, const std::string& id)
{
    request.id = {id};
    return request;
}

} // namespace

TEST_CASE("A request that crashes upstreams is stopped after two")
{
    world w(2);
    make_deadly(w, "deadly");
    const caller_request deadly = stream_request("deadly", 10);
    send(w, deadly);
    for (int i = 0; i < 24; ++i)
        send(w, stream_request("good" + std::to_string(i), 60));
    run_until_answered(w, 30s);

    CHECK(dead_upstreams(w) == 2);
    const fake_caller& caller = w.callers["r-deadly"];
    REQUIRE(caller.error);
    CHECK(caller.error->error.kind == error_kind::quarantined);
    CHECK(caller.error->run == run_claim::unknown);
    CHECK(w.entries[0].counters.quarantined == 1);
    for (int i = 0; i < 24; ++i)
        check_whole(w.callers["r-good" + std::to_string(i)], 60);

    SECTION("its resends are refused here and at the other entry")
    {
        for (std::size_t entry : {0U, 1U})
        {
            const fake_caller& again =
                send(w, resend(deadly, "again" + std::to_string(entry)), entry);
            REQUIRE(again.error);
            CHECK(again.error->error.kind == error_kind::quarantined);
            CHECK(again.error->run == run_claim::not_run);
        }
        CHECK(dead_upstreams(w) == 2);
    }
}

TEST_CASE("Two entries add their evidence up")
{
    world w(2);
    make_deadly(w, "deadly");
    const caller_request deadly = stream_request("deadly", 10);
    w.entries[0].options.limits.attempts = 1;
    send(w, deadly, 0);
    run_for(w, 3s);
    CHECK(dead_upstreams(w) == 1);
    send(w, resend(deadly, "r-again"), 1);
    run_for(w, 5s);
    CHECK(dead_upstreams(w) == 2);
    CHECK(w.callers["r-again"].error->error.kind == error_kind::quarantined);
    const fake_caller& third = send(w, resend(deadly, "r-third"), 0);
    REQUIRE(third.error);
    CHECK(third.error->error.kind == error_kind::quarantined);
}

TEST_CASE("Neighbours by chance are told from the guilty one")
{
    world w;
    for (auto& [id, one] : w.upstreams)
    {
        one.slots = 30;
        if (one.service.value == "llm" && id.value > "llm1")
            one.listed = false;
    }
    make_deadly(w, "deadly");
    send(w, stream_request("deadly", 10));
    for (int i = 0; i < 20; ++i)
        send(w, stream_request("good" + std::to_string(i), 200));
    run_for(w, 30ms);
    for (auto& [id, one] : w.upstreams)
        one.listed = one.alive;
    run_until_answered(w, 40s);
    CHECK(w.entries[0].counters.quarantined == 1);
    CHECK(w.callers["r-deadly"].error->error.kind == error_kind::quarantined);
    for (int i = 0; i < 20; ++i)
        check_whole(w.callers["r-good" + std::to_string(i)], 200);
    CHECK(dead_upstreams(w) == 2);
}

TEST_CASE("Deaths that are no evidence")
{
    world w;
    const fake_caller& caller = send(w, stream_request("innocent", 400));
    for (int i = 0; i < 5; ++i)
        send(w, stream_request("other" + std::to_string(i), 400));
    const auto at = [&w]
    {
        for (const auto& [id, attempt] : w.attempts)
            if (attempt.prompt == "innocent")
                return attempt.sent.target;
        return upstream_id{};
    };

    SECTION("under notice")
    {
        for (int i = 0; i < 2; ++i)
        {
            run_for(w, 300ms);
            const upstream_id target = at();
            feed(w, 0, upstream_leaves{target, w.now + duration(60s)});
            kill(w, target);
        }
    }
    SECTION("a notice that comes just after the connections broke")
    {
        for (int i = 0; i < 2; ++i)
        {
            run_for(w, 300ms);
            const upstream_id target = at();
            for (auto& [id, attempt] : w.attempts)
                if (attempt.sent.target == target)
                    cut(w, attempt);
            run_for(w, 20ms);
            give_notice(w, target, 400ms);
            run_for(w, 1s);
        }
    }
    SECTION("the loss of a domain that the directory knows of")
    {
        for (int i = 0; i < 2; ++i)
        {
            run_for(w, 300ms);
            kill(w, at(), true);
        }
    }
    SECTION("upstreams of one domain that die together")
    {
        for (int i = 0; i < 2; ++i)
        {
            run_for(w, 300ms);
            const failure_domain domain = w.upstreams[at()].domain;
            for (const auto& [id, one] : std::map(w.upstreams))
                if (one.domain == domain)
                    kill(w, id);
            run_for(w, 2s);
        }
    }
    SECTION("connections that break while the upstreams live on")
    {
        for (int i = 0; i < 3; ++i)
        {
            run_for(w, 2s);
            for (auto& [id, attempt] : w.attempts)
                if (attempt.prompt == "innocent")
                    cut(w, attempt);
        }
    }
    run_until_answered(w, 40s);
    check_whole(caller, 400);
    CHECK(w.entries[0].counters.quarantined == 0);
}

TEST_CASE("A suspect that ends well is clear")
{
    world w;
    const std::uint64_t length = GENERATE(30, 120);
    const caller_request request = stream_request("unlucky", length);
    for (int i = 0; i < 3; ++i)
    {
        const fake_caller& caller =
            send(w, resend(request, "r" + std::to_string(i)));
        run_for(w, 200ms);
        REQUIRE(w.attempts.size() == 1);
        kill(w, w.attempts.begin()->second.sent.target);
        run_until_answered(w, 10s);
        CHECK_FALSE(caller.error.has_value());
        run_for(w, 3s);
    }
    CHECK(w.entries[0].counters.quarantined == 0);
}
