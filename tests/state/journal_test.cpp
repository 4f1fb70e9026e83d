#include "state/machine.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>
#include <set>

using namespace bergamotusher;
using namespace bergamotusher::state;

TEST_CASE("a journal key is begun by one attempt only")
{
    state_machine machine;
    const auto mine = begin_by("k", "e1");
    REQUIRE(machine(mine).begin->outcome == begin_outcome::begun);

    SECTION("another entry gets the outcome in_flight")
    {
        const auto other = machine(begin_by("k", "e2"));
        CHECK(other.begin->outcome == begin_outcome::in_flight);
        CHECK(other.begin->record.owner.value == "e1");
    }
    SECTION("the same key with another fingerprint conflicts")
    {
        auto other = begin_by("k", "e2");
        other.record.fingerprint = "g";
        CHECK(machine(other).begin->outcome == begin_outcome::conflict);
    }
    SECTION("after the finish, another entry gets the stored answer")
    {
        machine(finish_of(mine, "done"));
        const auto other = machine(begin_by("k", "e2"));
        CHECK(other.begin->outcome == begin_outcome::finished);
        CHECK(other.begin->record.answer.body == "done");
        CHECK(machine(release_of(mine)).error);
    }
    SECTION("only the same owner, incarnation and attempt may release it")
    {
        auto restarted = mine;
        restarted.record.owner_incarnation = 2;
        CHECK(machine(release_of(restarted)).error);
        CHECK(machine(release_of(begin_by("k", "e2"))).error);
        CHECK(machine(release_of(begin_by("k", "e1", 2))).error);
        CHECK_FALSE(machine(release_of(mine)).error);
        CHECK_FALSE(find(machine.state, mine.record.key));
        CHECK(
            machine(begin_by("k", "e2")).begin->outcome ==
            begin_outcome::begun);
    }
    SECTION("a duplicate begin of a released attempt does not run")
    {
        machine(release_of(mine));
        CHECK(machine(mine).begin->outcome == begin_outcome::unknown);
    }
    SECTION("after the loss of its owner the request is unknown")
    {
        machine(mark_owner_lost{{"e1"}, 1});
        CHECK(
            machine(begin_by("k", "e2")).begin->outcome ==
            begin_outcome::unknown);

        SECTION("and a late answer of the owner is stored")
        {
            machine(finish_of(mine, "late"));
            CHECK(find(machine.state, mine.record.key)->answer.body == "late");
        }
    }
}

TEST_CASE("a release that arrives before its begin prevents the attempt")
{
    state_machine machine;
    const auto mine = begin_by("k", "e1");
    machine(release_of(mine));
    CHECK(machine(mine).begin->outcome == begin_outcome::unknown);
    CHECK(
        machine(begin_by("k", "e1", 2)).begin->outcome == begin_outcome::begun);
}

TEST_CASE("the journal limits records and stored bodies")
{
    state_machine machine;
    machine.state.bounds.max_journal_records = 2;
    machine.state.bounds.max_answer_body_bytes = 4;
    machine.state.bounds.max_stored_answer_bytes = 6;
    const auto one = begin_by("1", "e1");
    const auto two = begin_by("2", "e1");
    machine(one);
    machine(two);

    SECTION("a full journal refuses new keys and keeps its records")
    {
        const auto third = machine(begin_by("3", "e1"));
        REQUIRE(third.error);
        CHECK(third.error->kind == error_kind::overloaded);
        CHECK(machine(begin_by("1", "e2")).begin);
    }
    SECTION("the body of a large answer is not stored")
    {
        machine(finish_of(one, "12345"));
        CHECK(find(machine.state, one.record.key)->answer.truncated);
    }
    SECTION("the oldest bodies are dropped, their records stay")
    {
        machine(finish_of(one, "1234"));
        machine.now.milliseconds += 1;
        machine(finish_of(two, "5678"));
        const auto record = find(machine.state, one.record.key);
        CHECK(record->state == journal_state::finished);
        CHECK(record->answer.truncated);
        CHECK(find(machine.state, two.record.key)->answer.body == "5678");
    }
}

TEST_CASE("a key is kept for the whole journal window")
{
    state_machine machine;
    const std::int64_t window = machine.state.bounds.journal_window_ms;
    machine.state.bounds.max_clock_step_ms = 4 * window;
    const auto mine = begin_by("k", "e1");
    machine(mine);
    const auto delayed = encode(mine, machine.now);
    machine(finish_of(mine, "done"));
    machine.now.milliseconds += window;
    CHECK(
        machine(begin_by("k", "e2")).begin->outcome == begin_outcome::finished);

    SECTION("after the window a delayed duplicate is refused")
    {
        machine.now.milliseconds += 1;
        machine(mark_owner_lost{{"none"}, 0});
        CHECK_FALSE(find(machine.state, mine.record.key));
        const auto late =
            *parse_result(apply(machine.state, ++machine.index, delayed));
        REQUIRE(late.error);
        CHECK(late.error->kind == error_kind::deadline_passed);
    }
}

TEST_CASE("a proposer with a wrong clock does not expire records")
{
    state_machine machine;
    const auto mine = begin_by("k", "e1");
    machine(mine);
    machine(finish_of(mine, "done"));
    machine.now.milliseconds += 10LL * 365 * 24 * 3600 * 1000;
    machine(begin_by("x", "wild"));
    CHECK(find(machine.state, mine.record.key));
}

namespace
{

/// Entries that use the same three keys, lose answers and restart.
struct entries_model
{
    state_machine machine;
    std::uint64_t attempts = 0;
    std::map<std::string, std::uint64_t> incarnation;
    /// Begun by an entry that has not restarted since, and not yet sent.
    std::vector<begin_request> may_send;
    /// Copies of all begin commands, which may be applied again later.
    std::vector<std::string> delayed;
    /// How often each key's request ran.
    std::map<std::string, int> runs;

    void begin(const std::string& key, const std::string& owner)
    {
        auto request = begin_by(key, owner);
        request.record.owner_incarnation = incarnation[owner];
        request.record.attempt.value = std::to_string(++attempts);
        delayed.push_back(encode(request, machine.now));
        const auto outcome = machine(request);
        const bool answer_lost = *rc::gen::inRange(0, 4) == 0;
        if (outcome.begin && outcome.begin->outcome == begin_outcome::begun &&
            !answer_lost)
            may_send.push_back(request);
    }

    /// The entry sends the attempt, or releases it because it was refused.
    void send_or_release(std::size_t which, bool refused)
    {
        const begin_request sent = may_send[which];
        may_send.erase(may_send.begin() + static_cast<long>(which));
        if (!refused)
            ++runs[sent.record.key.key];
        if (refused)
            machine(release_of(sent));
        else if (*rc::gen::arbitrary<bool>())
            machine(finish_of(sent, "done"));
    }

    void restart(const std::string& owner)
    {
        const auto gone = [&](const begin_request& each)
        {
            return each.record.owner.value == owner;
        };
        may_send.erase(
            std::remove_if(may_send.begin(), may_send.end(), gone),
            may_send.end());
        machine(mark_owner_lost{{owner}, incarnation[owner]++});
    }
};

} // namespace

TEST_CASE("a key runs at most once under any interleaving")
{
    const bool held = rc::check(
        "at most once",
        []
        {
            entries_model model;
            const int steps = *rc::gen::inRange(1, 80);
            for (int step = 0; step < steps; ++step)
            {
                const auto key = std::to_string(*rc::gen::inRange(0, 3));
                const auto owner =
                    "e" + std::to_string(*rc::gen::inRange(0, 3));
                const int what = *rc::gen::inRange(0, 8);
                if (what < 4)
                    model.begin(key, owner);
                else if (what < 6 && !model.may_send.empty())
                    model.send_or_release(
                        *rc::gen::inRange<std::size_t>(
                            0, model.may_send.size()),
                        what == 5);
                else if (what == 6)
                    model.restart(owner);
                else if (!model.delayed.empty())
                    apply(
                        model.machine.state,
                        ++model.machine.index,
                        *rc::gen::elementOf(model.delayed));
                model.machine.now.milliseconds += 1000;
                for (const auto& [name, count] : model.runs)
                    RC_ASSERT(count <= 1);
            }
        });
    CHECK(held);
}
