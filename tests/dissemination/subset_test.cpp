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

/// Entries and upstreams of one region.
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
    const std::string& id_prefix,
    std::size_t entries,
    std::size_t upstreams,
    std::size_t domains)
{
    fleet result;
    for (std::size_t i = 0; i < entries; ++i)
        result.entries.push_back(
            {{id_prefix + "e" + std::to_string(i)}, place_of(i, domains)});
    for (std::size_t i = 0; i < upstreams; ++i)
        result.upstreams.push_back(
            {{id_prefix + "u" + std::to_string(i)}, place_of(i, domains)});
    return result;
}

fleet random_fleet()
{
    return make_fleet(
        std::to_string(*rc::gen::arbitrary<std::uint32_t>()),
        *rc::gen::inRange<std::size_t>(1, 30),
        *rc::gen::inRange<std::size_t>(1, 250),
        *rc::gen::inRange<std::size_t>(1, 5));
}

std::set<node_id> chosen_entries(
    const upstream_member& each,
    const fleet& all,
    const subset_options& options = {})
{
    const auto chosen = choose_announcement_targets(
        each, all.upstreams.size(), all.entries, options);
    return {chosen.begin(), chosen.end()};
}

failure_domain domain_of(const node_id& id, const fleet& all)
{
    for (const entry_member& each : all.entries)
        if (each.id == id)
            return each.at.domain;
    return {};
}

std::size_t count_domains(const fleet& all)
{
    std::set<failure_domain> domains;
    for (const entry_member& each : all.entries)
        domains.insert(each.at.domain);
    return domains.size();
}

} // namespace

TEST_CASE("four entries use all of 23 upstreams")
{
    const fleet small_fleet = make_fleet("", 4, 23, 3);
    for (const entry_member& self : small_fleet.entries)
        CHECK(
            subset_for(self, small_fleet.entries, small_fleet.upstreams)
                .size() == 23);
}

TEST_CASE("every upstream chooses enough entries in two failure domains")
{
    const bool held = rc::check(
        []
        {
            const fleet all = random_fleet();
            const subset_options options;
            for (const upstream_member& each : all.upstreams)
            {
                const auto chosen = chosen_entries(each, all);
                RC_ASSERT(
                    chosen.size() >=
                    std::min(options.min_entries, all.entries.size()));
                std::set<failure_domain> domains;
                for (const node_id& id : chosen)
                    domains.insert(domain_of(id, all));
                RC_ASSERT(
                    domains.size() >=
                    std::min<std::size_t>(2, count_domains(all)));
            }
        });
    CHECK(held);
}

TEST_CASE("an entry uses the upstreams that chose it and enough of each domain")
{
    const bool held = rc::check(
        []
        {
            const fleet all = random_fleet();
            subset_options options;
            options.target_upstreams = *rc::gen::inRange<std::size_t>(4, 60);
            options.min_upstreams = options.target_upstreams / 2;
            for (const entry_member& self : all.entries)
            {
                const auto subset =
                    subset_for(self, all.entries, all.upstreams, options);
                RC_ASSERT(
                    subset.size() >=
                    std::min(options.min_upstreams, all.upstreams.size()));
                std::set<failure_domain> used;
                std::set<failure_domain> existing;
                for (const upstream_member& each : all.upstreams)
                {
                    existing.insert(each.at.domain);
                    const bool uses = std::binary_search(
                        subset.begin(), subset.end(), each.id);
                    if (uses)
                        used.insert(each.at.domain);
                    if (chosen_entries(each, all, options).contains(self.id))
                        RC_ASSERT(uses);
                }
                RC_ASSERT(used == existing);
            }
        });
    CHECK(held);
}

TEST_CASE("when an entry leaves, each upstream replaces at most that entry")
{
    const bool held = rc::check(
        []
        {
            const fleet before = random_fleet();
            RC_PRE(before.entries.size() >= 2U);
            fleet after = before;
            const auto removed =
                *rc::gen::inRange<std::size_t>(0, before.entries.size());
            after.entries.erase(
                after.entries.begin() + static_cast<std::ptrdiff_t>(removed));
            const node_id left = before.entries[removed].id;
            for (const upstream_member& each : before.upstreams)
            {
                const auto old = chosen_entries(each, before);
                const auto now = chosen_entries(each, after);
                std::size_t kept = 0;
                for (const node_id& id : now)
                    kept += old.contains(id) ? 1U : 0U;
                // The number of chosen entries is proportional to the number of
                // entries, so it may shrink by one.
                const std::size_t lost_choices = old.contains(left) ? 1 : 0;
                RC_ASSERT(now.size() - kept <= lost_choices);
                RC_ASSERT(old.size() - now.size() <= 1U);
            }
        });
    CHECK(held);
}

TEST_CASE("833 upstreams are distributed evenly over 68 entries")
{
    const fleet all = make_fleet("t", 68, 833, 3);
    const subset_options options;
    const std::size_t width = announce_width(833, 68, options);
    std::map<node_id, std::size_t> upstream_counts;
    for (const upstream_member& each : all.upstreams)
        for (const node_id& id : chosen_entries(each, all))
            ++upstream_counts[id];
    CHECK(upstream_counts.size() == all.entries.size());
    const double mean = 833.0 * static_cast<double>(width) / 68.0;
    for (const auto& [id, count] : upstream_counts)
    {
        CHECK(static_cast<double>(count) < 1.6 * mean);
        CHECK(static_cast<double>(count) > 0.4 * mean);
    }
    CHECK(mean < 2.0 * static_cast<double>(options.target_upstreams));
}

TEST_CASE("upstreams of other regions are used only if there are no local ones")
{
    fleet all = make_fleet("", 4, 12, 2);
    for (std::size_t i = 0; i < 6; ++i)
        all.upstreams[i].at.region.value = "far";
    const auto near = subset_for(all.entries[0], all.entries, all.upstreams);
    CHECK(near.size() == 6);
    all.upstreams.resize(6);
    const auto far = subset_for(all.entries[0], all.entries, all.upstreams);
    CHECK(far.size() == 6);

    SECTION("an upstream in a region without entries chooses other regions")
    {
        CHECK(chosen_entries(all.upstreams[0], all).size() == 4);
    }
}
