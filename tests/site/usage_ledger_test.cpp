// Guards against wrong usage counts: each window is summed over entries and
// their restarts, and closed once.
#include "site/usage_ledger.hpp"

#include <catch2/catch.hpp>

using namespace bergamotusher;
using namespace bergamotusher::site;

TEST_CASE("closes usage windows once the entries' reports have arrived")
{
    const usage_options options;
    usage_ledger ledger;
    const entry_incarnation first{{"e1"}, 1};
    const entry_incarnation restarted{{"e1"}, 2};
    record_usage(ledger, first, 100, {"acme"}, 5);
    record_usage(ledger, first, 100, {"acme"}, 7);
    record_usage(ledger, restarted, 100, {"acme"}, 2);
    record_usage(ledger, first, 101, {"acme"}, 1);
    const std::int64_t ended = 101 * options.window_ms;

    SECTION("does not close a window before the last reports can have arrived")
    {
        CHECK(windows_to_close(options, ledger, {}, ended + 2'000).empty());
    }
    SECTION("sums the highest count of each run of each entry")
    {
        const auto due = windows_to_close(options, ledger, {}, ended + 3'000);
        REQUIRE(due.size() == 1);
        CHECK(due[0].number == 100);
        CHECK(due[0].counts.at({"acme"}) == 9);
    }
    SECTION("does not close a window twice")
    {
        CHECK(windows_to_close(options, ledger, {{100, {}}}, ended + 3'000)
                  .empty());
    }
    SECTION("drops windows that ended too long ago to be reported")
    {
        CHECK(windows_to_close(options, ledger, {}, ended + 60'000).empty());
        drop_expired_windows(options, ledger, ended + 60'000);
        CHECK(ledger.windows.empty());
    }
}

TEST_CASE("an entry that raises its incarnation is not counted twice")
{
    entry_run run;
    const auto source = [&](std::uint64_t id, std::uint64_t incarnation)
    {
        record_run(run, id, incarnation);
        return entry_incarnation{{"e1"}, run.first_incarnation};
    };
    const entry_incarnation started = source(71, 4000);
    CHECK(source(71, 9001) == started);

    SECTION("but a restarted one counts anew")
    {
        CHECK(source(72, 9500) != started);
        CHECK(source(72, 9500) == source(72, 9501));
    }
    SECTION("as does one that names no run")
    {
        CHECK(source(0, 9500) != source(0, 9501));
    }
}
