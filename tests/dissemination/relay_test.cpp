#include "dissemination/relay.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>

using namespace bergamotusher;
using namespace bergamotusher::dissemination;

namespace
{

constexpr duration hop = 20ms;

/// Nodes that exchange messages in virtual time; some are down.
struct bench
{
    struct letter
    {
        node_id from;
        send_message sent;
    };

    std::vector<entry_member> members;
    std::map<node_id, relay> nodes;
    std::set<node_id> down;
    std::multimap<time_point, letter> letters;
    /// What nodes send is this much late.
    std::map<node_id, duration> late;
    std::optional<round_ended> ended;
    std::size_t sent = 0;
    time_point now{};

    explicit bench(std::size_t regions, std::size_t domains, std::size_t each)
    {
        for (std::size_t i = 0; i < regions * domains * each; ++i)
        {
            const std::string region = "r" + std::to_string(i % regions);
            const std::string domain =
                region + "d" + std::to_string(i / regions % domains);
            const node_id id{"n" + std::to_string(i)};
            members.push_back({id, {{region}, {domain}}});
            nodes[id].self = id;
        }
    }

    const node_id& root() const
    {
        return members.front().id;
    }

    void take(const node_id& from, const std::vector<action>& actions)
    {
        for (const action& each : actions)
        {
            if (const auto* out = std::get_if<send_message>(&each))
            {
                ++sent;
                letters.insert({now + hop + late[from], {from, *out}});
            }
            if (const auto* end = std::get_if<round_ended>(&each))
                ended = *end;
        }
    }

    void deliver()
    {
        while (!letters.empty() && letters.begin()->first <= now)
        {
            const letter first = letters.begin()->second;
            letters.erase(letters.begin());
            const node_id& to = first.sent.to;
            if (down.contains(to) || down.contains(first.from))
                continue;
            take(to, on_message(nodes[to], first.from, first.sent.value, now));
        }
    }

    /// Runs one round; how long it took.
    duration
    run_round(std::uint64_t number, std::uint64_t after, std::uint64_t revision)
    {
        const time_point begun = now;
        ended.reset();
        take(
            root(),
            start_round(
                nodes[root()],
                {{1, number}, after, revision, build_tree(root(), members)},
                now));
        while (!ended && now - begun < 60s)
        {
            now += 10ms;
            deliver();
            for (auto& [id, node] : nodes)
                if (!down.contains(id))
                    take(id, on_tick(node, now));
        }
        return now - begun;
    }

    std::size_t behind(std::uint64_t revision) const
    {
        std::size_t count = 0;
        for (const auto& [id, node] : nodes)
            if (!down.contains(id) && node.applied != revision)
                ++count;
        return count;
    }
};

/// Any nodes but the root go down.
void take_some_down(bench& all)
{
    const auto share = *rc::gen::inRange(0, 60);
    for (const entry_member& each : all.members)
        if (each.id != all.root() && *rc::gen::inRange(0, 100) < share)
            all.down.insert(each.id);
}

bench any_bench()
{
    return bench(
        *rc::gen::inRange<std::size_t>(1, 5),
        *rc::gen::inRange<std::size_t>(1, 4),
        *rc::gen::inRange<std::size_t>(1, 25));
}

std::set<node_id> reached(const tree_node& node)
{
    std::set<node_id> ids{node.id};
    for (const tree_node& child : node.children)
        ids.merge(reached(child));
    return ids;
}

} // namespace

TEST_CASE("the tree reaches each entry once by few hops and short lists")
{
    const bool held = rc::check(
        []
        {
            const bench all = any_bench();
            const auto tree = build_tree(all.root(), all.members);
            RC_ASSERT(size_of(tree) == all.members.size());
            RC_ASSERT(reached(tree).size() == all.members.size());
            RC_ASSERT(height_of(tree) <= 4U);
        });
    CHECK(held);

    SECTION("today's four entries are all next to the leader")
    {
        const bench today(1, 3, 1);
        const auto tree = build_tree({"another"}, today.members);
        CHECK(tree.children.size() == 3);
        CHECK(height_of(tree) == 1);
    }
}

TEST_CASE("every living entry gets the news, and all are accounted for once")
{
    const bool held = rc::check(
        []
        {
            bench all = any_bench();
            take_some_down(all);
            all.run_round(1, 0, 7);
            RC_ASSERT(all.ended.has_value());
            const tree_summary& result = all.ended->result;
            const std::set<node_id> missing(
                result.missing.begin(), result.missing.end());
            RC_ASSERT(missing == all.down);
            RC_ASSERT(missing.size() == result.missing.size());
            RC_ASSERT(result.applied + missing.size() == all.members.size());
            RC_ASSERT(all.behind(7) == 0U);
        });
    CHECK(held);
}

TEST_CASE("slow entries are accounted for once, too")
{
    const bool held = rc::check(
        []
        {
            bench all = any_bench();
            for (const entry_member& each : all.members)
                if (each.id != all.root())
                    all.late[each.id] = *rc::gen::inRange(0, 900) * 1ms;
            all.run_round(1, 0, 7);
            RC_ASSERT(all.ended.has_value());
            const tree_summary& result = all.ended->result;
            const std::set<node_id> missing(
                result.missing.begin(), result.missing.end());
            RC_ASSERT(missing.size() == result.missing.size());
            RC_ASSERT(result.applied + missing.size() == all.members.size());
        });
    CHECK(held);
}

TEST_CASE("entries that were cut off catch up in one round after it")
{
    const bool held = rc::check(
        []
        {
            bench all = any_bench();
            take_some_down(all);
            for (std::uint64_t revision = 1; revision <= 3; ++revision)
                all.run_round(revision, revision - 1, revision);
            all.down.clear();
            all.run_round(4, 3, 3);
            RC_ASSERT(all.ended.has_value());
            RC_ASSERT(all.ended->result.missing.empty());
            RC_ASSERT(all.behind(3) == 0U);
        });
    CHECK(held);
}

TEST_CASE("an inner node that dies after its receipt takes nobody with it")
{
    bench all(3, 3, 10);
    const auto tree = build_tree(all.root(), all.members);
    const node_id inner = tree.children.front().id;
    all.take(
        all.root(),
        start_round(all.nodes[all.root()], {{1, 1}, 0, 5, tree}, all.now));
    all.now += hop;
    all.deliver();
    all.down.insert(inner);
    // Whatever it has sent meanwhile is lost with it.
    const duration spent = all.run_round(2, 0, 5);
    CHECK(all.ended->result.missing == std::vector<node_id>{inner});
    CHECK(all.behind(5) == 0);
    CHECK(spent < 8s);
}

TEST_CASE("at the target size all have the news within 8 s")
{
    bench all(6, 2, 34);
    const auto lost = GENERATE(0, 1, 2);
    const auto tree = build_tree(all.root(), all.members);
    // A region's head, then its head's successor as well.
    if (lost > 0)
        all.down.insert(tree.children.back().id);
    if (lost > 1)
        all.down.insert(tree.children.back().children.back().id);
    CHECK(all.run_round(1, 0, 1) < 8s);
    CHECK(all.behind(1) == 0);
    CHECK(all.ended->result.missing.size() == all.down.size());
}

TEST_CASE("a node never goes back to an older revision or round")
{
    relay node;
    node.self.value = "n";
    const node_id parent{"p"};
    const time_point now{};
    const tree_node leaf{node.self, {}};
    on_message(node, parent, spread{{2, 1}, 0, 9, leaf}, now);
    CHECK(node.applied == 9);
    on_message(node, parent, content{0, 4}, now);
    CHECK(on_message(node, parent, spread{{1, 8}, 0, 4, leaf}, now).empty());
    CHECK(node.applied == 9);

    SECTION("nor takes changes that leave some out")
    {
        on_message(node, parent, content{12, 15}, now);
        CHECK(node.applied == 9);
    }
}
