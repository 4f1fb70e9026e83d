// Guards against a lack of upstreams after reclaims, crashes and changes of
// leader: reclaimable upstreams carry the load, and on-demand upstreams cover
// what one failure domain can lose at once.
#include "site/rent_policy.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace bergamotusher;
using namespace bergamotusher::site;

namespace
{

const std::vector<std::string> domains{"east", "north", "west"};

service llm_service()
{
    service value;
    value.name = {"llm"};
    renting_terms terms;
    terms.min_per_domain = 1;
    terms.max_per_domain = 12;
    terms.boot_time = 4s;
    terms.reclaimable_price = 0.2;
    for (const std::string& each : domains)
        terms.prices[{each}] = each == "north" ? 0.8 : 1.0;
    value.renting = terms;
    return value;
}

/// A platform that starts ordered upstreams after the boot time and reclaims
/// reclaimable ones.
struct simulated_platform
{
    rent_options options;
    rent_state state;
    upstream_directory directory;
    time_point now{1000s};
    int next_id = 0;
    bool reclaimable_unavailable = false;
    /// Upstreams that no longer announce themselves.
    std::set<upstream_id> crashed;
    std::map<rent_key, std::uint32_t> ordered;
    std::vector<std::pair<time_point, rent_key>> booting;

    void add(const rent_key& key)
    {
        site::upstream value;
        value.id = {"u" + std::to_string(++next_id)};
        value.service = key.service;
        value.domain = key.domain;
        value.reclaimable = key.paid_as == market::reclaimable;
        value.sequence = 1;
        merge(directory, value, now);
    }

    std::uint32_t count(market paid_as, const std::string& domain = {}) const
    {
        std::uint32_t found = 0;
        for (const auto& [id, each] : directory.upstreams)
            if (each.value.state == site::upstream_state::ready &&
                each.value.reclaimable == (paid_as == market::reclaimable) &&
                (domain.empty() || each.value.domain.value == domain))
                ++found;
        return found;
    }

    void reclaim(const std::string& domain)
    {
        for (auto& [id, each] : directory.upstreams)
            if (each.value.reclaimable && each.value.domain.value == domain)
                each.value.state = site::upstream_state::gone;
        for (auto& [key, wanted] : ordered)
            if (key.domain.value == domain &&
                key.paid_as == market::reclaimable)
                wanted = 0;
    }

    void fulfil(const rent_key& key, std::uint32_t wanted)
    {
        std::uint32_t held = count(key.paid_as, key.domain.value);
        for (const auto& each : booting)
            held += each.second == key ? 1 : 0;
        for (; held < wanted; ++held)
            booting.emplace_back(now + 4s, key);
        for (auto& [id, each] : directory.upstreams)
            if (held > wanted &&
                each.value.state == site::upstream_state::ready &&
                each.value.domain == key.domain &&
                each.value.reclaimable == (key.paid_as == market::reclaimable))
            {
                each.value.state = site::upstream_state::gone;
                --held;
            }
    }

    void run(duration span, const service_demand& demand)
    {
        for (const time_point end = now + span; now < end; now += 1s)
        {
            for (auto& [id, each] : directory.upstreams)
                if (crashed.count(id) == 0)
                    each.heard_at = now;
            for (auto i = booting.begin(); i != booting.end();)
            {
                if (i->first > now)
                {
                    ++i;
                    continue;
                }
                add(i->second);
                i = booting.erase(i);
            }
            for (const target_count& order : due_orders(
                     options, state, llm_service(), demand, directory, now))
            {
                if (reclaimable_unavailable &&
                    order.key.paid_as == market::reclaimable &&
                    order.count >
                        count(market::reclaimable, order.key.domain.value))
                {
                    record_refusal(options, state, order.key, now);
                    continue;
                }
                record_acceptance(options, state, order.key);
                fulfil(order.key, order.count);
            }
        }
    }

    /// Upstreams that are ready by the directory.
    double live_upstreams() const
    {
        return count(market::reclaimable) + count(market::on_demand);
    }
};

simulated_platform platform_with_18_upstreams()
{
    simulated_platform platform;
    for (const std::string& domain : domains)
        for (int i = 0; i < 6; ++i)
            platform.add({{"llm"}, {domain}, market::on_demand});
    return platform;
}

const service_demand steady_demand{60, 130'000, {}};

} // namespace

TEST_CASE("rents enough upstreams for the demand, preferring reclaimable ones")
{
    simulated_platform platform = platform_with_18_upstreams();

    SECTION("replaces on-demand upstreams by reclaimable ones")
    {
        platform.run(40s, steady_demand);
        CHECK(platform.count(market::on_demand) <= 4);
        CHECK(platform.count(market::reclaimable) >= 8);
        // After the loss of any one failure domain, the rest carries the
        // demand.
        for (const std::string& domain : domains)
            CHECK(
                (platform.live_upstreams() -
                 platform.count(market::reclaimable, domain)) *
                    planned_prompt_rate(platform.options, {}) >=
                steady_demand.prompt_tokens);
    }
    SECTION("replaces reclaimed upstreams by on-demand ones when no "
            "reclaimable are available")
    {
        platform.run(40s, steady_demand);
        platform.reclaimable_unavailable = true;
        platform.reclaim("east");
        platform.run(8s, steady_demand);
        CHECK(
            platform.live_upstreams() *
                planned_prompt_rate(platform.options, {}) >=
            steady_demand.prompt_tokens);
        platform.reclaim("north");
        platform.run(8s, steady_demand);
        platform.reclaim("west");
        platform.run(10s, steady_demand);
        CHECK(platform.count(market::reclaimable) == 0);
        CHECK(
            platform.live_upstreams() *
                planned_prompt_rate(platform.options, {}) >=
            steady_demand.prompt_tokens);
    }
    SECTION("before any demand, replaces on-demand upstreams one for one")
    {
        for (int i = 0; i < 20; ++i)
        {
            platform.run(1s, {});
            CHECK(platform.live_upstreams() >= 18);
        }
        CHECK(platform.count(market::on_demand) < 18);
    }
    SECTION("orders no on-demand number before all upstreams had time to "
            "announce themselves")
    {
        // The first leader, which has heard of only one upstream so far.
        simulated_platform new_platform;
        new_platform.add({{"llm"}, {"east"}, market::on_demand});
        new_platform.run(2s, {});
        for (const auto& [key, order] : new_platform.state.orders)
            CHECK(key.paid_as == market::reclaimable);
    }
    SECTION("a new leader during a reclaim orders at once")
    {
        platform.run(40s, steady_demand);
        platform.reclaimable_unavailable = true;
        platform.reclaim("east");
        platform.state = {};
        const auto before = platform.count(market::on_demand);
        platform.run(6s, steady_demand);
        CHECK(platform.count(market::on_demand) > before);
    }
    SECTION("after a reclaim, covers the loss of the next failure domain, also "
            "with a new leader")
    {
        platform.run(40s, steady_demand);
        platform.reclaimable_unavailable = true;
        platform.reclaim("east");
        const bool changes_leader = GENERATE(false, true);
        if (changes_leader)
            platform.state = {};
        platform.run(10s, steady_demand);
        // What remains after the loss of the next failure domain carries the
        // insured fraction of the demand.
        const double remaining =
            platform.live_upstreams() -
            std::max(
                platform.count(market::reclaimable, "north"),
                platform.count(market::reclaimable, "west"));
        CHECK(
            remaining * planned_prompt_rate(platform.options, {}) >=
            platform.options.insured_fraction_after_reclaim *
                steady_demand.prompt_tokens);
    }
    SECTION("does not count upstreams that crashed without a notice")
    {
        platform.run(40s, steady_demand);
        platform.reclaimable_unavailable = true;
        for (const auto& [id, each] : platform.directory.upstreams)
            if (each.value.state == site::upstream_state::ready &&
                each.value.domain.value != "west")
                platform.crashed.insert(id);
        platform.run(12s, steady_demand);
        const double remaining = platform.live_upstreams() -
                                 static_cast<double>(platform.crashed.size());
        CHECK(
            remaining * planned_prompt_rate(platform.options, {}) >=
            steady_demand.prompt_tokens);
    }
    SECTION(
        "raises an order at once while the last one is still being fulfilled")
    {
        platform.run(20s, steady_demand);
        const service_demand increased_demand{60, 400'000, {}};
        platform.run(9s, increased_demand);
        CHECK(
            platform.live_upstreams() *
                planned_prompt_rate(platform.options, {}) >=
            increased_demand.prompt_tokens);
    }
    SECTION("keeps reclaimable upstreams when the demand falls by a quarter")
    {
        platform.run(40s, steady_demand);
        const auto held = platform.count(market::reclaimable);
        platform.run(30s, {45, 0.75 * steady_demand.prompt_tokens, {}});
        CHECK(platform.count(market::reclaimable) >= held);
    }
    SECTION("a new leader releases nothing before it has observed the demand")
    {
        platform.run(40s, steady_demand);
        const auto before = platform.live_upstreams();
        platform.state = {};
        platform.run(4s, steady_demand);
        CHECK(platform.live_upstreams() >= before);
    }
    SECTION("a new leader plans for the first reported demand at once")
    {
        platform.run(40s, steady_demand);
        const auto reclaimable = platform.count(market::reclaimable);
        platform.state = {};
        platform.run(10s, steady_demand);
        CHECK(platform.count(market::reclaimable) >= reclaimable);
    }
}

TEST_CASE("an overload does not make itself worse")
{
    // After a reclaim the rest is overloaded, prompts queue, and the engines
    // seem slow: more on-demand upstreams were wanted than the failure domains
    // have room for, and live reclaimable ones were released for them before
    // they had started.
    simulated_platform platform = platform_with_18_upstreams();
    service_demand demand = steady_demand;
    demand.speed.tokens_per_ms = 24;
    platform.run(40s, demand);
    platform.reclaimable_unavailable = true;
    platform.reclaim("east");
    const std::uint32_t left = platform.count(market::reclaimable);
    REQUIRE(left > 0);
    demand.prompt_tokens *= 2.5;
    demand.speed.tokens_per_ms = 6;
    for (int second = 0; second < 12; ++second)
    {
        platform.run(1s, demand);
        CHECK(platform.count(market::reclaimable) >= left);
    }

    SECTION("and engines do not become slower by it")
    {
        platform.run(20s, demand);
        const double capacity = platform.live_upstreams() *
                                planned_prompt_rate(platform.options, {});
        CHECK(capacity >= demand.prompt_tokens);
        CHECK(capacity < 2.2 * demand.prompt_tokens);
    }
}

TEST_CASE("reclaimable upstreams survive reclaims in series")
{
    const rent_options options;
    for (const std::size_t domains : {2U, 3U, 4U, 5U, 15U})
    {
        const double in_each = reclaimable_per_need(options, domains);
        const auto count = static_cast<double>(domains);
        CHECK(in_each * (count - 1) >= 1.0);
        if (domains > 2)
            CHECK(in_each * (count - 2) >= 0.8);
        // More than that is paid for nothing.
        CHECK(in_each * count <= (domains < 5 ? 2.5 : 1.4));
    }
}

TEST_CASE("rents by the learned speed of the engines")
{
    // The same demand, which a few fast engines process or many slow ones.
    const double tokens_per_ms = GENERATE(5.0, 22.0, 112.0, 500.0);
    simulated_platform platform = platform_with_18_upstreams();
    service_demand demand = steady_demand;
    demand.requests = 10;
    demand.speed.tokens_per_ms = tokens_per_ms;
    platform.run(60s, demand);

    const double capacity = planned_prompt_rate(platform.options, demand.speed);
    CHECK(capacity == Approx(0.59 * 1000 * tokens_per_ms));
    const double needed = std::max(demand.prompt_tokens / capacity, 3.0);
    const double most = 12 * static_cast<double>(domains.size());
    CHECK(platform.live_upstreams() >= std::min(needed, most));
    CHECK(platform.live_upstreams() <= std::min(3.4 * needed + 3, most));
}

TEST_CASE("rents nothing for a service without renting terms")
{
    service fixed = llm_service();
    fixed.renting.reset();
    rent_state state;
    CHECK(due_orders({}, state, fixed, steady_demand, {}, time_point(1s))
              .empty());
}

TEST_CASE("upstreams of a new version are not released as a surplus during its "
          "move")
{
    simulated_platform platform;
    service_demand demand{200, 100'000, {}};
    platform.run(30s, demand);
    const std::uint32_t reclaimable = platform.count(market::reclaimable);
    const std::uint32_t before = platform.count(market::on_demand);
    // The operator starts the new version beside the old one.
    for (int i = 0; i < 18; ++i)
        platform.add(
            {{"llm"},
             {domains[static_cast<std::size_t>(i) % domains.size()]},
             market::on_demand});
    demand.is_moving = true;
    platform.run(30s, demand);
    CHECK(platform.count(market::on_demand) >= before + 18);
    CHECK(platform.count(market::reclaimable) >= reclaimable);

    demand.is_moving = false;
    platform.run(30s, demand);
    CHECK(platform.count(market::on_demand) < before + 18);
}

TEST_CASE("upstreams that name a limit count as that much smaller")
{
    service_demand demand = steady_demand;
    demand.request_rate = 90;
    simulated_platform unlimited = platform_with_18_upstreams();
    unlimited.run(40s, demand);
    simulated_platform platform = platform_with_18_upstreams();
    platform.run(40s, demand);
    const double need_before = platform.state.last_basis[{"llm"}].need;

    SECTION("and others are rented in their stead")
    {
        demand.limits = {1, 1, 1, 1};
        platform.run(20s, demand);
        const double need = platform.state.last_basis[{"llm"}].need;
        CHECK(need > need_before + 2);
        CHECK(need <= need_before + 4);
        CHECK(platform.live_upstreams() > unlimited.live_upstreams());
    }
    SECTION("also where most callers are refused for them")
    {
        // Eighteen upstreams take one request a second each, of 90.
        service_demand served = demand;
        served.requests /= 5;
        served.prompt_tokens /= 5;
        served.request_rate = 18;
        served.refused_rate = 72;
        served.limits.assign(18, 1.0);
        platform.run(40s, served);
        CHECK(platform.state.last_basis[{"llm"}].need > need_before + 10);
    }
    SECTION("a limit above what they would get costs nothing")
    {
        demand.limits = {1000, 1000, 1000, 1000};
        platform.run(20s, demand);
        CHECK(platform.state.last_basis[{"llm"}].need == Approx(need_before));
    }
    SECTION("and are released once the limits have ended")
    {
        demand.limits = {0, 0, 0, 0};
        platform.run(20s, demand);
        demand.limits.clear();
        platform.run(60s, demand);
        CHECK(platform.state.last_basis[{"llm"}].need == Approx(need_before));
    }
}

TEST_CASE("upstreams that warm up do not replace others yet")
{
    upstream_directory directory;
    rent_state state;
    service bounded = llm_service();
    const time_point start{1000s};
    const auto announce = [&](int number, bool reclaimable, duration warm_up)
    {
        site::upstream value;
        value.id = {"u" + std::to_string(number)};
        value.service = bounded.name;
        value.domain = {domains[number % domains.size()]};
        value.reclaimable = reclaimable;
        value.sequence = 1;
        value.warm_up = warm_up;
        merge(directory, value, start);
    };
    for (int i = 0; i < 6; ++i)
        announce(i, true, 3s);
    const auto trusted_at = [&](duration age)
    {
        due_orders({}, state, bounded, {}, directory, start + age);
        return state.last_basis[bounded.name].trusted_reclaimable;
    };

    SECTION("where their service bounds what they take")
    {
        bounded.warm_up = warm_up_terms{3s, 7};
        CHECK(trusted_at(2s) == 0);
        CHECK(trusted_at(4s) == 6);
    }
    SECTION("but do elsewhere")
    {
        CHECK(trusted_at(2s) == 6);
    }
}

TEST_CASE("the other failure domains carry the load of an evacuated one")
{
    simulated_platform platform;
    service_demand demand;
    demand.requests = 200;
    demand.prompt_tokens = 100'000;
    platform.run(40s, demand);
    const std::string evacuated =
        llm_service().renting->prices.begin()->first.value;
    const std::uint32_t before_there =
        platform.count(market::reclaimable, evacuated) +
        platform.count(market::on_demand, evacuated);
    const double needed = platform.state.last_basis[{"llm"}].need;
    REQUIRE(before_there > 0);

    demand.evacuated = {{evacuated}};
    platform.run(20s, demand);
    CHECK(platform.live_upstreams() - before_there >= needed);

    SECTION("and nothing is rented or released there")
    {
        CHECK(
            platform.count(market::reclaimable, evacuated) +
                platform.count(market::on_demand, evacuated) ==
            before_there);
    }
}
