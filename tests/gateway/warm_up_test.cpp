// Guards against an upstream that gets more requests than it bears while it
// warms up, from all entries together. The load is the return of a failure
// domain: every entry sends as much as it may.
#include "gateway/entry_view.hpp"
#include "gateway/placement.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <vector>

using namespace bergamotusher;
using namespace bergamotusher::gateway;

namespace
{

constexpr double warm_up_rate = 7.3;
/// What an upstream bears within any second: one and a half times its rate and
/// five more.
constexpr double bearable = 1.5 * warm_up_rate + 5;

struct simulated_entry
{
    upstream_view upstream;
    admission::entry_seat seat;
    duration clock_error{};
    bool is_paused = false;
};

struct fleet
{
    std::vector<simulated_entry> entries;
    std::mt19937 random{20261206};
    std::vector<duration> sent;
    time_point now{1000s};

    explicit fleet(std::uint32_t count) : entries(count)
    {
        std::uniform_int_distribution<int> error_ms(-20, 20);
        for (std::uint32_t i = 0; i < count; ++i)
        {
            entries[i].seat = {i, count};
            entries[i].clock_error =
                std::chrono::milliseconds(error_ms(random));
            entries[i].upstream.id_hash = 12345;
            entries[i].upstream.warm_up_rate = warm_up_rate;
            entries[i].upstream.warm_until = time_point(2000s);
        }
    }

    void run(duration span)
    {
        for (const time_point end = now + span; now < end; now += 5ms)
            for (simulated_entry& each : entries)
            {
                if (each.is_paused)
                    continue;
                const limit_terms terms{
                    {},
                    warm_up_sharing,
                    each.seat,
                    now.time_since_epoch() + each.clock_error,
                    now};
                while (is_within_limit(each.upstream, terms))
                {
                    record_limit_use(each.upstream, terms);
                    sent.push_back(now.time_since_epoch());
                }
            }
    }

    std::size_t most_in_a_second() const
    {
        std::size_t most = 0;
        for (auto first = sent.begin(); first != sent.end(); ++first)
            most = std::max<std::size_t>(
                most, std::upper_bound(first, sent.end(), *first + 1s) - first);
        return most;
    }
};

} // namespace

TEST_CASE("an upstream that warms up gets no more than it bears")
{
    const std::uint32_t count = GENERATE(1U, 4U, 33U, 100U, 400U);
    CAPTURE(count);
    fleet all(count);
    constexpr double seconds = 10;
    all.run(10s);
    CHECK(all.most_in_a_second() <= bearable);

    SECTION("also if it is one of many, of which each entry uses some")
    {
        fleet few_owners(count);
        for (simulated_entry& each : few_owners.entries)
            each.upstream.service_upstreams = 140;
        few_owners.run(10s);
        CHECK(few_owners.most_in_a_second() <= bearable);
        CHECK(few_owners.sent.size() >= 0.8 * warm_up_rate * seconds);
    }
    SECTION("and most of what it offers is used")
    {
        CHECK(all.sent.size() >= 0.8 * warm_up_rate * seconds);
    }
    SECTION("while entries are paused and go on")
    {
        for (std::size_t i = 0; i < all.entries.size(); i += 3)
            all.entries[i].is_paused = true;
        all.run(4s);
        for (simulated_entry& each : all.entries)
            each.is_paused = false;
        all.run(4s);
        CHECK(all.most_in_a_second() <= bearable);
    }
    SECTION("while an entry joins and the others learn it one by one")
    {
        const std::uint32_t upstreams = GENERATE(1U, 140U);
        for (simulated_entry& each : all.entries)
            each.upstream.service_upstreams = upstreams;
        all.run(4s);
        all.entries.push_back(all.entries.front());
        all.entries.back().upstream.warm_up_use = {};
        for (std::uint32_t i = 0; i <= count; ++i)
        {
            all.entries[count - i].seat = {count - i, count + 1};
            if (i % 16 == 0)
                all.run(50ms);
        }
        all.run(4s);
        CHECK(all.most_in_a_second() <= bearable);
    }
    SECTION("but as much as it can take once it is warm")
    {
        upstream_view& upstream = all.entries.front().upstream;
        const limit_terms terms{
            {}, warm_up_sharing, {0, count}, 3000s, time_point(3000s)};
        for (int i = 0; i < 100; ++i)
        {
            REQUIRE(is_within_limit(upstream, terms));
            record_limit_use(upstream, terms);
        }
    }
}

TEST_CASE("the end of a warm-up is what the newest announcement says")
{
    site::upstream_directory directory;
    site::upstream value;
    value.id = {"u1"};
    value.sequence = 1;
    value.warm_up = 3s;
    const time_point start{1000s};
    REQUIRE(merge(directory, value, start) == site::merge_outcome::changed);
    CHECK(directory.upstreams.at(value.id).warm_until == start + 3s);

    SECTION("announcements of the same warm-up need not be told to others")
    {
        value.sequence = 2;
        value.warm_up = 1800ms;
        CHECK(
            merge(directory, value, start + 1200ms) ==
            site::merge_outcome::refreshed);
    }
    SECTION("an upstream that becomes cold again is told to others")
    {
        value.sequence = 2;
        value.warm_up = 0ms;
        merge(directory, value, start + 4s);
        value.sequence = 3;
        value.warm_up = 2s;
        CHECK(
            merge(directory, value, start + 9s, 100ms) ==
            site::merge_outcome::changed);
        CHECK(
            directory.upstreams.at(value.id).warm_until ==
            start + 9s + 2s - 100ms);
    }
}

TEST_CASE("upstreams that return from an evacuation are taken to warm up")
{
    entry_view view;
    site::upstream value;
    value.id = {"u1"};
    value.domain = {"north"};
    value.sequence = 1;
    const time_point now{1000s};
    merge(view.directory, value, now);
    REQUIRE(adopt_evacuations(view, {{{"north"}}, 1}, now));
    REQUIRE(adopt_evacuations(view, {{}, 2}, now + 5s));
    sync_upstreams(view, now + 5s);
    CHECK(
        view.upstreams.at(value.id)->warm_until ==
        now + 5s + evacuation_return_time);
}
