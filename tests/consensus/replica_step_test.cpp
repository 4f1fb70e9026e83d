// Tests of a single replica: the actions it returns for given inputs.
#include "consensus/replica.hpp"

#include <catch2/catch.hpp>

using namespace bergamotusher;
using namespace bergamotusher::consensus;

namespace
{

constexpr time_point start(1h);

replica make_voter(recovered_state stored)
{
    replica_options options;
    options.self = {"n0"};
    for (const char* id : {"n0", "n1", "n2"})
        options.nodes.push_back({{id}, {id}});
    options.storage_id = 9;
    return make_replica(options, std::move(stored), start);
}

recovered_state admitted_state(term_number term, const node_id& vote = {})
{
    recovered_state stored;
    stored.hard = {term, vote, true};
    return stored;
}

entry command_entry(term_number term, log_index index)
{
    return {.term = term, .index = index, .command = "c", .members = {}};
}

/// The actions of the given type.
template<class Action>
std::vector<Action> actions_of(const actions& all)
{
    std::vector<Action> found;
    for (const action& item : all)
        if (const auto* value = std::get_if<Action>(&item))
            found.push_back(*value);
    return found;
}

/// The messages of the given type that the actions send.
template<class Message>
std::vector<Message> messages_in(const actions& all)
{
    std::vector<Message> found;
    for (const send& item : actions_of<send>(all))
        if (const auto* value = std::get_if<Message>(&item.content))
            found.push_back(*value);
    return found;
}

actions sync_all(replica& core, time_point now)
{
    return step(core, storage_synced{core.next_token - 1}, now);
}

/// A leader of term `stored.hard.term + 1` that has received no replies yet.
replica make_leader(recovered_state stored, time_point now)
{
    const term_number term = stored.hard.term + 1;
    replica core = make_voter(std::move(stored));
    step(core, tick{}, now);
    step(core, received{{"n1"}, vote_reply{true, term, true}}, now);
    sync_all(core, now);
    step(core, received{{"n1"}, vote_reply{false, term, true}}, now);
    REQUIRE(core.role == role::leader);
    sync_all(core, now);
    return core;
}

append_reply accepting_reply(term_number term, log_index match)
{
    append_reply reply;
    reply.term = term;
    reply.accepted = true;
    reply.match = match;
    return reply;
}

} // namespace

TEST_CASE("grants one vote per term, and only after it is synced")
{
    const time_point later = start + 5s;
    replica core = make_voter(admitted_state(4));
    const actions asked =
        step(core, received{{"n1"}, vote_request{false, 5, 0, 0}}, later);
    CHECK(messages_in<vote_reply>(asked).empty());
    REQUIRE(actions_of<persist>(asked).size() == 1);
    CHECK(actions_of<persist>(asked)[0].hard == hard_state{5, {"n1"}, true});
    const actions synced = sync_all(core, later);
    REQUIRE(messages_in<vote_reply>(synced).size() == 1);
    CHECK(messages_in<vote_reply>(synced)[0].granted);

    SECTION("rejects another candidate of the term after a restart")
    {
        replica restarted = make_voter(admitted_state(5, {"n1"}));
        step(restarted, received{{"n2"}, vote_request{false, 5, 9, 4}}, later);
        const actions other = step(
            restarted, received{{"n2"}, vote_request{false, 5, 9, 4}}, later);
        REQUIRE(messages_in<vote_reply>(other).size() == 1);
        CHECK_FALSE(messages_in<vote_reply>(other)[0].granted);
    }
}

TEST_CASE("a replica with a new data folder grants no vote")
{
    replica core = make_voter({});
    const time_point later = start + 5s;
    const bool pre = GENERATE(true, false);
    step(core, received{{"n1"}, vote_request{pre, 7, 9, 6}}, later);
    CHECK(core.hard.vote.empty());
    const actions out = sync_all(core, later);
    for (const vote_reply& reply : messages_in<vote_reply>(out))
        CHECK_FALSE(reply.granted);
}

TEST_CASE("acknowledges and applies entries only after they are synced")
{
    replica core = make_voter(admitted_state(1));
    append_request request;
    request.term = 1;
    request.commit = 1;
    request.entries.push_back(command_entry(1, 1));
    const actions out = step(core, received{{"n1"}, request}, start);
    CHECK(messages_in<append_reply>(out).empty());
    CHECK(actions_of<apply>(out).empty());
    const actions synced = sync_all(core, start);
    CHECK(messages_in<append_reply>(synced).size() == 1);
    CHECK(actions_of<apply>(synced).size() == 1);
}

TEST_CASE("sends nothing after a failed sync")
{
    replica core = make_voter(admitted_state(1));
    append_request request;
    request.term = 1;
    request.entries.push_back(command_entry(1, 1));
    step(core, received{{"n1"}, request}, start);
    step(core, storage_broken{}, start);
    CHECK(sync_all(core, start).empty());
    CHECK(step(core, received{{"n1"}, request}, start).empty());
    const actions refused_proposal = step(core, propose{{"c"}}, start);
    REQUIRE(actions_of<refused>(refused_proposal).size() == 1);
    CHECK(
        actions_of<refused>(refused_proposal)[0].kind ==
        error_kind::storage_failed);
}

TEST_CASE("commits an entry of an earlier term only with one of its own term")
{
    recovered_state stored = admitted_state(1);
    stored.entries.push_back(command_entry(1, 1));
    const time_point now = start + 3s;
    replica core = make_leader(std::move(stored), now);
    step(core, received{{"n1"}, accepting_reply(2, 1)}, now);
    CHECK(core.commit == 0);
    step(core, received{{"n1"}, accepting_reply(2, 2)}, now);
    CHECK(core.commit == 2);
}

TEST_CASE("a follower with a new data folder counts for no quorum")
{
    const time_point now = start + 3s;
    replica core = make_leader(admitted_state(1), now);
    append_reply unadmitted = accepting_reply(2, 1);
    unadmitted.unadmitted = 5;
    unadmitted.sent_at_us = now.time_since_epoch().count();
    step(core, received{{"n1"}, unadmitted}, now);
    CHECK(core.commit == 0);
    CHECK(lease_until(core) <= now);
    step(core, received{{"n2"}, accepting_reply(2, 1)}, now);
    CHECK(core.commit == 1);
}

TEST_CASE("refuses more than one change of voters at a time")
{
    const time_point now = start + 3s;
    replica core = make_leader(admitted_state(1), now);
    const membership smaller = with_learner(members_of(core), {"n2"});

    SECTION("refuses a change before the leader has committed in its term")
    {
        CHECK(
            actions_of<refused>(step(core, change_members{smaller}, now))
                .size() == 1);
    }
    SECTION("refuses a second change before the first is committed")
    {
        step(core, received{{"n1"}, accepting_reply(2, 1)}, now);
        CHECK(actions_of<refused>(step(core, change_members{smaller}, now))
                  .empty());
        const membership back = with_voter(members_of(core), {"n2"});
        CHECK(
            actions_of<refused>(step(core, change_members{back}, now)).size() ==
            1);
    }
    SECTION("refuses a change of two voters")
    {
        step(core, received{{"n1"}, accepting_reply(2, 1)}, now);
        const membership two = with_learner(smaller, {"n1"});
        CHECK(
            actions_of<refused>(step(core, change_members{two}, now)).size() ==
            1);
    }
}

TEST_CASE("a new leader may not act alone until any earlier lease has expired")
{
    const time_point now = start + 3s;
    replica core = make_leader(admitted_state(1), now);
    const auto answer_at = [&](time_point sent_at)
    {
        append_reply reply = accepting_reply(2, 1);
        reply.sent_at_us = sent_at.time_since_epoch().count();
        step(core, received{{"n1"}, reply}, sent_at);
    };
    answer_at(now);
    CHECK(lease_until(core) > now);
    CHECK_FALSE(may_act_as_sole_leader(core, now));
    const time_point later = now + core.options.timing.lease * 2;
    answer_at(later);
    CHECK(may_act_as_sole_leader(core, later));
}

TEST_CASE("a blocking set intersects every quorum after one membership change")
{
    // It must intersect every quorum of `n`, `n - 1` and `n + 1` voters.
    for (std::size_t n = 2; n <= 7; ++n)
    {
        const std::size_t size = blocking_set_size(n);
        CHECK(size <= n);
        CHECK(size + quorum_size(n) > n);
        CHECK(size + quorum_size(n - 1) > n);
        CHECK(size + quorum_size(n + 1) - 1 > n);
    }
}

TEST_CASE("a snapshot that conflicts with the log replaces the whole log")
{
    recovered_state stored = admitted_state(1);
    for (log_index i = 1; i <= 5; ++i)
        stored.entries.push_back(command_entry(1, i));
    replica core = make_voter(std::move(stored));
    snapshot_chunk chunk;
    chunk.term = 3;
    chunk.index = 3;
    chunk.index_term = GENERATE(1, 2);
    chunk.members = members_of(core);
    chunk.bytes = "state";
    chunk.last = true;
    const actions out = step(core, received{{"n1"}, chunk}, start);
    CHECK(messages_in<snapshot_reply>(out).empty());
    REQUIRE(actions_of<persist_snapshot>(out).size() == 1);
    const bool conflicts = chunk.index_term != 1;
    CHECK(actions_of<persist_snapshot>(out)[0].reset == conflicts);
    const actions synced = sync_all(core, start);
    REQUIRE(actions_of<restore>(synced).size() == 1);
    CHECK(*actions_of<restore>(synced)[0].value->data == "state");
    CHECK(messages_in<snapshot_reply>(synced).size() == 1);
    CHECK(last_index(core.log) == (conflicts ? 3 : 5));
}

TEST_CASE("a read without a lease waits for a round sent after the request")
{
    const time_point now = start + 3s;
    replica core = make_leader(admitted_state(1), now);
    step(core, read_index{7}, now);
    append_reply older = accepting_reply(2, 1);
    older.sent_at_us = (now - 1ms).time_since_epoch().count();
    CHECK(actions_of<read_ready>(step(core, received{{"n1"}, older}, now))
              .empty());
    append_reply newer = accepting_reply(2, 1);
    newer.sent_at_us = now.time_since_epoch().count();
    const auto ready =
        actions_of<read_ready>(step(core, received{{"n1"}, newer}, now));
    REQUIRE(ready.size() == 1);
    CHECK(ready[0].token == 7);
    CHECK(ready[0].index == 1);
}

TEST_CASE("a leaving leader gives up its lease when it transfers leadership")
{
    time_point now = start + 3s;
    replica core = make_leader(admitted_state(1), now);
    const auto answer_both = [&](log_index match)
    {
        append_reply reply = accepting_reply(2, match);
        reply.sent_at_us = now.time_since_epoch().count();
        step(core, received{{"n1"}, reply}, now);
        step(core, received{{"n2"}, reply}, now);
    };
    answer_both(1);
    step(core, propose{{"c"}}, now);
    step(core, prepare_to_leave{}, now);
    now = next_tick(core);

    SECTION("does not transfer while every other voter lacks entries")
    {
        CHECK(messages_in<campaign_now>(step(core, tick{}, now)).empty());
        CHECK(core.role == role::leader);
    }
    SECTION("transfers to a voter that holds the whole log")
    {
        sync_all(core, now);
        answer_both(2);
        CHECK(lease_until(core) > now);
        CHECK(messages_in<campaign_now>(step(core, tick{}, now)).size() == 1);
        CHECK(core.role == role::follower);
        CHECK(lease_until(core) < now);
    }
}

TEST_CASE("removes a silent learner that the settings do not name")
{
    recovered_state stored = admitted_state(1);
    entry first{
        .term = 1,
        .index = 1,
        .kind = entry_kind::members,
        .command = {},
        .members = {}};
    first.members.voters = {{"n0"}, {"n1"}, {"n2"}};
    first.members.learners = {{"n9"}};
    stored.entries.push_back(first);
    time_point now = start + 3s;
    replica core = make_leader(std::move(stored), now);
    for (int i = 0; i < 40; ++i)
    {
        now += 250ms;
        append_reply reply = accepting_reply(2, last_index(core.log));
        reply.sent_at_us = now.time_since_epoch().count();
        step(core, received{{"n1"}, reply}, now);
        step(core, received{{"n2"}, reply}, now);
        step(core, tick{}, now);
        sync_all(core, now);
    }
    CHECK(members_of(core).learners.empty());
    CHECK(members_of(core).voters.size() == 3);
}

TEST_CASE("a step applies a bounded part of a long log")
{
    constexpr log_index last = 40;
    recovered_state stored = admitted_state(1);
    for (log_index i = 1; i <= last; ++i)
        stored.entries.push_back(command_entry(1, i));
    const std::size_t most = limits{}.apply_entries;
    replica core = make_leader(std::move(stored), start + 5s);
    const time_point now = start + 6s;
    std::vector<actions> steps;
    const auto apply_rest = [&]
    {
        while (has_unapplied(core))
            steps.push_back(step(core, apply_more{}, now));
    };

    SECTION("and the others are applied with further steps, in order")
    {
        steps.push_back(
            step(core, received{{"n1"}, accepting_reply(2, last + 1)}, now));
        CHECK(has_unapplied(core));
        apply_rest();
        log_index expected = 1;
        for (const actions& each : steps)
        {
            const auto applied = actions_of<apply>(each);
            CHECK(applied.size() <= most);
            for (const apply& item : applied)
                CHECK(item.value.index == expected++);
        }
        CHECK(core.applied == last + 1);
    }
    SECTION("behind the messages and the write of that step")
    {
        const actions first =
            step(core, received{{"n1"}, accepting_reply(2, last + 1)}, now);
        bool applied = false;
        for (const action& each : first)
        {
            applied = applied || std::holds_alternative<apply>(each);
            CHECK_FALSE((applied && std::holds_alternative<send>(each)));
        }
        CHECK(applied);
    }
    SECTION("of large entries fewer, but at least one")
    {
        const std::string large(limits{}.apply_bytes + 1, 'x');
        for (entry& each : core.log.entries)
            each.command = large;
        steps.push_back(
            step(core, received{{"n1"}, accepting_reply(2, last + 1)}, now));
        apply_rest();
        for (const actions& each : steps)
            CHECK(actions_of<apply>(each).size() == 1);
        CHECK(core.applied == last + 1);
    }
    SECTION("and between them it sends heartbeats and answers")
    {
        step(core, received{{"n1"}, accepting_reply(2, last + 1)}, now);
        REQUIRE(has_unapplied(core));
        const actions beat = step(core, tick{}, now + 1s);
        CHECK(messages_in<append_request>(beat).size() == 2);
        const actions asked =
            step(core, received{{"n2"}, freshness_query{7}}, now + 1s);
        CHECK(messages_in<freshness_answer>(asked).size() == 1);
    }
}
