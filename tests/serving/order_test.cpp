#include "serving/simulation.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace bergamotusher;
using namespace bergamotusher::serving_test;

namespace
{

void check_done(const fake_caller& caller)
{
    CHECK(caller.ended);
    CHECK_FALSE(caller.error.has_value());
    CHECK(caller.body == "done " + caller.request.body);
    CHECK(caller.protocol_error.empty());
}

void check_error(const fake_caller& caller, error_kind kind, run_claim run)
{
    REQUIRE(caller.error);
    CHECK(caller.error->error.kind == kind);
    CHECK(caller.error->run == run);
}

void on_first(
    simulation& sim,
    request_step wanted_step,
    std::function<void(fake_attempt&)> action)
{
    sim.step_hook =
        [wanted_step, action = std::move(action), called = false](
            request_step step, std::uint64_t, fake_attempt& attempt) mutable
    {
        if (step != wanted_step || called)
            return;
        called = true;
        action(attempt);
    };
}

} // namespace

TEST_CASE("An order is recorded, dispatched, answered and stored")
{
    simulation sim;
    const fake_caller& caller = send(sim, order_request("one", "k1"));
    CHECK(sim.dispatches.empty());
    run_until_answered(sim, 5s);
    check_done(caller);
    CHECK(sim.runs["order k1"] == 1);

    SECTION("The same key returns the stored answer")
    {
        send(sim, order_request("two", "k1"));
        run_until_answered(sim, 5s);
        check_done(sim.callers["r-two"]);
        CHECK(sim.runs["order k1"] == 1);
    }
    SECTION("The stored answer is returned even without an upstream")
    {
        for (auto& [id, upstream] : sim.upstreams)
            upstream.listed = false;
        send(sim, order_request("two", "k1"));
        run_until_answered(sim, 5s);
        check_done(sim.callers["r-two"]);
    }
    SECTION("The same key with another body is a conflict")
    {
        caller_request other = order_request("two", "k1");
        other.body = "another order";
        send(sim, other);
        run_until_answered(sim, 5s);
        check_error(
            sim.callers["r-two"], error_kind::key_conflict, run_claim::not_run);
        CHECK(sim.runs["another order"] == 0);
    }
}

TEST_CASE("Concurrent sendings of one order run it once")
{
    simulation sim(2);
    send(sim, order_request("one", "k1"), 0);
    send(sim, order_request("two", "k1"), 0);
    send(sim, order_request("three", "k1"), 1);
    run_until_answered(sim, 10s);
    for (const auto& [name, caller] : sim.callers)
        check_done(caller);
    CHECK(sim.runs["order k1"] == 1);
}

TEST_CASE("An order without an idempotency key is rejected")
{
    simulation sim;
    check_error(
        send(sim, order_request("one", "")),
        error_kind::missing_idempotency_key,
        run_claim::not_run);
}

TEST_CASE("A client may forbid retries but not allow them")
{
    simulation sim;
    caller_request lookup = order_request("one", "k1");
    lookup.path = "/stock";
    lookup.repeatable = false;
    send(sim, lookup);
    CHECK(sim.journal.size() == 1);
    caller_request order = order_request("two", "k2");
    order.repeatable = true;
    send(sim, order);
    CHECK(sim.journal.size() == 2);
}

TEST_CASE("An order with an unknown outcome is not dispatched again")
{
    simulation sim;
    on_first(
        sim,
        request_step::first_byte_sent,
        [&sim](fake_attempt& attempt) { break_connection(sim, attempt); });
    send(sim, order_request("one", "k1"));
    run_until_answered(sim, 10s);
    check_error(
        sim.callers["r-one"], error_kind::outcome_unknown, run_claim::unknown);

    SECTION("Not when its client sends it again")
    {
        send(sim, order_request("two", "k1"));
        run_until_answered(sim, 10s);
        check_error(
            sim.callers["r-two"],
            error_kind::outcome_unknown,
            run_claim::unknown);
    }
    SECTION("Not through another entry")
    {
        simulation other(2);
        on_first(
            other,
            request_step::first_byte_sent,
            [&other](fake_attempt& attempt)
            { break_connection(other, attempt); });
        send(other, order_request("one", "k1"));
        run_until_answered(other, 10s);
        send(other, order_request("two", "k1"), 1);
        run_until_answered(other, 40s);
        CHECK(other.callers["r-two"].error->run == run_claim::unknown);
        CHECK(other.runs["order k1"] == 1);
    }
    CHECK(sim.runs["order k1"] == 1);
}

TEST_CASE(
    "A refused connection after the order was sent leaves its outcome unknown")
{
    simulation sim;
    on_first(
        sim,
        request_step::first_byte_sent,
        [&sim](fake_attempt& attempt)
        {
            attempt.answers_lost = true;
            feed_after(
                sim,
                5ms,
                0,
                attempt_failed{
                    attempt.sent.attempt,
                    attempt_failure::connection_refused,
                    0,
                    {}});
        });
    send(sim, order_request("one", "k1"));
    run_until_answered(sim, 5s);
    check_error(
        sim.callers["r-one"], error_kind::outcome_unknown, run_claim::unknown);
    CHECK(sim.runs["order k1"] == 1);
    CHECK(sim.released.empty());
}

TEST_CASE("A refused order is retried on another upstream with a new record")
{
    simulation sim;
    on_first(
        sim,
        request_step::before_send,
        [&sim](fake_attempt& attempt)
        { sim.upstreams[attempt.sent.target].refusing = true; });
    send(sim, order_request("one", "k1"));
    run_until_answered(sim, 10s);
    check_done(sim.callers["r-one"]);
    CHECK(sim.runs["order k1"] == 1);
    CHECK(sim.dispatches["order k1"] == 2);
    CHECK(sim.released.size() == 1);
    const auto begins = std::count_if(
        sim.action_log.begin(),
        sim.action_log.end(),
        [](const auto& action)
        { return std::holds_alternative<journal_begin>(action); });
    CHECK(begins == 2);
}

TEST_CASE("Without a quorum an order is rejected as not run")
{
    simulation sim;
    sim.quorum = false;
    send(sim, order_request("one", "k1"));
    run_until_answered(sim, 10s);
    check_error(
        sim.callers["r-one"], error_kind::no_quorum, run_claim::not_run);
    CHECK(sim.dispatches.empty());
}

TEST_CASE("The record is released if all journal answers are lost")
{
    simulation sim;
    sim.journal_answers_lost = 100;
    send(sim, order_request("one", "k1"));
    run_until_answered(sim, 10s);
    check_error(
        sim.callers["r-one"], error_kind::no_quorum, run_claim::not_run);
    CHECK(sim.journal.empty());
    sim.journal_answers_lost = 0;
    send(sim, order_request("two", "k1"));
    run_until_answered(sim, 10s);
    check_done(sim.callers["r-two"]);
    CHECK(sim.runs["order k1"] == 1);
}

TEST_CASE("A journal request is repeated after its answer was lost")
{
    simulation sim;
    sim.journal_answers_lost = 1;
    send(sim, order_request("one", "k1"));
    run_until_answered(sim, 10s);
    check_done(sim.callers["r-one"]);
    CHECK(sim.runs["order k1"] == 1);
}

TEST_CASE(
    "An order is not sent to an upstream that died during the journal request")
{
    simulation sim;
    on_first(
        sim,
        request_step::after_record,
        [&sim](fake_attempt& record)
        { kill_upstream(sim, record.sent.target); });
    sim.upstreams.begin()->second.listed = true;
    send(sim, order_request("one", "k1"));
    run_until_answered(sim, 10s);
    check_done(sim.callers["r-one"]);
    CHECK(sim.runs["order k1"] == 1);
}

TEST_CASE("An order is not sent to an upstream that gave notice during the "
          "journal request")
{
    simulation sim;
    upstream_id left;
    on_first(
        sim,
        request_step::after_record,
        [&](fake_attempt& record)
        {
            left = record.sent.target;
            give_notice(sim, left, 10s);
        });
    send(sim, order_request("one", "k1"));
    run_until_answered(sim, 5s);
    check_done(sim.callers["r-one"]);
    for (const auto& action : sim.action_log)
        if (const auto* sent = std::get_if<dispatch>(&action))
            CHECK(sent->target != left);
    CHECK(sim.released.size() == 1);
}

TEST_CASE("An order is retried if its service removes duplicates by key")
{
    simulation sim;
    sim.config->services[{"orders"}].deduplicates = true;
    on_first(
        sim,
        request_step::first_byte_sent,
        [&sim](fake_attempt& attempt) { break_connection(sim, attempt); });
    send(sim, order_request("one", "k1"));
    run_until_answered(sim, 10s);
    check_done(sim.callers["r-one"]);
    CHECK(sim.journal.begin()->second.state == journal_state::finished);
}

TEST_CASE("An order that outlasts its deadline fails as possibly run")
{
    simulation sim;
    sim.config->classes[{"chat"}].deadline = 2s;
    on_first(
        sim,
        request_step::first_byte_sent,
        [&sim](fake_attempt& attempt)
        { attempt.due = sim.now + duration(5s); });
    send(sim, order_request("one", "k1"));
    run_until_answered(sim, 3s);
    check_error(
        sim.callers["r-one"], error_kind::deadline_passed, run_claim::unknown);

    SECTION("Its answer is still stored and returned to a resend")
    {
        run_for(sim, 5s);
        send(sim, order_request("two", "k1"));
        run_until_answered(sim, 3s);
        check_done(sim.callers["r-two"]);
        CHECK(sim.runs["order k1"] == 1);
    }
}

TEST_CASE("A restarted entry does not rerun an order of its previous process")
{
    simulation sim;
    on_first(
        sim,
        request_step::first_byte_sent,
        [&sim](fake_attempt& attempt) { attempt.answers_lost = true; });
    send(sim, order_request("one", "k1"));
    run_for(sim, 100ms);
    REQUIRE(sim.runs["order k1"] == 1);
    sim.entries[0] = {};
    sim.entries[0].options.node = {"entry0"};
    sim.entries[0].options.incarnation = 2;
    sim.callers.clear();

    SECTION("While the record is still in flight")
    {
        send(sim, order_request("two", "k1"));
        run_until_answered(sim, 40s);
    }
    SECTION("After the journal marked the outcome as unknown")
    {
        sim.journal.begin()->second.state = journal_state::unknown;
        send(sim, order_request("two", "k1"));
        run_until_answered(sim, 1s);
    }
    CHECK(sim.callers["r-two"].error->run == run_claim::unknown);
    CHECK(sim.runs["order k1"] == 1);
}
