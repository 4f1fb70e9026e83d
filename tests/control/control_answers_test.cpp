// Tests of a control duty without threads: which outcome a proposal's sender is
// told, and when the configuration lease is renewed. A wrong outcome would make
// the sender repeat a committed change or drop one that was not committed.
#include "control/local_cluster.hpp"
#include "daemon/control_state.hpp"
#include "wire/consensus.pb.h"

#include <catch2/catch.hpp>

using namespace local_cluster;

namespace
{

/// A duty that is not started, with one proposer.
struct stopped_duty
{
    explicit stopped_duty(std::size_t voters = 3)
    {
        peers_options of_peers;
        of_peers.self = {"n0"};
        peers = make_peers_duty(of_peers);
        control_options options;
        options.self = {"n0"};
        control = make_control(options, list_machine(seen), *peers);
        sending_proposer = &make_proposer(
            *control,
            16,
            [this](control_message&& message)
            { record_message(seen, std::move(message)); });
        consensus::replica_options core;
        core.self = {"n0"};
        core.limits.wanted_voters = voters;
        for (std::size_t i = 0; i < voters; ++i)
            core.nodes.push_back(
                {{"n" + std::to_string(i)}, {std::to_string(i)}});
        consensus::recovered_state stored;
        stored.hard = {1, {}, true};
        control->core = consensus::make_replica(core, stored, now());
    }

    proposal_sender sender(std::uint64_t ticket, duration left = 1h)
    {
        return {sending_proposer, {}, 0, ticket, now() + left};
    }

    proposal_outcome outcome(std::uint64_t ticket)
    {
        REQUIRE(seen.answers.count(ticket) == 1);
        return seen.answers[ticket].outcome;
    }

    observed seen;
    peers_duty_ptr peers;
    control_handle control;
    proposer* sending_proposer = nullptr;
};

consensus::entry make_entry(std::uint64_t index, std::uint64_t term)
{
    return {.term = term, .index = index, .command = "c", .members = {}};
}

incoming_message make_reply(
    std::uint64_t ticket, wire::replica::forwarded_answer::outcome_kind is)
{
    wire::replica::forwarded_answer reply;
    reply.set_ticket(ticket);
    reply.set_outcome(is);
    return {{"n1"}, 1, wire::proposal_reply, reply.SerializeAsString()};
}

consensus::freshness_answered
make_freshness(const char* node, std::uint64_t index, bool leads = false)
{
    return {{node}, {1, leads, index}};
}

void begin_confirmation(stopped_duty& stopped)
{
    stopped.control->confirmations.push_back(confirmation{1, now(), {}, 0, {}});
}

bool renewed(const stopped_duty& stopped)
{
    return stopped.seen.configuration_until > now();
}

/// Forwards one proposal to the leader and returns the ticket that its answer
/// will carry.
std::uint64_t forward_proposal(stopped_duty& stopped)
{
    stopped.control->core.leader = {"n1"};
    accept_proposal(
        *stopped.control, *stopped.sending_proposer, {1, "change", now() + 1h});
    flush_proposals(*stopped.control);
    return stopped.control->forwarded_proposals.begin()->first;
}

} // namespace

TEST_CASE("a proposal's outcome follows from the entry applied at its index")
{
    stopped_duty stopped;
    stopped.control->logged_proposals[5] = {stopped.sender(1), 2};

    SECTION("its own entry: committed, with the result")
    {
        answer_applied(*stopped.control, make_entry(5, 2), "result");
        CHECK(stopped.outcome(1) == proposal_outcome::committed);
        CHECK(stopped.seen.answers[1].result == "result");
        CHECK(stopped.seen.answers[1].index == 5);
    }
    SECTION("an entry of another term: not committed")
    {
        answer_applied(*stopped.control, make_entry(5, 3), "");
        CHECK(stopped.outcome(1) == proposal_outcome::not_committed);
    }
    SECTION("a snapshot that covers its index: unknown")
    {
        answer_replaced_by_snapshot(*stopped.control, 7);
        CHECK(stopped.outcome(1) == proposal_outcome::unknown);
    }
    answer_applied(*stopped.control, make_entry(5, 2), "again");
    answer_all_proposals(*stopped.control);
    CHECK(stopped.seen.answered == 1);
}

TEST_CASE("an expired proposal is not committed if never sent, else unknown")
{
    stopped_duty stopped;
    stopped.control->pending.push_back({stopped.sender(1, -1ms), "held"});
    stopped.control->logged_proposals[5] = {stopped.sender(2, -1ms), 2};
    stopped.control->forwarded_proposals[9] = stopped.sender(3, -1ms);
    stopped.control->pending.push_back({stopped.sender(4), "later"});
    expire_proposals(*stopped.control, now());
    CHECK(stopped.outcome(1) == proposal_outcome::not_committed);
    CHECK(stopped.outcome(2) == proposal_outcome::unknown);
    CHECK(stopped.outcome(3) == proposal_outcome::unknown);
    CHECK(stopped.seen.answers.count(4) == 0);
    CHECK(stopped.seen.answered == 3);
}

TEST_CASE("handles the leader's answer to a forwarded proposal")
{
    using reply = wire::replica::forwarded_answer;
    stopped_duty stopped;
    stopped.control->forwarded_proposals[9] = stopped.sender(1);
    stopped.control->forwarded_commands[9] = "c";

    SECTION("committed or unknown is passed on once")
    {
        const auto is = GENERATE(reply::committed, reply::unknown);
        handle_proposal_reply(*stopped.control, make_reply(9, is));
        handle_proposal_reply(*stopped.control, make_reply(9, is));
        CHECK(stopped.seen.answered == 1);
        CHECK(stopped.outcome(1) != proposal_outcome::not_committed);
    }
    SECTION("not committed: the proposal is pending again")
    {
        handle_proposal_reply(
            *stopped.control, make_reply(9, reply::not_committed));
        CHECK(stopped.seen.answered == 0);
        REQUIRE(stopped.control->pending.size() == 1);
        CHECK(stopped.control->pending.front().command == "c");
    }
}

TEST_CASE("a late answer to an earlier process does not answer a proposal")
{
    stopped_duty earlier;
    const std::uint64_t late = forward_proposal(earlier);
    stopped_duty restarted;
    forward_proposal(restarted);
    handle_proposal_reply(
        *restarted.control,
        make_reply(late, wire::replica::forwarded_answer::committed));
    CHECK(restarted.seen.answered == 0);
}

TEST_CASE("a proposal that comes after its deadline is not appended later")
{
    stopped_duty stopped;
    accept_proposal(
        *stopped.control,
        *stopped.sending_proposer,
        {1, "change", now() - 1ms});
    CHECK(stopped.outcome(1) == proposal_outcome::not_committed);
    CHECK(stopped.control->pending.empty());
}

TEST_CASE("a duplicate of a forwarded proposal is ignored")
{
    stopped_duty stopped;
    wire::replica::forwarded_proposal message;
    message.set_ticket(4);
    message.set_command("c");
    message.set_time_left_us(1'000'000);
    const incoming_message once{
        {"n1"}, 1, wire::proposal, message.SerializeAsString()};
    accept_forwarded_proposal(*stopped.control, once);
    accept_forwarded_proposal(*stopped.control, once);
    CHECK(stopped.control->pending.size() == 1);
    incoming_message restarted = once;
    restarted.incarnation = 2;
    accept_forwarded_proposal(*stopped.control, restarted);
    CHECK(stopped.control->pending.size() == 2);
}

TEST_CASE("the leader's answer renews the configuration lease")
{
    stopped_duty stopped;
    begin_confirmation(stopped);
    SECTION("if everything that it has committed is applied here")
    {
        handle_freshness(
            *stopped.control, make_freshness("n1", 0, true), now());
        CHECK(renewed(stopped));
    }
    SECTION("only after everything that it has committed is applied here")
    {
        handle_freshness(
            *stopped.control, make_freshness("n1", 3, true), now());
        CHECK_FALSE(renewed(stopped));
        stopped.control->core.applied = 3;
        complete_confirmation(*stopped.control);
        CHECK(renewed(stopped));
    }
    SECTION("not if it answers no query that is open")
    {
        stopped.control->confirmations.back().token = 2;
        handle_freshness(
            *stopped.control, make_freshness("n1", 0, true), now());
        CHECK_FALSE(renewed(stopped));
    }
}

TEST_CASE("answers of voters that intersect every quorum renew the lease")
{
    SECTION("of three voters, two must answer")
    {
        stopped_duty stopped(3);
        begin_confirmation(stopped);
        handle_freshness(*stopped.control, make_freshness("n1", 0), now());
        handle_freshness(*stopped.control, make_freshness("n1", 0), now());
        CHECK_FALSE(renewed(stopped));
        handle_freshness(*stopped.control, make_freshness("n2", 0), now());
        CHECK(renewed(stopped));
    }
    SECTION("of four voters, three must answer")
    {
        stopped_duty stopped(4);
        begin_confirmation(stopped);
        handle_freshness(*stopped.control, make_freshness("n1", 0), now());
        handle_freshness(*stopped.control, make_freshness("n2", 0), now());
        CHECK_FALSE(renewed(stopped));
        handle_freshness(*stopped.control, make_freshness("n3", 0), now());
        CHECK(renewed(stopped));
    }
    SECTION("not while one of them has an entry that is not applied here")
    {
        stopped_duty stopped(3);
        begin_confirmation(stopped);
        handle_freshness(*stopped.control, make_freshness("n1", 4), now());
        handle_freshness(*stopped.control, make_freshness("n2", 0), now());
        CHECK_FALSE(renewed(stopped));
    }
    SECTION("not with answers that came after the members had changed")
    {
        stopped_duty stopped(3);
        begin_confirmation(stopped);
        auto members = consensus::members_of(stopped.control->core);
        stopped.control->core.memberships.emplace_back(5, members);
        handle_freshness(*stopped.control, make_freshness("n1", 0), now());
        handle_freshness(*stopped.control, make_freshness("n2", 0), now());
        CHECK_FALSE(renewed(stopped));
    }
    SECTION("not with the answer of a node that is no voter")
    {
        stopped_duty stopped(3);
        begin_confirmation(stopped);
        handle_freshness(*stopped.control, make_freshness("n1", 0), now());
        handle_freshness(*stopped.control, make_freshness("n8", 0), now());
        CHECK_FALSE(renewed(stopped));
    }
}

TEST_CASE("answers that take longer than the interval still renew the lease")
{
    stopped_duty stopped;
    const time_point began = now();
    control_duty& control = *stopped.control;
    control.confirmations.push_back({1, began, {}, 0, {}});
    control.confirmations.push_back({2, began + 500ms, {}, 0, {}});
    handle_freshness(control, make_freshness("n1", 0, true), now());
    const time_point lease = control.options.configuration_lease + began;

    SECTION("from the moment of the query that is answered")
    {
        CHECK(stopped.seen.configuration_until == lease);
        REQUIRE(control.confirmations.size() == 1);
        CHECK(control.confirmations.front().token == 2);
    }
    SECTION("and a later answer to an older query does not shorten it")
    {
        handle_freshness(control, {{"n1"}, {2, true, 0}}, began + 600ms);
        CHECK(stopped.seen.configuration_until == lease + 500ms);
        handle_freshness(control, make_freshness("n1", 0, true), now());
        CHECK(stopped.seen.configuration_until == lease + 500ms);
        CHECK(control.confirmations.empty());
    }
    SECTION("but a query that is older than the lease is given up")
    {
        control.confirmations.push_front({3, began - 1h, {}, 0, {}});
        start_confirmation(control, now());
        CHECK(control.confirmations.front().token == 2);
        CHECK(status_of(control).abandoned_confirmations == 1);
    }
}
