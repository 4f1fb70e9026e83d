#include "serving/world.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

using namespace bergamotusher;
using namespace bergamotusher::serving_test;

namespace
{

void check_whole(const fake_caller& caller, std::uint64_t length)
{
    const std::string prompt = caller.request.id.value.substr(2);
    CHECK(caller.ended);
    CHECK_FALSE(caller.error.has_value());
    CHECK(caller.complaint.empty());
    CHECK(caller.last_event == length);
    CHECK((caller.text == expected_text(prompt, length)));
}

template<class Action>
std::size_t count_of(const world& w)
{
    return static_cast<std::size_t>(std::count_if(
        w.log.begin(),
        w.log.end(),
        [](const auto& action)
        { return std::holds_alternative<Action>(action); }));
}

} // namespace

TEST_CASE("A stream runs from its arrival to its end")
{
    world w;
    const fake_caller& caller = send(w, stream_request("ledger", 12));
    run_until_answered(w, 5s);
    check_whole(caller, 12);
    CHECK(w.dispatches["ledger"] == 1);
    CHECK(count_of<attempt_observed>(w) == 1);

    SECTION("and keeps its answer alone, without what it was asked")
    {
        const auto& kept = *w.entries[0].requests.at({"r-ledger"});
        CHECK(kept.request.body.capacity() < 32);
        CHECK(kept.produced.text == expected_text("ledger", 12));
    }
    SECTION("and is forgotten when its answer was kept long enough")
    {
        CHECK(w.entries[0].requests.size() == 1);
        run_for(w, 61s);
        CHECK(w.entries[0].requests.empty());
        CHECK(w.entries[0].wakes.empty());
        CHECK(w.entries[0].open_count == 0);
    }
}

TEST_CASE("A caller that wants no stream gets its answer in one piece")
{
    world w;
    caller_request request = stream_request("quote", 9);
    request.stream = false;
    const fake_caller& caller = send(w, request);
    run_until_answered(w, 5s);
    CHECK(caller.body == expected_text("quote", 9));
    CHECK(caller.last_event == 0);
}

TEST_CASE("An engine killed at any token costs the caller nothing")
{
    const std::uint64_t length = 16;
    for (std::uint64_t killed_at = 0; killed_at <= length; ++killed_at)
    {
        DYNAMIC_SECTION("killed before token " << killed_at)
        {
            world w;
            bool killed = false;
            w.hook =
                [&](life_step step, std::uint64_t index, fake_attempt& attempt)
            {
                const bool here =
                    (step == life_step::token && index == killed_at) ||
                    (step == life_step::after_last_token &&
                     killed_at == length);
                if (!here || killed)
                    return;
                killed = true;
                kill(w, attempt.sent.target);
            };
            const fake_caller& caller = send(w, stream_request("note", length));
            run_until_answered(w, 20s);
            CHECK(killed);
            check_whole(caller, length);
            CHECK(w.dispatches["note"] == 2);
        }
    }
}

TEST_CASE("A resumed stream is asked for what is left")
{
    world w;
    caller_request request = stream_request("catalogue", 10);
    nlohmann::json body = nlohmann::json::parse(request.body);
    body["max_tokens"] = 50;
    request.body = body.dump();
    send(w, request);
    run_for(w, 100ms);
    const std::uint64_t delivered = w.callers["r-catalogue"].last_event;
    REQUIRE(delivered > 0);
    kill(w, w.attempts.begin()->second.sent.target);
    run_for(w, 20ms);
    REQUIRE(w.attempts.size() == 1);
    const auto resumed =
        nlohmann::json::parse(w.attempts.begin()->second.sent.body);
    CHECK(resumed["max_tokens"] == 50 - delivered);
    CHECK(resumed["continue_final_message"] == true);
    CHECK(resumed["add_generation_prompt"] == false);
    CHECK(resumed["messages"].back()["role"] == "assistant");
    CHECK(w.entries[0].counters.recomputed_tokens > 0);
    CHECK(w.questions.back().avoided.size() == 1);
}

TEST_CASE("A caller takes its stream up again")
{
    world w;
    fake_caller& caller = send(w, stream_request("wax", 20));
    run_for(w, 200ms);
    const std::uint64_t seen = caller.last_event;
    REQUIRE(seen > 2);
    feed(w, 0, caller_gone{caller.connection});
    run_for(w, 100ms);
    caller.connection = {"again"};

    SECTION("from the event after the last one that it saw")
    {
        feed(w, 0, request_resumed{{"again"}, {"r-wax"}, {"binder"}, seen});
        run_until_answered(w, 5s);
        check_whole(caller, 20);
        CHECK(w.dispatches["wax"] == 1);
    }
    SECTION("after its end, too")
    {
        run_for(w, 5s);
        feed(w, 0, request_resumed{{"again"}, {"r-wax"}, {"binder"}, seen});
        check_whole(caller, 20);
    }
    SECTION("but not another account's")
    {
        feed(w, 0, request_resumed{{"again"}, {"r-wax"}, {"grower"}, seen});
        REQUIRE(caller.error);
        CHECK(caller.error->error.kind == error_kind::unknown_request);
        CHECK(caller.last_event == seen);
    }
    SECTION("and not events that are yet to come")
    {
        feed(w, 0, request_resumed{{"again"}, {"r-wax"}, {"binder"}, 1000});
        REQUIRE(caller.error);
    }
}

TEST_CASE("Without its caller a stream goes on for a grace time only")
{
    world w;
    const fake_caller& caller = send(w, stream_request("gone", 100'000));
    run_for(w, 100ms);
    feed(w, 0, caller_gone{caller.connection});
    w.entries[0].options.limits.caller_grace = 2s;
    run_for(w, 1s);
    CHECK(w.attempts.size() == 1);
    run_for(w, 2s);
    CHECK(w.attempts.empty());
    CHECK(w.entries[0].open_count == 0);
}

TEST_CASE("The kept answers stay within their bytes")
{
    world w;
    w.entries[0].options.limits.kept_bytes = 20'000;
    for (int i = 0; i < 30; ++i)
        send(w, stream_request("kept" + std::to_string(i), 20));
    run_until_answered(w, 20s);
    CHECK(w.entries[0].ended_bytes <= 20'000);
    CHECK(w.entries[0].requests.size() < 30);
    CHECK(w.entries[0].requests.size() > 1);
}

TEST_CASE("An upstream that leaves keeps what it can finish")
{
    world w;
    const fake_caller& quick = send(w, stream_request("quick", 20));
    const fake_caller& slow = send(w, stream_request("slow", 400));
    for (auto& [id, one] : w.upstreams)
        one.slots = 8;
    run_for(w, 50ms);
    for (const auto& [id, attempt] : std::map(w.attempts))
        give_notice(w, attempt.sent.target, 4s);
    run_until_answered(w, 30s);
    check_whole(quick, 20);
    check_whole(slow, 400);
    CHECK(w.dispatches["quick"] == 1);
    CHECK(w.dispatches["slow"] == 2);
    CHECK(w.entries[0].counters.moves == 1);
    CHECK(w.entries[0].counters.retries == 0);
}

TEST_CASE("An upstream that dies in the middle of its notice is not a failure")
{
    world w;
    for (auto& [id, one] : w.upstreams)
        one.slots = 40;
    for (int i = 0; i < 60; ++i)
        send(w, stream_request("mid" + std::to_string(i), 150));
    run_for(w, 100ms);
    for (const char* id : {"llm0", "llm1"})
    {
        give_notice(w, {id}, 30s);
        kill(w, {id});
    }
    run_until_answered(w, 5s);
    for (const auto& [name, caller] : w.callers)
        check_whole(caller, 150);
    CHECK(w.entries[0].counters.moves == 20);
    CHECK(w.entries[0].counters.retries == 0);
}

TEST_CASE("A domain that goes without notice holds no stream up for long")
{
    world w;
    for (int i = 0; i < 36; ++i)
        send(w, stream_request("held" + std::to_string(i), 150));
    run_for(w, 100ms);
    for (const auto& [id, one] : std::map(w.upstreams))
        if (one.domain.value == "domain1")
            kill(w, id, true);
    run_until_answered(w, 5s);
    for (const auto& [name, caller] : w.callers)
        check_whole(caller, 150);
    CHECK(w.entries[0].counters.quarantined == 0);
}

TEST_CASE("A stream that stops is resumed after its silence")
{
    world w;
    const fake_caller& caller = send(w, stream_request("stop", 20));
    run_for(w, 200ms);
    w.attempts.begin()->second.mute = true;
    run_for(w, 2500ms);
    CHECK(w.dispatches["stop"] == 1);
    run_until_answered(w, 2s);
    check_whole(caller, 20);

    SECTION("a class with slow targets waits longer")
    {
        w.config->classes[{"chat"}].token_gap = 1s;
        send(w, stream_request("slow", 20));
        run_for(w, 200ms);
        w.attempts.begin()->second.mute = true;
        run_for(w, 19s);
        CHECK(w.dispatches["slow"] == 1);
        run_for(w, 2s);
        CHECK(w.dispatches["slow"] == 2);
    }
}

TEST_CASE("Requests wait in their order while all upstreams are busy")
{
    world w;
    for (auto& [id, one] : w.upstreams)
        one.slots = 1;
    for (int i = 0; i < 20; ++i)
        send(w, stream_request("busy" + std::to_string(i), 10));
    CHECK(w.entries[0].waiting_count == 14);
    run_until_answered(w, 20s);
    for (const auto& [name, caller] : w.callers)
        check_whole(caller, 10);

    SECTION("and a queue that is full refuses truthfully")
    {
        w.entries[0].options.limits.waiting_requests = 1;
        for (int i = 0; i < 8; ++i)
            send(w, stream_request("full" + std::to_string(i), 10));
        const fake_caller& last = w.callers["r-full7"];
        REQUIRE(last.error);
        CHECK(last.error->error.kind == error_kind::overloaded);
        CHECK(last.error->run == run_claim::not_run);
        CHECK(last.error->retry_after.has_value());
        CHECK(w.dispatches["full7"] == 0);
    }
}

TEST_CASE("Nothing that comes for another attempt reaches a caller")
{
    world w;
    const fake_caller& caller = send(w, stream_request("mine", 30));
    run_for(w, 100ms);
    const attempt_id first = w.attempts.begin()->first;
    kill(w, w.attempts.begin()->second.sent.target);
    run_for(w, 50ms);
    feed(w, 0, attempt_token{first, caller.last_event, "late"});
    feed(w, 0, attempt_finished{first, 200, {}, {}, "stop", 0, 0, 0, {}});
    feed(w, 0, attempt_failed{first, attempt_failure::broken, 0, {}});
    feed(w, 0, attempt_token{{"nobody"}, 0, "crossed"});
    CHECK(w.entries[0].counters.late_inputs == 4);
    run_until_answered(w, 5s);
    check_whole(caller, 30);
}

TEST_CASE("An answer with a gap or a wrong length is not passed on")
{
    world w;
    const fake_caller& caller = send(w, stream_request("cut", 30));
    run_for(w, 100ms);
    const attempt_id first = w.attempts.begin()->first;
    const std::uint64_t seen = caller.last_event;
    SECTION("a gap")
    {
        feed(w, 0, attempt_token{first, seen + 3, "gap"});
    }
    SECTION("a length that was not seen")
    {
        attempt_finished end;
        end.attempt = first;
        end.finish_reason = "stop";
        end.pieces = seen + 1;
        feed(w, 0, end);
    }
    SECTION("no end mark")
    {
        attempt_finished end;
        end.attempt = first;
        feed(w, 0, end);
    }
    CHECK(w.entries[0].counters.malformed_answers == 1);
    run_until_answered(w, 5s);
    check_whole(caller, 30);
}
