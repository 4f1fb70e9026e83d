// The retries of all entries together must stay within the configured limit
// although the entries do not communicate.
#include "gateway/retry_budget.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace bergamotusher;
using namespace bergamotusher::gateway;

TEST_CASE("retries stay within the limit when every request fails")
{
    const retry_budget_options options;
    constexpr std::uint32_t entries = 4;
    std::vector<retry_budget> budgets(entries);
    std::vector<time_point> requests;
    std::vector<time_point> retries;
    for (time_point now{1000s}; now < time_point{1040s}; now += 10ms)
    {
        // One entry receives most of the load.
        retry_budget& entry =
            budgets[(now.time_since_epoch() / 10ms) % 5 < 3 ? 0 : 1];
        record_request(entry, options, now);
        requests.push_back(now);
        if (try_consume_retry(entry, options, entries, now))
            retries.push_back(now);
    }
    CHECK(retries.size() > 100);
    for (const time_point from : retries)
    {
        const auto within = [&](const std::vector<time_point>& all_of)
        {
            return std::count_if(
                all_of.begin(),
                all_of.end(),
                [&](time_point at)
                { return at >= from && at < from + options.window; });
        };
        CHECK(
            static_cast<double>(within(retries)) <=
            options.ratio * static_cast<double>(within(requests)) +
                options.extra);
    }
}

TEST_CASE("an entry without requests can still retry a few times")
{
    const retry_budget_options options;
    retry_budget entry;
    int taken = 0;
    while (try_consume_retry(entry, options, 4, time_point{1000s}))
        ++taken;
    CHECK(taken > 0);
    CHECK(taken <= options.extra / 4);
}
