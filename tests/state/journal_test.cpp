#include "state/machine.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>
#include <set>

using namespace bergamotusher;
using namespace bergamotusher::state;

TEST_CASE("a key is begun once")
{
    machine run;
    const auto mine = begin_as("k", "e1");
    REQUIRE(run(mine).begin->outcome == begin_outcome::begun);

    SECTION("a second entry finds it in flight")
    {
        const auto other = run(begin_as("k", "e2"));
        CHECK(other.begin->outcome == begin_outcome::in_flight);
        CHECK(other.begin->record.owner.value == "e1");
    }
    SECTION("the same key with another body conflicts")
    {
        auto other = begin_as("k", "e2");
        other.record.fingerprint = "g";
        CHECK(run(other).begin->outcome == begin_outcome::conflict);
    }
    SECTION("once finished, the stored answer is given")
    {
        run(finish_of(mine, "done"));
        const auto other = run(begin_as("k", "e2"));
        CHECK(other.begin->outcome == begin_outcome::finished);
        CHECK(other.begin->record.answer.body == "done");
        CHECK(run(release_of(mine)).error);
    }
    SECTION("only the owner's own start and attempt may release it")
    {
        auto restarted = mine;
        restarted.record.owner_incarnation = 2;
        CHECK(run(release_of(restarted)).error);
        CHECK(run(release_of(begin_as("k", "e2"))).error);
        CHECK(run(release_of(begin_as("k", "e1", 2))).error);
        CHECK_FALSE(run(release_of(mine)).error);
        CHECK_FALSE(find(run.state, mine.record.key));
        CHECK(run(begin_as("k", "e2")).begin->outcome == begin_outcome::begun);
    }
    SECTION("a duplicate of a released attempt does not begin again")
    {
        run(release_of(mine));
        CHECK(run(mine).begin->outcome == begin_outcome::unknown);
    }
    SECTION("when the owner is lost, it is unknown")
    {
        run(lose_owner{{"e1"}, 1});
        CHECK(
            run(begin_as("k", "e2")).begin->outcome == begin_outcome::unknown);

        SECTION("and a late answer of the owner still counts")
        {
            run(finish_of(mine, "late"));
            CHECK(find(run.state, mine.record.key)->answer.body == "late");
        }
    }
}

TEST_CASE("a release that overtakes its begin holds")
{
    machine run;
    const auto mine = begin_as("k", "e1");
    run(release_of(mine));
    CHECK(run(mine).begin->outcome == begin_outcome::unknown);
    CHECK(run(begin_as("k", "e1", 2)).begin->outcome == begin_outcome::begun);
}

TEST_CASE("the journal is bounded")
{
    machine run;
    run.state.bounds.journal_records = 2;
    run.state.bounds.answer_body = 4;
    run.state.bounds.answer_bodies = 6;
    const auto one = begin_as("1", "e1");
    const auto two = begin_as("2", "e1");
    run(one);
    run(two);

    SECTION("above its count it refuses, and forgets nothing")
    {
        const auto third = run(begin_as("3", "e1"));
        REQUIRE(third.error);
        CHECK(third.error->kind == error_kind::overloaded);
        CHECK(run(begin_as("1", "e2")).begin);
    }
    SECTION("a large answer is not stored")
    {
        run(finish_of(one, "12345"));
        CHECK(find(run.state, one.record.key)->answer.truncated);
    }
    SECTION("the oldest bodies give way, their records stay")
    {
        run(finish_of(one, "1234"));
        run.now.milliseconds += 1;
        run(finish_of(two, "5678"));
        const auto record = find(run.state, one.record.key);
        CHECK(record->state == journal_state::finished);
        CHECK(record->answer.truncated);
        CHECK(find(run.state, two.record.key)->answer.body == "5678");
    }
}

TEST_CASE("a key is remembered for the whole window")
{
    machine run;
    const std::int64_t window = run.state.bounds.window;
    run.state.bounds.clock_step = 4 * window;
    const auto mine = begin_as("k", "e1");
    run(mine);
    const auto delayed = encode(mine, run.now);
    run(finish_of(mine, "done"));
    run.now.milliseconds += window;
    CHECK(run(begin_as("k", "e2")).begin->outcome == begin_outcome::finished);

    SECTION("after it, a delayed duplicate is refused, not run")
    {
        run.now.milliseconds += 1;
        run(lose_owner{{"none"}, 0});
        CHECK_FALSE(find(run.state, mine.record.key));
        const auto late = *parse_result(apply(run.state, ++run.index, delayed));
        REQUIRE(late.error);
        CHECK(late.error->kind == error_kind::deadline_passed);
    }
}

TEST_CASE("a proposer with a wrong clock does not age the journal")
{
    machine run;
    const auto mine = begin_as("k", "e1");
    run(mine);
    run(finish_of(mine, "done"));
    run.now.milliseconds += 10LL * 365 * 24 * 3600 * 1000;
    run(begin_as("x", "wild"));
    CHECK(find(run.state, mine.record.key));
}

namespace
{

/// Entries that share three keys, lose answers and restart.
struct entries_model
{
    machine run;
    std::uint64_t attempts = 0;
    std::map<std::string, std::uint64_t> incarnation;
    /// Begun by a live entry and not yet sent.
    std::vector<begin_request> may_send;
    std::vector<std::string> delayed;
    std::map<std::string, int> runs;

    void begin(const std::string& key, const std::string& owner)
    {
        auto request = begin_as(key, owner);
        request.record.owner_incarnation = incarnation[owner];
        request.record.attempt.value = std::to_string(++attempts);
        delayed.push_back(encode(request, run.now));
        const auto outcome = run(request);
        const bool answer_lost = *rc::gen::inRange(0, 4) == 0;
        if (outcome.begin && outcome.begin->outcome == begin_outcome::begun &&
            !answer_lost)
            may_send.push_back(request);
    }

    /// The entry sends, or proves that nothing was sent and releases.
    void settle(std::size_t which, bool refused)
    {
        const begin_request sent = may_send[which];
        may_send.erase(may_send.begin() + static_cast<long>(which));
        if (!refused)
            ++runs[sent.record.key.key];
        if (refused)
            run(release_of(sent));
        else if (*rc::gen::arbitrary<bool>())
            run(finish_of(sent, "done"));
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
        run(lose_owner{{owner}, incarnation[owner]++});
    }
};

} // namespace

TEST_CASE("over any interleaving, a key runs at most once")
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
                    model.settle(
                        *rc::gen::inRange<std::size_t>(
                            0, model.may_send.size()),
                        what == 5);
                else if (what == 6)
                    model.restart(owner);
                else if (!model.delayed.empty())
                    apply(
                        model.run.state,
                        ++model.run.index,
                        *rc::gen::elementOf(model.delayed));
                model.run.now.milliseconds += 1000;
                for (const auto& [name, count] : model.runs)
                    RC_ASSERT(count <= 1);
            }
        });
    CHECK(held);
}
