#include "state/machine.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <set>

using namespace bergamotusher;
using namespace bergamotusher::state;

TEST_CASE("concurrent puts with the same expected revision")
{
    state_machine machine;
    const auto first = machine(put(quick_class(1), 0, "a"));
    REQUIRE_FALSE(first.error);
    const auto winner = machine(put(quick_class(2), first.revision, "b"));
    const auto loser = machine(put(quick_class(3), first.revision, "c"));

    SECTION("one succeeds, the other gets the revision of the winner")
    {
        CHECK_FALSE(winner.error);
        REQUIRE(loser.error);
        CHECK(loser.error->kind == error_kind::revision_conflict);
        CHECK(loser.revision == winner.revision);
        const auto value = published(machine.state);
        CHECK(value->classes.at({"quick"}).priority == 2);
    }
    SECTION("a resent put returns the first result")
    {
        machine(put(quick_class(4), winner.revision, "d"));
        const auto again = machine(put(quick_class(2), first.revision, "b"));
        CHECK(again.resent);
        CHECK_FALSE(again.error);
        CHECK(again.revision == winner.revision);
        CHECK(published(machine.state)->classes.at({"quick"}).priority == 4);

        SECTION("also after a restore from a snapshot")
        {
            state_machine other;
            REQUIRE_FALSE(restore(other.state, snapshot(machine.state)));
            other.index = machine.index;
            const auto third = other(put(quick_class(3), first.revision, "c"));
            CHECK(third.resent);
            CHECK(third.revision == winner.revision);
        }
    }
    SECTION("reusing an idempotency key for another change is refused")
    {
        const auto other = machine(put(quick_class(9), winner.revision, "b"));
        REQUIRE(other.error);
        CHECK(other.error->kind == error_kind::key_conflict);
        CHECK(published(machine.state)->classes.at({"quick"}).priority == 2);
    }
}

TEST_CASE("an invalid put changes nothing")
{
    state_machine machine;
    const auto before = machine(put(quick_class(), 0)).revision;
    service value;
    value.name.value = "assistant";
    value.default_class.value = "absent";
    const auto outcome = machine(put(value, before));
    REQUIRE(outcome.error);
    CHECK(outcome.error->kind == error_kind::invalid_configuration);
    CHECK(outcome.error->detail.find("default_class") == 0);
    CHECK(published(machine.state)->revision == before);
    CHECK(machine.state.history.size() == 1);
}

TEST_CASE("a quarantine does not change the operator revision")
{
    state_machine machine;
    const auto before = machine(put(quick_class(), 0)).revision;
    machine(quarantine_fingerprint{"bad"});
    CHECK(published(machine.state)->quarantined.front() == "bad");
    CHECK(published(machine.state)->revision > before);
    CHECK_FALSE(machine(put(quick_class(2), before)).error);
}

TEST_CASE("each revision is replaced by at most one put")
{
    const bool held = rc::check(
        "compare-and-set",
        []
        {
            state_machine machine;
            std::set<std::uint64_t> replaced;
            std::uint64_t newest = 0;
            std::map<std::string, std::uint64_t> first_results;
            const int steps = *rc::gen::inRange(1, 60);
            for (int step = 0; step < steps; ++step)
            {
                const auto expected = *rc::gen::elementOf(
                    std::vector<std::uint64_t>{0, newest, newest / 2});
                const auto key = std::to_string(*rc::gen::inRange(0, 20));
                const auto outcome =
                    machine(put(quick_class(7), expected, key));
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
                    RC_ASSERT(replaced.insert(expected).second);
                    RC_ASSERT(outcome.revision > newest);
                    newest = outcome.revision;
                }
                RC_ASSERT(outcome.revision == newest);
                RC_ASSERT(published(machine.state)->revision == newest);
            }
        });
    CHECK(held);
}
