#include "serving/world.hpp"

#include <catch2/catch.hpp>

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
    CHECK((caller.text == expected_text(prompt, length)));
}

void drain(world& w, std::optional<duration> span)
{
    drain_started input;
    if (span)
        input.deadline = w.now + *span;
    for (std::size_t i = 1; i < w.entries.size(); ++i)
        input.successors.push_back(w.entries[i].options.node);
    feed(w, 0, input);
}

} // namespace

TEST_CASE("An entry that shuts down")
{
    world w(3);
    for (int i = 0; i < 10; ++i)
        send(w, stream_request("long" + std::to_string(i), 500));
    send(w, stream_request("short", 15));
    send(w, order_request("order", "k1"));
    run_for(w, 50ms);

    SECTION("without a deadline ends all that it has")
    {
        drain(w, std::nullopt);
        CHECK_FALSE(w.drained_entries[0]);
        run_until_answered(w, 29s);
        CHECK(w.entries[0].counters.handed_over == 0);
    }
    SECTION("with a deadline hands over what would outlast it")
    {
        drain(w, duration(6s));
        run_until_answered(w, 29s);
        CHECK(w.entries[0].counters.handed_over == 10);
        CHECK(w.callers["r-long0"].moves == 1);
        CHECK(w.callers["r-short"].moves == 0);
    }
    SECTION("at once, if the deadline is near")
    {
        drain(w, duration(2s));
        run_for(w, 2s);
        CHECK(w.drained_entries[0]);
        run_until_answered(w, 27s);
    }
    SECTION("goes on itself while no successor takes anything")
    {
        w.successors_decline = true;
        drain(w, duration(20s));
        run_until_answered(w, 29s);
        CHECK(w.entries[0].counters.handed_over == 0);
    }
    for (int i = 0; i < 10; ++i)
        check_whole(w.callers["r-long" + std::to_string(i)], 500);
    check_whole(w.callers["r-short"], 15);
    CHECK(w.callers["r-order"].body == "done order k1");
    CHECK(w.runs["order k1"] == 1);
    CHECK(w.drained_entries[0]);
    const fake_caller& late = send(w, stream_request("late", 5));
    REQUIRE(late.error);
    CHECK(late.error->error.kind == error_kind::draining);
    CHECK(late.error->run == run_claim::not_run);
    CHECK(late.error->retry_after.has_value());
}

TEST_CASE("A stream is handed over at every token")
{
    const std::uint64_t length = 12;
    for (std::uint64_t moved_at = 0; moved_at < length; ++moved_at)
    {
        DYNAMIC_SECTION("before token " << moved_at)
        {
            world w(2);
            bool started = false;
            w.hook = [&](life_step step, std::uint64_t index, fake_attempt&)
            {
                if (step != life_step::token || index != moved_at || started)
                    return;
                started = true;
                drain(w, duration(2s));
            };
            const fake_caller& caller = send(w, stream_request("ask", length));
            run_until_answered(w, 20s);
            CHECK(caller.moves <= 1);
            check_whole(caller, length);
        }
    }
}

TEST_CASE("A successor that has no room keeps what it took")
{
    world w(2);
    for (auto& [id, one] : w.upstreams)
        one.slots = 1;
    w.entries[1].options.limits.waiting_requests = 0;
    for (int i = 0; i < 6; ++i)
        send(w, stream_request("tight" + std::to_string(i), 200));
    run_for(w, 100ms);
    drain(w, duration(2s));
    run_until_answered(w, 25s);
    for (int i = 0; i < 6; ++i)
        check_whole(w.callers["r-tight" + std::to_string(i)], 200);
    CHECK(w.entries[0].counters.handed_over == 6);
}

TEST_CASE("A hand-over whose answer is lost leaves the request here")
{
    world w(2);
    const fake_caller& caller = send(w, stream_request("kept", 100));
    run_for(w, 200ms);
    drain_started input;
    input.deadline = w.now + duration(10s);
    input.successors = {{"nobody-answers"}};
    w.successors_decline = true;
    w.pending.clear();
    feed(w, 0, input);
    run_for(w, 6s);
    run_until_answered(w, 20s);
    check_whole(caller, 100);
}

TEST_CASE("The end of a request overtakes its hand-over")
{
    world w(2);
    const fake_caller& caller = send(w, stream_request("race", 12));
    run_for(w, 100ms);
    drain(w, duration(2s));
    feed(w, 0, tick{});
    REQUIRE(w.entries[0].requests.at({"r-race"})->handing_over.has_value());
    const fake_attempt attempt = w.attempts.begin()->second;
    const std::uint64_t first = w.callers["r-race"].last_event;
    for (std::uint64_t i = first; i < 12; ++i)
        feed(
            w,
            0,
            attempt_token{
                attempt.sent.attempt, i, "race:" + std::to_string(i) + ';'});
    CHECK(caller.last_event == first);
    attempt_finished end;
    end.attempt = attempt.sent.attempt;
    end.finish_reason = "stop";
    feed(w, 0, end);
    check_whole(caller, 12);
    run_for(w, 5s);
    check_whole(caller, 12);
    CHECK(caller.moves == 0);
}

TEST_CASE("A caller that comes back to a drained entry is sent on")
{
    world w(2);
    fake_caller& caller = send(w, stream_request("back", 300));
    run_for(w, 200ms);
    feed(w, 0, caller_gone{caller.connection});
    drain(w, duration(1s));
    run_for(w, 100ms);
    CHECK(w.drained_entries[0]);
    caller.connection = {"back-again"};
    feed(
        w,
        0,
        request_resumed{
            {"back-again"}, {"r-back"}, {"binder"}, caller.last_event});
    run_until_answered(w, 20s);
    CHECK(caller.moves == 1);
    check_whole(caller, 300);
}

TEST_CASE("What cannot end before the instance goes is told the truth")
{
    world w(2);
    w.hook = [](life_step step, std::uint64_t, fake_attempt& attempt)
    {
        if (step == life_step::first_byte_sent)
            attempt.mute = true;
    };
    send(w, order_request("stuck", "k1"));
    run_for(w, 100ms);
    drain(w, duration(2s));
    run_for(w, 2s);
    const fake_caller& caller = w.callers["r-stuck"];
    REQUIRE(caller.error);
    CHECK(caller.error->run == run_claim::unknown);
    CHECK(w.drained_entries[0]);
    CHECK(w.entries[0].counters.handed_over == 0);
    CHECK(std::none_of(
        w.log.begin(),
        w.log.end(),
        [](const auto& action)
        { return std::holds_alternative<hand_over>(action); }));
}
