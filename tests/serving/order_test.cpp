#include "serving/world.hpp"

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
    CHECK(caller.complaint.empty());
}

void check_error(const fake_caller& caller, error_kind kind, run_claim run)
{
    REQUIRE(caller.error);
    CHECK(caller.error->error.kind == kind);
    CHECK(caller.error->run == run);
}

void at(world& w, life_step wanted, std::function<void(fake_attempt&)> act)
{
    w.hook = [wanted, act = std::move(act), done = false](
                 life_step step, std::uint64_t, fake_attempt& attempt) mutable
    {
        if (step != wanted || done)
            return;
        done = true;
        act(attempt);
    };
}

} // namespace

TEST_CASE("An order is recorded, sent, answered and stored")
{
    world w;
    const fake_caller& caller = send(w, order_request("one", "k1"));
    CHECK(w.dispatches.empty());
    run_until_answered(w, 5s);
    check_done(caller);
    CHECK(w.runs["order k1"] == 1);

    SECTION("the same key gets the stored answer")
    {
        send(w, order_request("two", "k1"));
        run_until_answered(w, 5s);
        check_done(w.callers["r-two"]);
        CHECK(w.runs["order k1"] == 1);
    }
    SECTION("even while no upstream is there")
    {
        for (auto& [id, one] : w.upstreams)
            one.listed = false;
        send(w, order_request("two", "k1"));
        run_until_answered(w, 5s);
        check_done(w.callers["r-two"]);
    }
    SECTION("the same key with another body is a conflict")
    {
        caller_request other = order_request("two", "k1");
        other.body = "another order";
        send(w, other);
        run_until_answered(w, 5s);
        check_error(
            w.callers["r-two"], error_kind::key_conflict, run_claim::not_run);
        CHECK(w.runs["another order"] == 0);
    }
}

TEST_CASE("Two sendings of one order at once run it once")
{
    world w(2);
    send(w, order_request("one", "k1"), 0);
    send(w, order_request("two", "k1"), 0);
    send(w, order_request("three", "k1"), 1);
    run_until_answered(w, 10s);
    for (const auto& [name, caller] : w.callers)
        check_done(caller);
    CHECK(w.runs["order k1"] == 1);
}

TEST_CASE("An order needs a key")
{
    world w;
    check_error(
        send(w, order_request("one", "")),
        error_kind::missing_idempotency_key,
        run_claim::not_run);
}

TEST_CASE("A caller may forbid repetition, and never permit it")
{
    world w;
    caller_request lookup = order_request("one", "k1");
    lookup.path = "/stock";
    lookup.repeatable = false;
    send(w, lookup);
    CHECK(w.journal.size() == 1);
    caller_request order = order_request("two", "k2");
    order.repeatable = true;
    send(w, order);
    CHECK(w.journal.size() == 2);
}

TEST_CASE("An order whose fate nobody knows is not sent again")
{
    world w;
    at(w,
       life_step::first_byte_sent,
       [&w](fake_attempt& attempt) { cut(w, attempt); });
    send(w, order_request("one", "k1"));
    run_until_answered(w, 10s);
    check_error(
        w.callers["r-one"], error_kind::outcome_unknown, run_claim::unknown);

    SECTION("nor when it is sent again by its caller")
    {
        send(w, order_request("two", "k1"));
        run_until_answered(w, 10s);
        check_error(
            w.callers["r-two"],
            error_kind::outcome_unknown,
            run_claim::unknown);
    }
    SECTION("nor through another entry")
    {
        world other(2);
        at(other,
           life_step::first_byte_sent,
           [&other](fake_attempt& attempt) { cut(other, attempt); });
        send(other, order_request("one", "k1"));
        run_until_answered(other, 10s);
        send(other, order_request("two", "k1"), 1);
        run_until_answered(other, 40s);
        CHECK(other.callers["r-two"].error->run == run_claim::unknown);
        CHECK(other.runs["order k1"] == 1);
    }
    CHECK(w.runs["order k1"] == 1);
}

TEST_CASE("A refused connection after the order went out proves nothing")
{
    world w;
    at(w,
       life_step::first_byte_sent,
       [&w](fake_attempt& attempt)
       {
           attempt.mute = true;
           later(
               w,
               5ms,
               0,
               attempt_failed{
                   attempt.sent.attempt,
                   attempt_failure::connection_refused,
                   0,
                   {}});
       });
    send(w, order_request("one", "k1"));
    run_until_answered(w, 5s);
    check_error(
        w.callers["r-one"], error_kind::outcome_unknown, run_claim::unknown);
    CHECK(w.runs["order k1"] == 1);
    CHECK(w.released.empty());
}

TEST_CASE("A refused order goes to another upstream under a new record")
{
    world w;
    at(w,
       life_step::before_send,
       [&w](fake_attempt& attempt)
       { w.upstreams[attempt.sent.target].refusing = true; });
    send(w, order_request("one", "k1"));
    run_until_answered(w, 10s);
    check_done(w.callers["r-one"]);
    CHECK(w.runs["order k1"] == 1);
    CHECK(w.dispatches["order k1"] == 2);
    CHECK(w.released.size() == 1);
    const auto begins = std::count_if(
        w.log.begin(),
        w.log.end(),
        [](const auto& action)
        { return std::holds_alternative<journal_begin>(action); });
    CHECK(begins == 2);
}

TEST_CASE("Without a quorum an order is refused, truthfully")
{
    world w;
    w.quorum = false;
    send(w, order_request("one", "k1"));
    run_until_answered(w, 10s);
    check_error(w.callers["r-one"], error_kind::no_quorum, run_claim::not_run);
    CHECK(w.dispatches.empty());
}

TEST_CASE("When the journal's answers are lost, the record is released")
{
    world w;
    w.journal_answers_lost = 100;
    send(w, order_request("one", "k1"));
    run_until_answered(w, 10s);
    check_error(w.callers["r-one"], error_kind::no_quorum, run_claim::not_run);
    CHECK(w.journal.empty());
    w.journal_answers_lost = 0;
    send(w, order_request("two", "k1"));
    run_until_answered(w, 10s);
    check_done(w.callers["r-two"]);
    CHECK(w.runs["order k1"] == 1);
}

TEST_CASE("A lost answer of the journal is asked for again")
{
    world w;
    w.journal_answers_lost = 1;
    send(w, order_request("one", "k1"));
    run_until_answered(w, 10s);
    check_done(w.callers["r-one"]);
    CHECK(w.runs["order k1"] == 1);
}

TEST_CASE("An upstream that goes while the journal is asked gets nothing")
{
    world w;
    at(w,
       life_step::after_record,
       [&w](fake_attempt& record) { kill(w, record.sent.target); });
    w.upstreams.begin()->second.listed = true;
    send(w, order_request("one", "k1"));
    run_until_answered(w, 10s);
    check_done(w.callers["r-one"]);
    CHECK(w.runs["order k1"] == 1);
}

TEST_CASE("An upstream that begins to leave while the journal is asked")
{
    world w;
    upstream_id left;
    at(w,
       life_step::after_record,
       [&](fake_attempt& record)
       {
           left = record.sent.target;
           give_notice(w, left, 10s);
       });
    send(w, order_request("one", "k1"));
    run_until_answered(w, 5s);
    check_done(w.callers["r-one"]);
    for (const auto& action : w.log)
        if (const auto* sent = std::get_if<dispatch>(&action))
            CHECK(sent->target != left);
    CHECK(w.released.size() == 1);
}

TEST_CASE("A service that removes duplicates by key is asked again")
{
    world w;
    w.config->services[{"orders"}].deduplicates = true;
    at(w,
       life_step::first_byte_sent,
       [&w](fake_attempt& attempt) { cut(w, attempt); });
    send(w, order_request("one", "k1"));
    run_until_answered(w, 10s);
    check_done(w.callers["r-one"]);
    CHECK(w.journal.begin()->second.state == journal_state::finished);
}

TEST_CASE("An order that takes longer than its deadline")
{
    world w;
    w.config->classes[{"chat"}].deadline = 2s;
    at(w,
       life_step::first_byte_sent,
       [&w](fake_attempt& attempt) { attempt.due = w.now + duration(5s); });
    send(w, order_request("one", "k1"));
    run_until_answered(w, 3s);
    check_error(
        w.callers["r-one"], error_kind::deadline_passed, run_claim::unknown);

    SECTION("is still stored, for the caller that sends it again")
    {
        run_for(w, 5s);
        send(w, order_request("two", "k1"));
        run_until_answered(w, 3s);
        check_done(w.callers["r-two"]);
        CHECK(w.runs["order k1"] == 1);
    }
}

TEST_CASE("A restarted entry does not run an order of its former self again")
{
    world w;
    at(w,
       life_step::first_byte_sent,
       [&w](fake_attempt& attempt) { attempt.mute = true; });
    send(w, order_request("one", "k1"));
    run_for(w, 100ms);
    REQUIRE(w.runs["order k1"] == 1);
    w.entries[0] = {};
    w.entries[0].options.node = {"entry0"};
    w.entries[0].options.incarnation = 2;
    w.callers.clear();

    SECTION("while its record still reads as in flight")
    {
        send(w, order_request("two", "k1"));
        run_until_answered(w, 40s);
    }
    SECTION("when the journal knows that the owner is gone")
    {
        w.journal.begin()->second.state = journal_state::unknown;
        send(w, order_request("two", "k1"));
        run_until_answered(w, 1s);
    }
    CHECK(w.callers["r-two"].error->run == run_claim::unknown);
    CHECK(w.runs["order k1"] == 1);
}
