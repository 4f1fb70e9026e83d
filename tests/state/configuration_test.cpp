#include "state/machine.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <set>

using namespace bergamotusher;
using namespace bergamotusher::state;

TEST_CASE("two operators race with equal numbers")
{
    machine run;
    const auto first = run(put(quick_class(1), 0, "a"));
    REQUIRE_FALSE(first.error);
    const auto winner = run(put(quick_class(2), first.revision, "b"));
    const auto loser = run(put(quick_class(3), first.revision, "c"));

    SECTION("exactly one wins, and the other is told which revision did")
    {
        CHECK_FALSE(winner.error);
        REQUIRE(loser.error);
        CHECK(loser.error->kind == error_kind::revision_conflict);
        CHECK(loser.revision == winner.revision);
        const auto value = published(run.state);
        CHECK(value->classes.at({"quick"}).priority == 2);
    }
    SECTION("a resend after a lost answer returns the first result")
    {
        run(put(quick_class(4), winner.revision, "d"));
        const auto again = run(put(quick_class(2), first.revision, "b"));
        CHECK(again.resent);
        CHECK_FALSE(again.error);
        CHECK(again.revision == winner.revision);
        CHECK(published(run.state)->classes.at({"quick"}).priority == 4);

        SECTION("also after a restart from a snapshot")
        {
            machine other;
            REQUIRE_FALSE(restore(other.state, snapshot(run.state)));
            other.index = run.index;
            const auto third = other(put(quick_class(3), first.revision, "c"));
            CHECK(third.resent);
            CHECK(third.revision == winner.revision);
        }
    }
    SECTION("the same key with another change is refused")
    {
        const auto other = run(put(quick_class(9), winner.revision, "b"));
        REQUIRE(other.error);
        CHECK(other.error->kind == error_kind::key_conflict);
        CHECK(published(run.state)->classes.at({"quick"}).priority == 2);
    }
}

TEST_CASE("an invalid change alters nothing")
{
    machine run;
    const auto before = run(put(quick_class(), 0)).revision;
    service value;
    value.name.value = "assistant";
    value.default_class.value = "absent";
    const auto outcome = run(put(value, before));
    REQUIRE(outcome.error);
    CHECK(outcome.error->kind == error_kind::invalid_configuration);
    CHECK(outcome.error->detail.find("default_class") == 0);
    CHECK(published(run.state)->revision == before);
    CHECK(run.state.history.size() == 1);
}

TEST_CASE("a quarantine leaves the operators' revision alone")
{
    machine run;
    const auto before = run(put(quick_class(), 0)).revision;
    run(quarantine_fingerprint{"bad"});
    CHECK(published(run.state)->quarantined.front() == "bad");
    CHECK(published(run.state)->revision > before);
    CHECK_FALSE(run(put(quick_class(2), before)).error);
}

TEST_CASE("under any interleaving of operators, one put wins a revision")
{
    const bool held = rc::check(
        "compare-and-set",
        []
        {
            machine run;
            std::set<std::uint64_t> spent;
            std::uint64_t newest = 0;
            std::map<std::string, std::uint64_t> first_results;
            const int steps = *rc::gen::inRange(1, 60);
            for (int step = 0; step < steps; ++step)
            {
                const auto expected = *rc::gen::elementOf(
                    std::vector<std::uint64_t>{0, newest, newest / 2});
                const auto key = std::to_string(*rc::gen::inRange(0, 20));
                const auto outcome = run(put(quick_class(7), expected, key));
                if (outcome.error &&
                    outcome.error->kind == error_kind::key_conflict)
                    continue;
                const auto [at, fresh] =
                    first_results.insert({key, outcome.revision});
                RC_ASSERT(at->second == outcome.revision);
                RC_ASSERT(outcome.resent != fresh);
                if (outcome.resent)
                    continue;
                if (!outcome.error)
                {
                    RC_ASSERT(spent.insert(expected).second);
                    RC_ASSERT(outcome.revision > newest);
                    newest = outcome.revision;
                }
                RC_ASSERT(outcome.revision == newest);
                RC_ASSERT(published(run.state)->revision == newest);
            }
        });
    CHECK(held);
}
