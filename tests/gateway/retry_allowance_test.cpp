// Repeats over all entries stay within the operators' bound without messages.
#include "gateway/retry_allowance.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace bergamotusher;
using namespace bergamotusher::gateway;

TEST_CASE("when every request fails, repeats stay within the bound")
{
    const retry_bound bound;
    constexpr std::uint32_t entries = 4;
    std::vector<retry_allowance> all(entries);
    std::vector<time_point> requests;
    std::vector<time_point> repeats;
    for (time_point now{1000s}; now < time_point{1040s}; now += 10ms)
    {
        // One entry gets most of the load.
        retry_allowance& entry =
            all[(now.time_since_epoch() / 10ms) % 5 < 3 ? 0 : 1];
        note_request(entry, bound, now);
        requests.push_back(now);
        if (take_repeat(entry, bound, entries, now))
            repeats.push_back(now);
    }
    CHECK(repeats.size() > 100);
    for (const time_point from : repeats)
    {
        const auto within = [&](const std::vector<time_point>& all_of)
        {
            return std::count_if(
                all_of.begin(),
                all_of.end(),
                [&](time_point at)
                { return at >= from && at < from + bound.window; });
        };
        CHECK(
            static_cast<double>(within(repeats)) <=
            bound.ratio * static_cast<double>(within(requests)) + bound.extra);
    }
}

TEST_CASE("an entry without requests may still repeat a few")
{
    const retry_bound bound;
    retry_allowance entry;
    int taken = 0;
    while (take_repeat(entry, bound, 4, time_point{1000s}))
        ++taken;
    CHECK(taken > 0);
    CHECK(taken <= bound.extra / 4);
}
