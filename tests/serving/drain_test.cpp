#include "serving/simulation.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace bergamotusher;
using namespace bergamotusher::serving_test;

namespace
{

void check_complete(const fake_caller& caller, std::uint64_t length)
{
    const std::string prompt = caller.request.id.value.substr(2);
    CHECK(caller.ended);
    CHECK_FALSE(caller.error.has_value());
    CHECK(caller.protocol_error.empty());
    CHECK((caller.text == expected_text(prompt, length)));
}

void drain(simulation& sim, std::optional<duration> span)
{
    drain_started input;
    if (span)
        input.deadline = sim.now + *span;
    for (std::size_t i = 1; i < sim.entries.size(); ++i)
        input.successors.push_back(sim.entries[i].options.node);
    feed(sim, 0, input);
}

} // namespace

TEST_CASE("A draining entry completes or hands over its requests")
{
    simulation sim(3);
    for (int i = 0; i < 10; ++i)
        send(sim, stream_request("long" + std::to_string(i), 500));
    send(sim, stream_request("short", 15));
    send(sim, order_request("order", "k1"));
    run_for(sim, 50ms);

    SECTION("Without a deadline it completes all requests itself")
    {
        drain(sim, std::nullopt);
        CHECK_FALSE(sim.drained_entries[0]);
        run_until_answered(sim, 29s);
        CHECK(sim.entries[0].counters.handed_over == 0);
    }
    SECTION("With a deadline it hands over the requests that would outlast it")
    {
        drain(sim, duration(6s));
        run_until_answered(sim, 29s);
        CHECK(sim.entries[0].counters.handed_over == 10);
        CHECK(sim.callers["r-long0"].moves == 1);
        CHECK(sim.callers["r-short"].moves == 0);
    }
    SECTION("It hands over at once if the deadline is near")
    {
        drain(sim, duration(2s));
        run_for(sim, 2s);
        CHECK(sim.drained_entries[0]);
        run_until_answered(sim, 27s);
    }
    SECTION("It completes requests itself while every successor declines")
    {
        sim.successors_decline = true;
        drain(sim, duration(20s));
        run_until_answered(sim, 29s);
        CHECK(sim.entries[0].counters.handed_over == 0);
    }
    for (int i = 0; i < 10; ++i)
        check_complete(sim.callers["r-long" + std::to_string(i)], 500);
    check_complete(sim.callers["r-short"], 15);
    CHECK(sim.callers["r-order"].body == "done order k1");
    CHECK(sim.runs["order k1"] == 1);
    CHECK(sim.drained_entries[0]);
    const fake_caller& late = send(sim, stream_request("late", 5));
    REQUIRE(late.error);
    CHECK(late.error->error.kind == error_kind::draining);
    CHECK(late.error->run == run_claim::not_run);
    CHECK(late.error->retry_after.has_value());
}

TEST_CASE("A stream handed over at any token is delivered completely")
{
    const std::uint64_t length = 12;
    for (std::uint64_t moved_at = 0; moved_at < length; ++moved_at)
    {
        DYNAMIC_SECTION("before token " << moved_at)
        {
            simulation sim(2);
            bool started = false;
            sim.step_hook =
                [&](request_step step, std::uint64_t index, fake_attempt&)
            {
                if (step != request_step::token || index != moved_at || started)
                    return;
                started = true;
                drain(sim, duration(2s));
            };
            const fake_caller& caller =
                send(sim, stream_request("ask", length));
            run_until_answered(sim, 20s);
            CHECK(caller.moves <= 1);
            check_complete(caller, length);
        }
    }
}

TEST_CASE("A successor without room still completes the requests it accepted")
{
    simulation sim(2);
    for (auto& [id, upstream] : sim.upstreams)
        upstream.slots = 1;
    sim.entries[1].options.limits.max_waiting_requests = 0;
    for (int i = 0; i < 6; ++i)
        send(sim, stream_request("tight" + std::to_string(i), 200));
    run_for(sim, 100ms);
    drain(sim, duration(2s));
    run_until_answered(sim, 25s);
    for (int i = 0; i < 6; ++i)
        check_complete(sim.callers["r-tight" + std::to_string(i)], 200);
    CHECK(sim.entries[0].counters.handed_over == 6);
}

TEST_CASE("A request stays at its entry if the hand-over is not answered")
{
    simulation sim(2);
    const fake_caller& caller = send(sim, stream_request("kept", 100));
    run_for(sim, 200ms);
    drain_started input;
    input.deadline = sim.now + duration(10s);
    input.successors = {{"nobody-answers"}};
    sim.successors_decline = true;
    sim.pending.clear();
    feed(sim, 0, input);
    run_for(sim, 6s);
    run_until_answered(sim, 20s);
    check_complete(caller, 100);
}

TEST_CASE("A request that ends during its hand-over is answered once")
{
    simulation sim(2);
    const fake_caller& caller = send(sim, stream_request("race", 12));
    run_for(sim, 100ms);
    drain(sim, duration(2s));
    feed(sim, 0, tick{});
    REQUIRE(sim.entries[0].requests.at({"r-race"})->pending_offer.has_value());
    const fake_attempt attempt = sim.attempts.begin()->second;
    const std::uint64_t first = sim.callers["r-race"].last_event;
    for (std::uint64_t i = first; i < 12; ++i)
        feed(
            sim,
            0,
            attempt_token{
                attempt.sent.attempt, i, "race:" + std::to_string(i) + ';'});
    CHECK(caller.last_event == first);
    attempt_finished end;
    end.attempt = attempt.sent.attempt;
    end.finish_reason = "stop";
    feed(sim, 0, end);
    check_complete(caller, 12);
    run_for(sim, 5s);
    check_complete(caller, 12);
    CHECK(caller.moves == 0);
}

TEST_CASE("A client that returns to a drained entry is redirected")
{
    simulation sim(2);
    fake_caller& caller = send(sim, stream_request("back", 300));
    run_for(sim, 200ms);
    feed(sim, 0, caller_disconnected{caller.connection});
    drain(sim, duration(1s));
    run_for(sim, 100ms);
    CHECK(sim.drained_entries[0]);
    caller.connection = {"back-again"};
    feed(
        sim,
        0,
        caller_reattached{
            {"back-again"}, {"r-back"}, {"binder"}, caller.last_event});
    run_until_answered(sim, 20s);
    CHECK(caller.moves == 1);
    check_complete(caller, 300);
}

TEST_CASE("A request that cannot end before shutdown fails as possibly run")
{
    simulation sim(2);
    sim.step_hook = [](request_step step, std::uint64_t, fake_attempt& attempt)
    {
        if (step == request_step::first_byte_sent)
            attempt.answers_lost = true;
    };
    send(sim, order_request("stuck", "k1"));
    run_for(sim, 100ms);
    drain(sim, duration(2s));
    run_for(sim, 2s);
    const fake_caller& caller = sim.callers["r-stuck"];
    REQUIRE(caller.error);
    CHECK(caller.error->run == run_claim::unknown);
    CHECK(sim.drained_entries[0]);
    CHECK(sim.entries[0].counters.handed_over == 0);
    CHECK(std::none_of(
        sim.action_log.begin(),
        sim.action_log.end(),
        [](const auto& action)
        { return std::holds_alternative<hand_over>(action); }));
}
