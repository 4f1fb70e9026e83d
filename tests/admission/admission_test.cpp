// Accounts share a service fairly, and rejections are immediate and final.
#include "admission/admission.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <random>
#include <set>
#include <string>

using namespace bergamotusher;
using namespace bergamotusher::admission;

namespace
{

constexpr time_point start{1000s};

account limits(const std::string& name)
{
    account value;
    value.name = {name};
    value.requests_per_second = 1e6;
    value.tokens_per_second = 1e9;
    return value;
}

request_info request(const std::string& id, const std::string& owner)
{
    request_info info;
    info.id = {id};
    info.account = {owner};
    info.service = {"llm"};
    info.tokens = 500;
    info.running_time = 1s;
    info.deadline = start + 1h;
    return info;
}

/// A service with slots that each hold a request for 0.5 to 1.5 s.
struct simulated_service
{
    struct running
    {
        time_point until;
        request_id id;

        bool operator<(const running& other) const
        {
            return std::tie(until, id) < std::tie(other.until, other.id);
        }
    };

    admission_state state;
    double slots = 20;
    std::set<running> in_progress;
    std::map<request_id, time_point> arrival_times;
    std::map<std::string, std::vector<double>> latencies;
    std::minstd_rand random{7};

    capacity_view capacity() const
    {
        return {slots, slots - static_cast<double>(in_progress.size())};
    }

    void run(const request_id& id, time_point now)
    {
        const auto length =
            from_seconds(std::uniform_real_distribution<>(0.5, 1.5)(random));
        in_progress.insert({now + length, id});
        latencies[id.value.substr(0, 1)].push_back(
            to_seconds(now + length - arrival_times[id]));
    }

    void arrive(const std::string& owner, int number, time_point now)
    {
        request_info info = request(owner + std::to_string(number), owner);
        info.deadline = now + 60s;
        arrival_times[info.id] = now;
        const auto result = offer(state, limits(owner), info, capacity(), now);
        if (std::holds_alternative<admitted>(result))
            run(info.id, now);
    }

    void advance(time_point now)
    {
        while (!in_progress.empty() && in_progress.begin()->until <= now)
        {
            finished(
                state, in_progress.begin()->id, in_progress.begin()->until);
            in_progress.erase(in_progress.begin());
        }
        for (const request_id& id :
             next(state, {"llm"}, capacity(), now).started)
            run(id, now);
    }
};

/// 95th percentile of account b's time from arrival to the end of the answer,
/// while account a offers `flood` times its normal rate.
double other_account_p95(double flood, unsigned seed)
{
    simulated_service service;
    std::minstd_rand random{seed};
    const double normal_rate = 0.8 * service.slots / 5;
    int number = 0;
    for (auto now = start; now < start + 300s; now += 5ms)
    {
        for (const char* owner : {"a", "b", "c", "d", "e"})
        {
            const double rate =
                *owner == 'a' ? normal_rate * flood : normal_rate;
            if (std::bernoulli_distribution(rate * 0.005)(random))
                service.arrive(owner, number++, now);
        }
        service.advance(now);
    }
    auto& latencies_of_b = service.latencies["b"];
    std::sort(latencies_of_b.begin(), latencies_of_b.end());
    return latencies_of_b[latencies_of_b.size() * 95 / 100];
}

} // namespace

TEST_CASE("an account at ten times its share raises another account's p95 by "
          "at most a tenth")
{
    const double longest_service = 1.5;
    for (const unsigned seed : {11U, 12U, 13U, 14U})
    {
        const double baseline_p95 = other_account_p95(1, seed);
        const double overloaded_p95 = other_account_p95(10, seed);
        CAPTURE(seed, baseline_p95, overloaded_p95);
        CHECK(baseline_p95 <= 1.1 * longest_service);
        CHECK(overloaded_p95 <= 1.1 * baseline_p95);
    }
}

TEST_CASE("a contended service is shared by account weight")
{
    admission_state state;
    account big = limits("big");
    big.weight = 3;
    const capacity_view full{4, 0};
    for (int i = 0; i < 100; ++i)
    {
        const std::string number = std::to_string(i);
        offer(state, big, request("x" + number, "big"), full, start);
        offer(
            state,
            limits("small"),
            request("y" + number, "small"),
            full,
            start);
    }
    int started_for_big = 0;
    for (int i = 0; i < 80; ++i)
    {
        const auto started = next(state, {"llm"}, {4, 1}, start).started;
        for (const request_id& id : started)
        {
            started_for_big += id.value[0] == 'x' ? 1 : 0;
            finished(state, id, start + 1s);
        }
    }
    CHECK(started_for_big == Approx(60).margin(3));
}

TEST_CASE("the more urgent class goes first within an account")
{
    admission_state state;
    const capacity_view full{1, 0};
    request_info slow = request("slow", "a");
    slow.target.priority = 5;
    slow.target.first_token = 10s;
    request_info quick = request("quick", "a");
    quick.target.priority = 0;
    offer(state, limits("a"), slow, full, start);
    offer(state, limits("a"), quick, full, start + 1s);

    SECTION("a request of the urgent class overtakes an earlier one")
    {
        const auto result = next(state, {"llm"}, {1, 1}, start + 1s);
        CHECK(result.started.at(0).value == "quick");
    }
    SECTION("a request that has waited for half of its target is not overtaken")
    {
        request_info late = quick;
        late.id = {"late"};
        offer(state, limits("a"), late, full, start + 9s);
        next(state, {"llm"}, {1, 1}, start + 9s);
        const auto result = next(state, {"llm"}, {1, 1}, start + 9s);
        CHECK(result.started.at(0).value == "slow");
    }
}

TEST_CASE("a request that cannot finish in time is rejected at once")
{
    admission_state state;
    request_info info = request("r", "a");
    info.deadline = start + 500ms;
    const auto result = offer(state, limits("a"), info, {1, 1}, start);
    CHECK(std::get<refused>(result).kind == error_kind::overloaded);
    CHECK(next(state, {"llm"}, {1, 1}, start).started.empty());
}

TEST_CASE("a rate-limited request is told when it would be admitted")
{
    admission_state state;
    account small = limits("a");
    small.tokens_per_second = 500;
    const auto ask = [&](const std::string& id, time_point now)
    {
        return offer(state, small, request(id, "a"), {9, 9}, now);
    };
    REQUIRE(std::holds_alternative<admitted>(ask("r1", start)));
    const auto result = std::get<refused>(ask("r2", start));
    CHECK(result.kind == error_kind::rate_limited);
    CHECK(std::holds_alternative<admitted>(
        ask("r3", start + result.retry_after)));
}

TEST_CASE("each request starts at most once, and never after it was rejected "
          "or dropped")
{
    CHECK(rc::check(
        []
        {
            admission_state state;
            std::set<request_id> waiting;
            std::set<request_id> running;
            std::set<request_id> ended;
            time_point now = start;
            const auto mark_started = [&](const request_id& id)
            {
                RC_ASSERT(ended.count(id) == 0);
                RC_ASSERT(running.insert(id).second);
                RC_ASSERT(running.size() <= 3U);
            };
            const auto capacity = [&]
            {
                return capacity_view{
                    3, 3 - static_cast<double>(running.size())};
            };
            for (int step = 0; step < 60; ++step)
            {
                now += *rc::gen::inRange(0, 1500) * 1ms;
                const std::string owner =
                    *rc::gen::element<std::string>("a", "b");
                request_info info = request("r" + std::to_string(step), owner);
                info.deadline = now + *rc::gen::inRange(1, 9) * 1s;
                const auto result =
                    offer(state, limits(owner), info, capacity(), now);
                if (std::holds_alternative<admitted>(result))
                    mark_started(info.id);
                else if (std::holds_alternative<queued>(result))
                    waiting.insert(info.id);
                else
                    ended.insert(info.id);
                if (!running.empty() && *rc::gen::inRange(0, 2) == 0)
                {
                    const request_id id = *running.begin();
                    finished(state, id, now);
                    running.erase(id);
                    ended.insert(id);
                }
                const next_result decision =
                    next(state, {"llm"}, capacity(), now);
                for (const request_id& id : decision.dropped)
                {
                    RC_ASSERT(waiting.erase(id) == 1U);
                    ended.insert(id);
                }
                for (const request_id& id : decision.started)
                {
                    RC_ASSERT(waiting.erase(id) == 1U);
                    mark_started(id);
                }
            }
            const auto last = next(state, {"llm"}, {3, 0}, now + 1h);
            RC_ASSERT(last.dropped.size() == waiting.size());
        }));
}
