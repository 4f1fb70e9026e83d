// Usage windows: summed over entries and their restarts, closed once each.
#include "site/usage_ledger.hpp"

#include <catch2/catch.hpp>

using namespace bergamotusher;
using namespace bergamotusher::site;

TEST_CASE("windows are closed once their reports are in")
{
    const usage_options options;
    usage_ledger ledger;
    const usage_source first{{"e1"}, 1};
    const usage_source restarted{{"e1"}, 2};
    note_usage(ledger, first, 100, {"acme"}, 5);
    note_usage(ledger, first, 100, {"acme"}, 7);
    note_usage(ledger, restarted, 100, {"acme"}, 2);
    note_usage(ledger, first, 101, {"acme"}, 1);
    const std::int64_t ended = 101 * options.window_ms;

    SECTION("not before the entries' last reports can have come")
    {
        CHECK(due_windows(options, ledger, {}, ended + 2'000).empty());
    }
    SECTION("with the newest count of each start of each entry")
    {
        const auto due = due_windows(options, ledger, {}, ended + 3'000);
        REQUIRE(due.size() == 1);
        CHECK(due[0].number == 100);
        CHECK(due[0].counts.at({"acme"}) == 9);
    }
    SECTION("never twice")
    {
        CHECK(due_windows(options, ledger, {{100, {}}}, ended + 3'000).empty());
    }
    SECTION("not when nobody waits for them any more")
    {
        CHECK(due_windows(options, ledger, {}, ended + 60'000).empty());
        forget_windows(options, ledger, ended + 60'000);
        CHECK(ledger.windows.empty());
    }
}
