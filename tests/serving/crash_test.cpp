#include "serving/simulation.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <limits>

using namespace bergamotusher;
using namespace bergamotusher::serving_test;

namespace
{

/// Makes every request for `prompt` crash its upstream from token 3 on.
void crash_upstreams_on(simulation& sim, const std::string& prompt)
{
    sim.step_hook =
        [&sim,
         prompt](request_step step, std::uint64_t index, fake_attempt& attempt)
    {
        if (step == request_step::token && index >= 3 &&
            attempt.prompt.starts_with(prompt))
            kill_upstream(sim, attempt.sent.target);
    };
}

int dead_upstreams(const simulation& sim)
{
    return static_cast<int>(std::count_if(
        sim.upstreams.begin(),
        sim.upstreams.end(),
        [](const auto& item) { return !item.second.alive; }));
}

void check_complete(const fake_caller& caller, std::uint64_t length)
{
    const std::string prompt = caller.request.id.value.substr(2);
    CHECK_FALSE(caller.error.has_value());
    CHECK(caller.protocol_error.empty());
    CHECK((caller.text == expected_text(prompt, length)));
}

caller_request resend(caller_request request, const std::string& id)
{
    request.id = {id};
    return request;
}

} // namespace

TEST_CASE("A request is quarantined after it crashed two upstreams")
{
    simulation sim(2);
    crash_upstreams_on(sim, "deadly");
    const caller_request deadly = stream_request("deadly", 10);
    send(sim, deadly);
    for (int i = 0; i < 24; ++i)
        send(sim, stream_request("good" + std::to_string(i), 60));
    run_until_answered(sim, 30s);

    CHECK(dead_upstreams(sim) == 2);
    const fake_caller& caller = sim.callers["r-deadly"];
    REQUIRE(caller.error);
    CHECK(caller.error->error.kind == error_kind::quarantined);
    CHECK(caller.error->run == run_claim::unknown);
    CHECK(sim.entries[0].counters.quarantined == 1);
    for (int i = 0; i < 24; ++i)
        check_complete(sim.callers["r-good" + std::to_string(i)], 60);

    SECTION("Resends are rejected at this entry and at the other one")
    {
        for (std::size_t entry : {0U, 1U})
        {
            const fake_caller& again = send(
                sim, resend(deadly, "again" + std::to_string(entry)), entry);
            REQUIRE(again.error);
            CHECK(again.error->error.kind == error_kind::quarantined);
            CHECK(again.error->run == run_claim::not_run);
        }
        CHECK(dead_upstreams(sim) == 2);
    }
}

TEST_CASE("Crash evidence of two entries is combined")
{
    simulation sim(2);
    crash_upstreams_on(sim, "deadly");
    const caller_request deadly = stream_request("deadly", 10);
    sim.entries[0].options.limits.max_attempts = 1;
    send(sim, deadly, 0);
    run_for(sim, 3s);
    CHECK(dead_upstreams(sim) == 1);
    send(sim, resend(deadly, "r-again"), 1);
    run_for(sim, 5s);
    CHECK(dead_upstreams(sim) == 2);
    CHECK(sim.callers["r-again"].error->error.kind == error_kind::quarantined);
    const fake_caller& third = send(sim, resend(deadly, "r-third"), 0);
    REQUIRE(third.error);
    CHECK(third.error->error.kind == error_kind::quarantined);
}

TEST_CASE(
    "Requests that share an upstream with the culprit are not quarantined")
{
    simulation sim;
    for (auto& [id, upstream] : sim.upstreams)
    {
        upstream.slots = 30;
        if (upstream.service.value == "llm" && id.value > "llm1")
            upstream.listed = false;
    }
    crash_upstreams_on(sim, "deadly");
    send(sim, stream_request("deadly", 10));
    for (int i = 0; i < 20; ++i)
        send(sim, stream_request("good" + std::to_string(i), 200));
    run_for(sim, 30ms);
    for (auto& [id, upstream] : sim.upstreams)
        upstream.listed = upstream.alive;
    run_until_answered(sim, 40s);
    CHECK(sim.entries[0].counters.quarantined == 1);
    CHECK(sim.callers["r-deadly"].error->error.kind == error_kind::quarantined);
    for (int i = 0; i < 20; ++i)
        check_complete(sim.callers["r-good" + std::to_string(i)], 200);
    CHECK(dead_upstreams(sim) == 2);
}

TEST_CASE("Deaths with another explanation do not lead to a quarantine")
{
    simulation sim;
    const fake_caller& caller = send(sim, stream_request("innocent", 400));
    for (int i = 0; i < 5; ++i)
        send(sim, stream_request("other" + std::to_string(i), 400));
    const auto upstream_of_innocent = [&sim]
    {
        for (const auto& [id, attempt] : sim.attempts)
            if (attempt.prompt == "innocent")
                return attempt.sent.target;
        return upstream_id{};
    };

    SECTION("Upstreams die after notice")
    {
        for (int i = 0; i < 2; ++i)
        {
            run_for(sim, 300ms);
            const upstream_id target = upstream_of_innocent();
            feed(sim, 0, upstream_leaves{target, sim.now + duration(60s)});
            kill_upstream(sim, target);
        }
    }
    SECTION("Notice arrives just after the connections broke")
    {
        for (int i = 0; i < 2; ++i)
        {
            run_for(sim, 300ms);
            const upstream_id target = upstream_of_innocent();
            for (auto& [id, attempt] : sim.attempts)
                if (attempt.sent.target == target)
                    break_connection(sim, attempt);
            run_for(sim, 20ms);
            give_notice(sim, target, 400ms);
            run_for(sim, 1s);
        }
    }
    SECTION("The directory reports the loss of a failure domain")
    {
        for (int i = 0; i < 2; ++i)
        {
            run_for(sim, 300ms);
            kill_upstream(sim, upstream_of_innocent(), true);
        }
    }
    SECTION("Upstreams of one failure domain die together")
    {
        for (int i = 0; i < 2; ++i)
        {
            run_for(sim, 300ms);
            const failure_domain domain =
                sim.upstreams[upstream_of_innocent()].domain;
            for (const auto& [id, upstream] : std::map(sim.upstreams))
                if (upstream.domain == domain)
                    kill_upstream(sim, id);
            run_for(sim, 2s);
        }
    }
    SECTION("Connections break while the upstreams stay alive")
    {
        for (int i = 0; i < 3; ++i)
        {
            run_for(sim, 2s);
            for (auto& [id, attempt] : sim.attempts)
                if (attempt.prompt == "innocent")
                    break_connection(sim, attempt);
        }
    }
    run_until_answered(sim, 40s);
    check_complete(caller, 400);
    CHECK(sim.entries[0].counters.quarantined == 0);
}

TEST_CASE("A suspect whose request succeeds is cleared")
{
    simulation sim;
    const std::uint64_t length = GENERATE(30, 120);
    const caller_request request = stream_request("unlucky", length);
    for (int i = 0; i < 3; ++i)
    {
        const fake_caller& caller =
            send(sim, resend(request, "r" + std::to_string(i)));
        run_for(sim, 200ms);
        REQUIRE(sim.attempts.size() == 1);
        kill_upstream(sim, sim.attempts.begin()->second.sent.target);
        run_until_answered(sim, 10s);
        CHECK_FALSE(caller.error.has_value());
        run_for(sim, 3s);
    }
    CHECK(sim.entries[0].counters.quarantined == 0);
}

TEST_CASE("An entry that never acknowledges does not hold an answer for long")
{
    simulation sim(2);
    crash_upstreams_on(sim, "deadly");
    sim.crash_reports_lost = std::numeric_limits<int>::max();
    send(sim, stream_request("deadly", 10));
    run_for(sim, 10ms);
    while (sim.entries[0].counters.quarantined == 0)
        run_for(sim, 5ms);
    const time_point quarantined = sim.now;
    run_until_answered(sim, 30s);
    const fake_caller& caller = sim.callers["r-deadly"];
    REQUIRE(caller.error);
    CHECK(caller.error->error.kind == error_kind::quarantined);
    CHECK(caller.error->run == run_claim::unknown);
    CHECK(sim.now - quarantined <= 510ms);
    run_for(sim, 6s);
    CHECK(sim.entries[0].crash_reports.empty());
}

TEST_CASE("An entry that stops sends an error that it holds back")
{
    simulation sim(2);
    crash_upstreams_on(sim, "deadly");
    sim.crash_reports_lost = std::numeric_limits<int>::max();
    const fake_caller& caller = send(sim, stream_request("deadly", 10));
    run_for(sim, 10ms);
    while (sim.entries[0].counters.quarantined == 0)
        run_for(sim, 5ms);
    CHECK_FALSE(caller.ended);
    feed(sim, 0, drain_started{sim.now, {}});
    REQUIRE(caller.error);
    CHECK(caller.error->error.kind == error_kind::quarantined);
    CHECK(caller.error->run == run_claim::unknown);
    run_for(sim, 1s);
    CHECK(caller.protocol_error.empty());
    CHECK(sim.drained_entries[0]);
}

TEST_CASE("A repeated crash report does not count one death twice")
{
    simulation sim(2);
    crash_upstreams_on(sim, "deadly");
    sim.entries[0].options.limits.max_attempts = 1;
    sim.crash_acknowledgements_lost = true;
    send(sim, stream_request("deadly", 10));
    run_for(sim, 15s);
    CHECK(dead_upstreams(sim) == 1);
    const auto reports = std::count_if(
        sim.action_log.begin(),
        sim.action_log.end(),
        [](const serving_action& action)
        { return std::holds_alternative<report_crash>(action); });
    CHECK(reports > 3);
    for (const serving::life_cycle& entry : sim.entries)
    {
        REQUIRE(entry.crash_evidence.counted_deaths.size() == 1);
        CHECK(entry.crash_evidence.counted_deaths.begin()->second.size() == 1);
        CHECK(entry.counters.quarantined == 0);
    }
}

// Each retry is sent at once, at the entry that has not seen the crashes.
TEST_CASE("A retry at another entry does not overtake the crash reports")
{
    simulation sim(3);
    crash_upstreams_on(sim, "deadly");
    const caller_request deadly = stream_request("deadly", 10);

    SECTION("The reports take 5 ms") {}
    SECTION("The reports take 200 ms")
    {
        sim.crash_report_delay = 200ms;
    }
    SECTION("The first reports are lost")
    {
        sim.crash_reports_lost = 4;
    }
    send(sim, deadly);
    run_until_answered(sim, 30s);
    REQUIRE(sim.callers["r-deadly"].error);
    CHECK(dead_upstreams(sim) == 2);
    for (std::size_t entry : {1U, 2U})
    {
        const std::string id = "again" + std::to_string(entry);
        send(sim, resend(deadly, id), entry);
        run_until_answered(sim, 30s);
        REQUIRE(sim.callers[id].error);
        CHECK(sim.callers[id].error->error.kind == error_kind::quarantined);
        CHECK(sim.callers[id].error->run == run_claim::not_run);
    }
    CHECK(dead_upstreams(sim) == 2);
}
