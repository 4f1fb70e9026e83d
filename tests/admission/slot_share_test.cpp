// Guards against entries that together send more than a rate allows, or less
// than it does: a limit of one request a second is less than one request in
// four seconds for each of dozens of entries.
#include "admission/slot_share.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <deque>
#include <random>

using namespace bergamotusher;
using namespace bergamotusher::admission;

namespace
{

constexpr duration start = 1'700'000'000s;

/// An entry that sends whenever it may.
struct busy_entry
{
    entry_seat seat;
    slot_use use;
    /// Deviation of its clock from the true time.
    duration clock_offset{};
};

/// Requests of all entries in the windows of a run, by time.
struct sent_requests
{
    std::deque<duration> times;
    std::size_t total = 0;
    std::size_t most_in_window = 0;

    void add(duration at, duration window)
    {
        times.push_back(at);
        ++total;
        while (times.front() <= at - window)
            times.pop_front();
        most_in_window = std::max(most_in_window, times.size());
    }
};

constexpr duration window = 4s;

sent_requests
run(std::vector<busy_entry>& entries,
    const shared_rate& rate,
    duration span,
    const std::function<void(duration)>& at_each_step = {})
{
    const slot_options options;
    sent_requests sent;
    for (duration now = start; now < start + span; now += 50ms)
    {
        if (at_each_step)
            at_each_step(now - start);
        for (busy_entry& each : entries)
        {
            const duration local = now + each.clock_offset;
            while (requests_left(options, rate, each.seat, each.use, local) > 0)
            {
                record_use(options, rate, each.seat, each.use, local);
                sent.add(now, window);
            }
        }
    }
    return sent;
}

std::vector<busy_entry> make_entries(std::uint32_t count)
{
    std::vector<busy_entry> entries;
    for (std::uint32_t rank = 0; rank < count; ++rank)
        entries.push_back({{rank, count}, {}, {}});
    return entries;
}

/// What upstreams bear beside their rate: half as much again, and five.
double most_allowed(double rate)
{
    return 1.5 * to_seconds(window) * rate + 5;
}

} // namespace

TEST_CASE("entries together use a rate, and no more than it")
{
    const double rate = GENERATE(0.3, 1.0, 1.8, 7.5, 60.0);
    const std::uint32_t count = GENERATE(1U, 4U, 77U, 410U);
    const shared_rate shared{rate, 12345};
    constexpr duration span = 60s;
    std::vector<busy_entry> entries = make_entries(count);

    SECTION("where their clocks agree")
    {
        const auto sent = run(entries, shared, span);
        CHECK(sent.most_in_window <= most_allowed(rate));
        CHECK(sent.total >= 0.98 * rate * to_seconds(span) - 1);
        CHECK(sent.total <= rate * to_seconds(span) + 1);
    }
    SECTION("where many callers come after a pause")
    {
        const auto sent =
            run(entries,
                shared,
                span,
                [&](duration now)
                {
                    // Asleep for 10 s of each 20 s.
                    for (std::uint32_t i = 0; i < count; ++i)
                        entries[i].seat.count = now % 20s < 10s ? 0 : count;
                });
        CHECK(sent.most_in_window <= most_allowed(rate));
        CHECK(sent.total >= 0.45 * rate * to_seconds(span) - 1);
    }
    SECTION("where the rate changes meanwhile")
    {
        std::size_t total = 0;
        for (const double now_allowed : {rate, 3 * rate, rate / 3})
        {
            const auto sent = run(entries, {now_allowed, 12345}, span);
            CHECK(sent.most_in_window <= most_allowed(now_allowed));
            total += sent.total;
        }
        CHECK(total >= 4 * rate * to_seconds(span));
    }
    SECTION("where their clocks differ by a second")
    {
        std::mt19937 random(count);
        for (busy_entry& each : entries)
            each.clock_offset = duration(random() % 2'000'000) - 1s;
        CHECK(run(entries, shared, span).most_in_window <= most_allowed(rate));
    }
    SECTION("while entries are added, one sees it seconds before the other")
    {
        std::mt19937 random(count);
        std::vector<duration> learns;
        for (std::size_t i = 0; i < entries.size(); ++i)
            learns.push_back(20s + duration(random() % 3'000'000));
        entries.push_back({{count, count + 1}, {}, {}});
        learns.push_back(20s);
        const auto sent =
            run(entries,
                shared,
                span,
                [&](duration now)
                {
                    for (std::size_t i = 0; i < entries.size(); ++i)
                        entries[i].seat.count =
                            now < learns[i] ? count : count + 1;
                    // It does not run before it was added.
                    if (now < learns.back())
                        entries.back().seat.count = 0;
                });
        CHECK(sent.most_in_window <= most_allowed(rate));
    }
    SECTION("while all of them are restarted in turn and forget their use")
    {
        const auto sent =
            run(entries,
                shared,
                span,
                [&](duration now)
                {
                    const std::size_t restarted = now / 400ms;
                    if (now % 400ms == 0s && restarted < entries.size())
                        entries[restarted].use = {};
                });
        CHECK(sent.most_in_window <= most_allowed(rate));
    }
}

TEST_CASE("an entry that does not know its seat sends nothing")
{
    const slot_options options;
    CHECK(requests_in_slot(options, {100, 1}, {0, 0}, 7) == 0);
    CHECK_FALSE(time_to_request(options, {100, 1}, {0, 0}, {}, 0, start));
}

TEST_CASE("whoever named a rate of 0 is asked again, rarely")
{
    std::vector<busy_entry> entries = make_entries(4);
    const auto sent = run(entries, {0, 99}, 10min);
    CHECK(sent.total >= 19);
    CHECK(sent.total <= 21);
    CHECK(sent.most_in_window == 1);
}

TEST_CASE("a request that was used does not come back with the clock")
{
    const slot_options options;
    const shared_rate rate{50, 1};
    const entry_seat alone{0, 1};
    slot_use use;
    for (int i = 0; i < 50; ++i)
        record_use(options, rate, alone, use, start);
    CHECK(requests_left(options, rate, alone, use, start) == 0);
    CHECK(requests_left(options, rate, alone, use, start - 1s) == 0);
    CHECK(requests_left(options, rate, alone, use, start + 1s) == 50);

    SECTION("but a clock that was far ahead stops nothing")
    {
        record_use(options, rate, alone, use, start + 1h);
        CHECK(requests_left(options, rate, alone, use, start + 2s) == 0);
        CHECK(time_to_request(options, rate, alone, use, 0, start + 2s) == 1s);
    }
}

TEST_CASE("a rate of any size can be shared")
{
    const slot_options options;
    for (const double rate : {1e-300, 0.0, 1e10, 1e300})
    {
        slot_use use;
        const entry_seat seat{3, 7};
        const shared_rate shared{rate, 5};
        const auto wait = time_to_request(options, shared, seat, use, 0, start);
        REQUIRE(wait);
        CHECK(*wait >= 0s);
        CHECK(*wait < 4min);
        CHECK(requests_left(options, shared, seat, use, start + *wait) > 0);
        record_use(options, shared, seat, use, start + *wait);
    }
    CHECK(requests_left(options, {1e300, 5}, {3, 7}, {}, start) > 100'000);
}

TEST_CASE("the time to a request is when the entry may send it")
{
    rc::check(
        [](std::uint64_t key)
        {
            const slot_options options;
            const auto count = *rc::gen::inRange(1U, 80U);
            const entry_seat seat{*rc::gen::inRange(0U, count), count};
            const shared_rate rate{*rc::gen::inRange(1, 4000) / 100.0, key};
            const duration now =
                start + duration(*rc::gen::inRange(0, 10'000'000));
            slot_use use;
            std::uint32_t to_use = *rc::gen::inRange(0U, 3U);
            while (to_use-- > 0 &&
                   requests_left(options, rate, seat, use, now) > 0)
                record_use(options, rate, seat, use, now);
            const auto ahead = *rc::gen::inRange(0U, 5U);
            const auto wait =
                time_to_request(options, rate, seat, use, ahead, now);
            RC_ASSERT(wait.has_value());
            // Sends what it may at each step until shortly before then.
            std::uint32_t sent = 0;
            const auto send_all = [&](duration at)
            {
                for (; requests_left(options, rate, seat, use, at) > 0; ++sent)
                    record_use(options, rate, seat, use, at);
            };
            for (duration at = now; at < now + *wait; at += 100ms)
                send_all(at);
            RC_ASSERT(sent <= ahead);
            send_all(now + *wait);
            RC_ASSERT(sent > ahead);
        });
}
