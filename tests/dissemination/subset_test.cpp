#include "dissemination/subset.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>

using namespace bergamotusher;
using namespace bergamotusher::dissemination;

namespace
{

/// A fleet of one region with `domains` failure domains.
struct fleet
{
    std::vector<entry_member> entries;
    std::vector<upstream_member> upstreams;
};

place place_of(std::size_t number, std::size_t domains)
{
    return {{"r"}, {"d" + std::to_string(number % domains)}};
}

fleet make_fleet(
    const std::string& salt,
    std::size_t entries,
    std::size_t upstreams,
    std::size_t domains)
{
    fleet made;
    for (std::size_t i = 0; i < entries; ++i)
        made.entries.push_back(
            {{salt + "e" + std::to_string(i)}, place_of(i, domains)});
    for (std::size_t i = 0; i < upstreams; ++i)
        made.upstreams.push_back(
            {{salt + "u" + std::to_string(i)}, place_of(i, domains)});
    return made;
}

fleet any_fleet()
{
    return make_fleet(
        std::to_string(*rc::gen::arbitrary<std::uint32_t>()),
        *rc::gen::inRange<std::size_t>(1, 30),
        *rc::gen::inRange<std::size_t>(1, 250),
        *rc::gen::inRange<std::size_t>(1, 5));
}

std::set<node_id> choice_of(
    const upstream_member& each,
    const fleet& all,
    const subset_options& options = {})
{
    const auto chosen =
        announced_to(each, all.upstreams.size(), all.entries, options);
    return {chosen.begin(), chosen.end()};
}

failure_domain domain_of(const node_id& id, const fleet& all)
{
    for (const entry_member& each : all.entries)
        if (each.id == id)
            return each.at.domain;
    return {};
}

std::size_t domains_of(const fleet& all)
{
    std::set<failure_domain> domains;
    for (const entry_member& each : all.entries)
        domains.insert(each.at.domain);
    return domains.size();
}

} // namespace

TEST_CASE("today's four entries use every upstream")
{
    const fleet today = make_fleet("", 4, 23, 3);
    for (const entry_member& self : today.entries)
        CHECK(subset_for(self, today.entries, today.upstreams).size() == 23);
}

TEST_CASE("no upstream is left unseen, and a lost domain blinds none")
{
    const bool held = rc::check(
        []
        {
            const fleet all = any_fleet();
            const subset_options options;
            for (const upstream_member& each : all.upstreams)
            {
                const auto chosen = choice_of(each, all);
                RC_ASSERT(
                    chosen.size() >=
                    std::min(options.least_entries, all.entries.size()));
                std::set<failure_domain> domains;
                for (const node_id& id : chosen)
                    domains.insert(domain_of(id, all));
                RC_ASSERT(
                    domains.size() >=
                    std::min<std::size_t>(2, domains_of(all)));
            }
        });
    CHECK(held);
}

TEST_CASE("both sides agree, and every subset is large and spread")
{
    const bool held = rc::check(
        []
        {
            const fleet all = any_fleet();
            subset_options options;
            options.wanted_upstreams = *rc::gen::inRange<std::size_t>(4, 60);
            options.least_upstreams = options.wanted_upstreams / 2;
            for (const entry_member& self : all.entries)
            {
                const auto subset =
                    subset_for(self, all.entries, all.upstreams, options);
                RC_ASSERT(
                    subset.size() >=
                    std::min(options.least_upstreams, all.upstreams.size()));
                std::set<failure_domain> used;
                std::set<failure_domain> there;
                for (const upstream_member& each : all.upstreams)
                {
                    there.insert(each.at.domain);
                    const bool uses = std::binary_search(
                        subset.begin(), subset.end(), each.id);
                    if (uses)
                        used.insert(each.at.domain);
                    if (choice_of(each, all, options).contains(self.id))
                        RC_ASSERT(uses);
                }
                RC_ASSERT(used == there);
            }
        });
    CHECK(held);
}

TEST_CASE("one entry's leaving moves each upstream by one entry at most")
{
    const bool held = rc::check(
        []
        {
            const fleet before = any_fleet();
            RC_PRE(before.entries.size() >= 2U);
            fleet after = before;
            const auto gone =
                *rc::gen::inRange<std::size_t>(0, before.entries.size());
            after.entries.erase(
                after.entries.begin() + static_cast<std::ptrdiff_t>(gone));
            const node_id left = before.entries[gone].id;
            for (const upstream_member& each : before.upstreams)
            {
                const auto old = choice_of(each, before);
                const auto now = choice_of(each, after);
                std::size_t kept = 0;
                for (const node_id& id : now)
                    kept += old.contains(id) ? 1U : 0U;
                // The width is a share of the entries, so that it may
                // shrink, by one, as these do.
                const std::size_t given_up = old.contains(left) ? 1 : 0;
                RC_ASSERT(now.size() - kept <= given_up);
                RC_ASSERT(old.size() - now.size() <= 1U);
            }
        });
    CHECK(held);
}

TEST_CASE("upstreams are shared out evenly at the target's size of a region")
{
    const fleet all = make_fleet("t", 68, 833, 3);
    const subset_options options;
    const std::size_t width = announce_width(833, 68, options);
    std::map<node_id, std::size_t> heard;
    for (const upstream_member& each : all.upstreams)
        for (const node_id& id : choice_of(each, all))
            ++heard[id];
    CHECK(heard.size() == all.entries.size());
    const double mean = 833.0 * static_cast<double>(width) / 68.0;
    for (const auto& [id, count] : heard)
    {
        CHECK(static_cast<double>(count) < 1.6 * mean);
        CHECK(static_cast<double>(count) > 0.4 * mean);
    }
    CHECK(mean < 2.0 * static_cast<double>(options.wanted_upstreams));
}

TEST_CASE("an entry turns to other regions only when its own has nothing")
{
    fleet all = make_fleet("", 4, 12, 2);
    for (std::size_t i = 0; i < 6; ++i)
        all.upstreams[i].at.region.value = "far";
    const auto near = subset_for(all.entries[0], all.entries, all.upstreams);
    CHECK(near.size() == 6);
    all.upstreams.resize(6);
    const auto far = subset_for(all.entries[0], all.entries, all.upstreams);
    CHECK(far.size() == 6);

    SECTION("and an upstream of a region without entries is heard elsewhere")
    {
        CHECK(choice_of(all.upstreams[0], all).size() == 4);
    }
}
