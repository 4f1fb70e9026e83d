#include "serving/simulation.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

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
    CHECK(caller.last_event == length);
    CHECK((caller.text == expected_text(prompt, length)));
}

template<class Action>
std::size_t count_of(const simulation& sim)
{
    return static_cast<std::size_t>(std::count_if(
        sim.action_log.begin(),
        sim.action_log.end(),
        [](const auto& action)
        { return std::holds_alternative<Action>(action); }));
}

} // namespace

TEST_CASE("A stream is delivered completely by one attempt")
{
    simulation sim;
    const fake_caller& caller = send(sim, stream_request("ledger", 12));
    run_until_answered(sim, 5s);
    check_complete(caller, 12);
    CHECK(sim.dispatches["ledger"] == 1);
    CHECK(count_of<attempt_observed>(sim) == 1);

    SECTION("The answer is retained without the request body")
    {
        const auto& kept = *sim.entries[0].requests.at({"r-ledger"});
        CHECK(kept.request.body.capacity() < 32);
        CHECK(kept.produced.text == expected_text("ledger", 12));
    }
    SECTION("The request is deleted when the retention time ends")
    {
        CHECK(sim.entries[0].requests.size() == 1);
        run_for(sim, 61s);
        CHECK(sim.entries[0].requests.empty());
        CHECK(sim.entries[0].wake_queue.empty());
        CHECK(sim.entries[0].open_count == 0);
    }
}

TEST_CASE("A client that does not stream gets the answer in one piece")
{
    simulation sim;
    caller_request request = stream_request("quote", 9);
    request.stream = false;
    const fake_caller& caller = send(sim, request);
    run_until_answered(sim, 5s);
    CHECK(caller.body == expected_text("quote", 9));
    CHECK(caller.last_event == 0);
}

TEST_CASE("A stream is completed if its engine is killed at any token")
{
    const std::uint64_t length = 16;
    for (std::uint64_t killed_at = 0; killed_at <= length; ++killed_at)
    {
        DYNAMIC_SECTION("killed before token " << killed_at)
        {
            simulation sim;
            bool killed = false;
            sim.step_hook = [&](request_step step,
                                std::uint64_t index,
                                fake_attempt& attempt)
            {
                const bool here =
                    (step == request_step::token && index == killed_at) ||
                    (step == request_step::after_last_token &&
                     killed_at == length);
                if (!here || killed)
                    return;
                killed = true;
                kill_upstream(sim, attempt.sent.target);
            };
            const fake_caller& caller =
                send(sim, stream_request("note", length));
            run_until_answered(sim, 20s);
            CHECK(killed);
            check_complete(caller, length);
            CHECK(sim.dispatches["note"] == 2);
        }
    }
}

TEST_CASE("A resumed stream requests only the remaining tokens")
{
    simulation sim;
    caller_request request = stream_request("catalogue", 10);
    nlohmann::json body = nlohmann::json::parse(request.body);
    body["max_tokens"] = 50;
    request.body = body.dump();
    send(sim, request);
    run_for(sim, 100ms);
    const std::uint64_t delivered = sim.callers["r-catalogue"].last_event;
    REQUIRE(delivered > 0);
    kill_upstream(sim, sim.attempts.begin()->second.sent.target);
    run_for(sim, 20ms);
    REQUIRE(sim.attempts.size() == 1);
    const auto resumed =
        nlohmann::json::parse(sim.attempts.begin()->second.sent.body);
    CHECK(resumed["max_tokens"] == 50 - delivered);
    CHECK(resumed["continue_final_message"] == true);
    CHECK(resumed["add_generation_prompt"] == false);
    CHECK(resumed["messages"].back()["role"] == "assistant");
    CHECK(sim.entries[0].counters.recomputed_tokens > 0);
    CHECK(sim.routing_queries.back().avoided.size() == 1);
}

TEST_CASE("A client can reattach to its stream")
{
    simulation sim;
    fake_caller& caller = send(sim, stream_request("wax", 20));
    run_for(sim, 200ms);
    const std::uint64_t seen = caller.last_event;
    REQUIRE(seen > 2);
    feed(sim, 0, caller_disconnected{caller.connection});
    run_for(sim, 100ms);
    caller.connection = {"again"};

    SECTION("It continues after the last event received")
    {
        feed(sim, 0, caller_reattached{{"again"}, {"r-wax"}, {"binder"}, seen});
        run_until_answered(sim, 5s);
        check_complete(caller, 20);
        CHECK(sim.dispatches["wax"] == 1);
    }
    SECTION("It works after the stream ended")
    {
        run_for(sim, 5s);
        feed(sim, 0, caller_reattached{{"again"}, {"r-wax"}, {"binder"}, seen});
        check_complete(caller, 20);
    }
    SECTION("Another account is rejected")
    {
        feed(sim, 0, caller_reattached{{"again"}, {"r-wax"}, {"grower"}, seen});
        REQUIRE(caller.error);
        CHECK(caller.error->error.kind == error_kind::unknown_request);
        CHECK(caller.last_event == seen);
    }
    SECTION("An event number beyond the delivered ones is rejected")
    {
        feed(sim, 0, caller_reattached{{"again"}, {"r-wax"}, {"binder"}, 1000});
        REQUIRE(caller.error);
    }
}

TEST_CASE("A stream without a client is cancelled after the grace period")
{
    simulation sim;
    const fake_caller& caller = send(sim, stream_request("gone", 100'000));
    run_for(sim, 100ms);
    feed(sim, 0, caller_disconnected{caller.connection});
    sim.entries[0].options.limits.disconnect_grace = 2s;
    run_for(sim, 1s);
    CHECK(sim.attempts.size() == 1);
    run_for(sim, 2s);
    CHECK(sim.attempts.empty());
    CHECK(sim.entries[0].open_count == 0);
}

TEST_CASE("Retained answers stay within the memory limit")
{
    simulation sim;
    sim.entries[0].options.limits.max_retained_bytes = 20'000;
    for (int i = 0; i < 30; ++i)
        send(sim, stream_request("kept" + std::to_string(i), 20));
    run_until_answered(sim, 20s);
    CHECK(sim.entries[0].total_retained_bytes <= 20'000);
    CHECK(sim.entries[0].requests.size() < 30);
    CHECK(sim.entries[0].requests.size() > 1);
}

TEST_CASE("Only requests that outlast a leaving upstream are moved")
{
    simulation sim;
    const fake_caller& quick = send(sim, stream_request("quick", 20));
    const fake_caller& slow = send(sim, stream_request("slow", 400));
    for (auto& [id, upstream] : sim.upstreams)
        upstream.slots = 8;
    run_for(sim, 50ms);
    for (const auto& [id, attempt] : std::map(sim.attempts))
        give_notice(sim, attempt.sent.target, 4s);
    run_until_answered(sim, 30s);
    check_complete(quick, 20);
    check_complete(slow, 400);
    CHECK(sim.dispatches["quick"] == 1);
    CHECK(sim.dispatches["slow"] == 2);
    CHECK(sim.entries[0].counters.moves == 1);
    CHECK(sim.entries[0].counters.retries == 0);
}

TEST_CASE("The death of an upstream after notice is a move, not a retry")
{
    simulation sim;
    for (auto& [id, upstream] : sim.upstreams)
        upstream.slots = 40;
    for (int i = 0; i < 60; ++i)
        send(sim, stream_request("mid" + std::to_string(i), 150));
    run_for(sim, 100ms);
    for (const char* id : {"llm0", "llm1"})
    {
        give_notice(sim, {id}, 30s);
        kill_upstream(sim, {id});
    }
    run_until_answered(sim, 5s);
    for (const auto& [name, caller] : sim.callers)
        check_complete(caller, 150);
    CHECK(sim.entries[0].counters.moves == 20);
    CHECK(sim.entries[0].counters.retries == 0);
}

TEST_CASE(
    "Streams continue promptly after a failure domain is lost without notice")
{
    simulation sim;
    for (int i = 0; i < 36; ++i)
        send(sim, stream_request("held" + std::to_string(i), 150));
    run_for(sim, 100ms);
    for (const auto& [id, upstream] : std::map(sim.upstreams))
        if (upstream.domain.value == "domain1")
            kill_upstream(sim, id, true);
    run_until_answered(sim, 5s);
    for (const auto& [name, caller] : sim.callers)
        check_complete(caller, 150);
    CHECK(sim.entries[0].counters.quarantined == 0);
}

TEST_CASE("A stream that stalls is resumed after the token gap timeout")
{
    simulation sim;
    const fake_caller& caller = send(sim, stream_request("stop", 20));
    run_for(sim, 200ms);
    sim.attempts.begin()->second.answers_lost = true;
    run_for(sim, 2500ms);
    CHECK(sim.dispatches["stop"] == 1);
    run_until_answered(sim, 2s);
    check_complete(caller, 20);

    SECTION("A class with slow latency targets has a longer timeout")
    {
        sim.config->classes[{"chat"}].token_gap = 1s;
        send(sim, stream_request("slow", 20));
        run_for(sim, 200ms);
        sim.attempts.begin()->second.answers_lost = true;
        run_for(sim, 19s);
        CHECK(sim.dispatches["slow"] == 1);
        run_for(sim, 2s);
        CHECK(sim.dispatches["slow"] == 2);
    }
}

TEST_CASE("Requests are queued while all upstreams are busy")
{
    simulation sim;
    for (auto& [id, upstream] : sim.upstreams)
        upstream.slots = 1;
    for (int i = 0; i < 20; ++i)
        send(sim, stream_request("busy" + std::to_string(i), 10));
    CHECK(sim.entries[0].waiting_count == 14);
    run_until_answered(sim, 20s);
    for (const auto& [name, caller] : sim.callers)
        check_complete(caller, 10);

    SECTION("A full queue rejects requests as not run")
    {
        sim.entries[0].options.limits.max_waiting_requests = 1;
        for (int i = 0; i < 8; ++i)
            send(sim, stream_request("full" + std::to_string(i), 10));
        const fake_caller& last = sim.callers["r-full7"];
        REQUIRE(last.error);
        CHECK(last.error->error.kind == error_kind::overloaded);
        CHECK(last.error->run == run_claim::not_run);
        CHECK(last.error->retry_after.has_value());
        CHECK(sim.dispatches["full7"] == 0);
    }
}

TEST_CASE("Input of attempts that are not current does not reach a client")
{
    simulation sim;
    const fake_caller& caller = send(sim, stream_request("mine", 30));
    run_for(sim, 100ms);
    const attempt_id first = sim.attempts.begin()->first;
    kill_upstream(sim, sim.attempts.begin()->second.sent.target);
    run_for(sim, 50ms);
    feed(sim, 0, attempt_token{first, caller.last_event, "late"});
    feed(sim, 0, attempt_finished{first, 200, {}, {}, "stop", 0, 0, 0, {}});
    feed(sim, 0, attempt_failed{first, attempt_failure::broken, 0, {}});
    feed(sim, 0, attempt_token{{"nobody"}, 0, "crossed"});
    CHECK(sim.entries[0].counters.late_inputs == 4);
    run_until_answered(sim, 5s);
    check_complete(caller, 30);
}

TEST_CASE("A malformed answer is retried and not delivered")
{
    simulation sim;
    const fake_caller& caller = send(sim, stream_request("cut", 30));
    run_for(sim, 100ms);
    const attempt_id first = sim.attempts.begin()->first;
    const std::uint64_t seen = caller.last_event;
    SECTION("A token is missing")
    {
        feed(sim, 0, attempt_token{first, seen + 3, "gap"});
    }
    SECTION("The length differs from the tokens received")
    {
        attempt_finished end;
        end.attempt = first;
        end.finish_reason = "stop";
        end.pieces = seen + 1;
        feed(sim, 0, end);
    }
    SECTION("The end mark is missing")
    {
        attempt_finished end;
        end.attempt = first;
        feed(sim, 0, end);
    }
    CHECK(sim.entries[0].counters.malformed_answers == 1);
    run_until_answered(sim, 5s);
    check_complete(caller, 30);
}
