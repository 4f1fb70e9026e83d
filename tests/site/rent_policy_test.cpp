// Renting: cheap upstreams carry the load, and what one failure domain can
// lose at once is covered by upstreams that stay.
#include "site/rent_policy.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace bergamotusher;
using namespace bergamotusher::site;

namespace
{

const std::vector<std::string> domains{"east", "north", "west"};

service llm()
{
    service value;
    value.name = {"llm"};
    renting_terms terms;
    terms.least = 1;
    terms.most = 12;
    terms.boot_time = 4s;
    terms.reclaimable_price = 0.2;
    for (const std::string& each : domains)
        terms.prices[{each}] = each == "north" ? 0.8 : 1.0;
    value.renting = terms;
    return value;
}

/// A platform that gives what is ordered after the boot time, and takes
/// reclaimable upstreams back.
struct platform
{
    rent_options options;
    rent_state state;
    upstream_directory directory;
    time_point now{1000s};
    int next_id = 0;
    bool dry = false;
    /// Nothing is heard from these any more.
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

    void obey(const rent_key& key, std::uint32_t wanted)
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
            for (const wanted_count& order :
                 orders_due(options, state, llm(), demand, directory, now))
            {
                if (dry && order.key.paid_as == market::reclaimable &&
                    order.count >
                        count(market::reclaimable, order.key.domain.value))
                {
                    note_refused(options, state, order.key, now);
                    continue;
                }
                note_accepted(options, state, order.key);
                obey(order.key, order.count);
            }
        }
    }

    /// Upstreams that the demand needs within target.
    double carried() const
    {
        return count(market::reclaimable) + count(market::on_demand);
    }
};

platform with_eighteen()
{
    platform made;
    for (const std::string& domain : domains)
        for (int i = 0; i < 6; ++i)
            made.add({{"llm"}, {domain}, market::on_demand});
    return made;
}

constexpr service_demand calm{60, 130'000};

} // namespace

TEST_CASE("renting follows the demand at the least price")
{
    platform world = with_eighteen();

    SECTION("reclaimable upstreams take the load over")
    {
        world.run(40s, calm);
        CHECK(world.count(market::on_demand) <= 4);
        CHECK(world.count(market::reclaimable) >= 8);
        // Whatever one failure domain loses, the rest carries the demand.
        for (const std::string& domain : domains)
            CHECK(
                (world.carried() - world.count(market::reclaimable, domain)) *
                    world.options.prompt_tokens_each >=
                calm.prompt_tokens);
    }
    SECTION(
        "upstreams that stay replace what was reclaimed and is not to be had")
    {
        world.run(40s, calm);
        world.dry = true;
        world.reclaim("east");
        world.run(8s, calm);
        CHECK(
            world.carried() * world.options.prompt_tokens_each >=
            calm.prompt_tokens);
        world.reclaim("north");
        world.run(8s, calm);
        world.reclaim("west");
        world.run(10s, calm);
        CHECK(world.count(market::reclaimable) == 0);
        CHECK(
            world.carried() * world.options.prompt_tokens_each >=
            calm.prompt_tokens);
    }
    SECTION("before any demand, reclaimable upstreams replace others one for "
            "one")
    {
        for (int i = 0; i < 20; ++i)
        {
            world.run(1s, {});
            CHECK(world.carried() >= 18);
        }
        CHECK(world.count(market::on_demand) < 18);
    }
    SECTION("no number is ordered before all upstreams could announce "
            "themselves")
    {
        // A first leader that has heard of one upstream only.
        platform young;
        young.add({{"llm"}, {"east"}, market::on_demand});
        young.run(2s, {});
        for (const auto& [key, order] : young.state.orders)
            CHECK(key.paid_as == market::reclaimable);
    }
    SECTION("but a leader that comes during a reclaim orders at once")
    {
        world.run(40s, calm);
        world.dry = true;
        world.reclaim("east");
        world.state = {};
        const auto before = world.count(market::on_demand);
        world.run(6s, calm);
        CHECK(world.count(market::on_demand) > before);
    }
    SECTION("after a reclaim the next one is insured against, by a new leader "
            "too")
    {
        world.run(40s, calm);
        world.dry = true;
        world.reclaim("east");
        const bool changes_leader = GENERATE(false, true);
        if (changes_leader)
            world.state = {};
        world.run(10s, calm);
        // What is left without the next failure domain carries the demand but
        // for the part that is not insured.
        const double left =
            world.carried() - std::max(
                                  world.count(market::reclaimable, "north"),
                                  world.count(market::reclaimable, "west"));
        CHECK(
            left * world.options.prompt_tokens_each >=
            world.options.insured_part_after_reclaim * calm.prompt_tokens);
    }
    SECTION("upstreams that crashed without a word carry nothing")
    {
        world.run(40s, calm);
        world.dry = true;
        for (const auto& [id, each] : world.directory.upstreams)
            if (each.value.state == site::upstream_state::ready &&
                each.value.domain.value != "west")
                world.crashed.insert(id);
        world.run(12s, calm);
        const double left =
            world.carried() - static_cast<double>(world.crashed.size());
        CHECK(left * world.options.prompt_tokens_each >= calm.prompt_tokens);
    }
    SECTION("more is ordered at once, though the last order is still obeyed")
    {
        world.run(20s, calm);
        const service_demand jump{60, 400'000};
        world.run(9s, jump);
        CHECK(
            world.carried() * world.options.prompt_tokens_each >=
            jump.prompt_tokens);
    }
    SECTION("reclaimable upstreams that may not be to be had again are kept")
    {
        world.run(40s, calm);
        const auto held = world.count(market::reclaimable);
        world.run(30s, {45, 0.75 * calm.prompt_tokens});
        CHECK(world.count(market::reclaimable) >= held);
    }
    SECTION("a new leader gives nothing back before it has seen the demand")
    {
        world.run(40s, calm);
        const auto before = world.carried();
        world.state = {};
        world.run(4s, calm);
        CHECK(world.carried() >= before);
    }
    SECTION("a new leader plans for the first demand that it hears of")
    {
        world.run(40s, calm);
        const auto reclaimable = world.count(market::reclaimable);
        world.state = {};
        world.run(10s, calm);
        CHECK(world.count(market::reclaimable) >= reclaimable);
    }
}

TEST_CASE("a service without terms is not rented for")
{
    service fixed = llm();
    fixed.renting.reset();
    rent_state state;
    CHECK(orders_due({}, state, fixed, calm, {}, time_point(1s)).empty());
}
