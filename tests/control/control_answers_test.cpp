// What the control duty answers and when its configuration lease is renewed,
// without threads: its functions are called by hand.
#include "control/local_cluster.hpp"
#include "daemon/control_state.hpp"
#include "wire/consensus.pb.h"

#include <catch2/catch.hpp>

using namespace local_cluster;

namespace
{

/// A duty that is not started, with one proposer.
struct still_duty
{
    explicit still_duty(std::size_t voters = 3)
    {
        peers_options of_peers;
        of_peers.self = {"n0"};
        peers = make_peers(of_peers);
        control_options options;
        options.self = {"n0"};
        control = make_control(options, list_machine(seen), *peers);
        from = &make_proposer(
            *control,
            16,
            [this](control_news&& news) { take_news(seen, std::move(news)); });
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

    proposal_origin origin(std::uint64_t ticket, duration left = 1h)
    {
        return {from, {}, 0, ticket, now() + left};
    }

    proposal_outcome outcome(std::uint64_t ticket)
    {
        REQUIRE(seen.answers.count(ticket) == 1);
        return seen.answers[ticket].outcome;
    }

    observed seen;
    peers_handle peers;
    control_handle control;
    proposer* from = nullptr;
};

consensus::entry entry_at(std::uint64_t index, std::uint64_t term)
{
    return {.term = term, .index = index, .command = "c", .members = {}};
}

incoming_message
reply_of(std::uint64_t ticket, wire::replica::forwarded_answer::outcome_kind is)
{
    wire::replica::forwarded_answer reply;
    reply.set_ticket(ticket);
    reply.set_outcome(is);
    return {{"n1"}, 1, wire::proposal_reply, reply.SerializeAsString()};
}

consensus::freshness
answer_of(const char* node, std::uint64_t index, bool leads = false)
{
    return {{node}, {1, leads, index}};
}

void ask(still_duty& still)
{
    still.control->asking = confirmation{1, now(), {}, {}};
}

bool renewed(const still_duty& still)
{
    return still.seen.configuration_until > now();
}

} // namespace

TEST_CASE("the entry that is applied decides what a proposal is told")
{
    still_duty still;
    still.control->logged[5] = {still.origin(1), 2};

    SECTION("its own: committed, with the result")
    {
        settle(*still.control, entry_at(5, 2), "result");
        CHECK(still.outcome(1) == proposal_outcome::committed);
        CHECK(still.seen.answers[1].result == "result");
        CHECK(still.seen.answers[1].index == 5);
    }
    SECTION("another in its place: certainly not committed")
    {
        settle(*still.control, entry_at(5, 3), "");
        CHECK(still.outcome(1) == proposal_outcome::not_committed);
    }
    SECTION("a snapshot passed over it: unknown")
    {
        settle_up_to(*still.control, 7);
        CHECK(still.outcome(1) == proposal_outcome::unknown);
    }
    settle(*still.control, entry_at(5, 2), "again");
    settle_all(*still.control);
    CHECK(still.seen.answered == 1);
}

TEST_CASE("when its time is out, a proposal is told what is certain")
{
    still_duty still;
    still.control->held.push_back({still.origin(1, -1ms), "held"});
    still.control->logged[5] = {still.origin(2, -1ms), 2};
    still.control->forwarded[9] = still.origin(3, -1ms);
    still.control->held.push_back({still.origin(4), "later"});
    expire_proposals(*still.control, now());
    CHECK(still.outcome(1) == proposal_outcome::not_committed);
    CHECK(still.outcome(2) == proposal_outcome::unknown);
    CHECK(still.outcome(3) == proposal_outcome::unknown);
    CHECK(still.seen.answers.count(4) == 0);
    CHECK(still.seen.answered == 3);
}

TEST_CASE("the leader's answer to a forwarded proposal")
{
    using reply = wire::replica::forwarded_answer;
    still_duty still;
    still.control->forwarded[9] = still.origin(1);
    still.control->forwarded_commands[9] = "c";

    SECTION("committed, or unknown, is passed on once")
    {
        const auto is = GENERATE(reply::committed, reply::unknown);
        take_reply(*still.control, reply_of(9, is));
        take_reply(*still.control, reply_of(9, is));
        CHECK(still.seen.answered == 1);
        CHECK(still.outcome(1) != proposal_outcome::not_committed);
    }
    SECTION("not committed: it waits for another leader")
    {
        take_reply(*still.control, reply_of(9, reply::not_committed));
        CHECK(still.seen.answered == 0);
        REQUIRE(still.control->held.size() == 1);
        CHECK(still.control->held.front().command == "c");
    }
}

TEST_CASE("a copy of a forwarded proposal is not taken a second time")
{
    still_duty still;
    wire::replica::forwarded_proposal message;
    message.set_ticket(4);
    message.set_command("c");
    message.set_time_left_us(1'000'000);
    const incoming_message once{
        {"n1"}, 1, wire::proposal, message.SerializeAsString()};
    take_forwarded(*still.control, once);
    take_forwarded(*still.control, once);
    CHECK(still.control->held.size() == 1);
    incoming_message restarted = once;
    restarted.incarnation = 2;
    take_forwarded(*still.control, restarted);
    CHECK(still.control->held.size() == 2);
}

TEST_CASE("the configuration lease is renewed by the leader's word")
{
    still_duty still;
    ask(still);
    SECTION("if everything it has committed is applied")
    {
        take_freshness(*still.control, answer_of("n1", 0, true), now());
        CHECK(renewed(still));
    }
    SECTION("and not before")
    {
        take_freshness(*still.control, answer_of("n1", 3, true), now());
        CHECK_FALSE(renewed(still));
        still.control->core.applied = 3;
        check_confirmation(*still.control);
        CHECK(renewed(still));
    }
    SECTION("not by an answer to an older question")
    {
        still.control->asking->token = 2;
        take_freshness(*still.control, answer_of("n1", 0, true), now());
        CHECK_FALSE(renewed(still));
    }
}

TEST_CASE("the configuration lease is renewed by voters that meet each quorum")
{
    SECTION("two of three")
    {
        still_duty still(3);
        ask(still);
        take_freshness(*still.control, answer_of("n1", 0), now());
        take_freshness(*still.control, answer_of("n1", 0), now());
        CHECK_FALSE(renewed(still));
        take_freshness(*still.control, answer_of("n2", 0), now());
        CHECK(renewed(still));
    }
    SECTION("three of four")
    {
        still_duty still(4);
        ask(still);
        take_freshness(*still.control, answer_of("n1", 0), now());
        take_freshness(*still.control, answer_of("n2", 0), now());
        CHECK_FALSE(renewed(still));
        take_freshness(*still.control, answer_of("n3", 0), now());
        CHECK(renewed(still));
    }
    SECTION("not while one of them holds an entry that is not applied here")
    {
        still_duty still(3);
        ask(still);
        take_freshness(*still.control, answer_of("n1", 4), now());
        take_freshness(*still.control, answer_of("n2", 0), now());
        CHECK_FALSE(renewed(still));
    }
    SECTION("not by one that is no voter")
    {
        still_duty still(3);
        ask(still);
        take_freshness(*still.control, answer_of("n1", 0), now());
        take_freshness(*still.control, answer_of("n8", 0), now());
        CHECK_FALSE(renewed(still));
    }
}
