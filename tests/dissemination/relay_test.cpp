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

constexpr duration hop_delay = 20ms;

/// Nodes that exchange messages in simulated time.
struct simulated_network
{
    struct message_in_transit
    {
        node_id from;
        send_message sent;
    };

    std::vector<entry_member> members;
    std::map<node_id, relay_state> nodes;
    /// Nodes that neither send nor receive.
    std::set<node_id> down;
    std::multimap<time_point, message_in_transit> in_transit;
    /// Additional delay of all messages from a node.
    std::map<node_id, duration> extra_delay;
    std::optional<round_ended> ended;
    std::size_t sent = 0;
    time_point now{};

    explicit simulated_network(
        std::size_t regions, std::size_t domains, std::size_t each)
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

    void apply_actions(const node_id& from, const std::vector<action>& actions)
    {
        for (const action& each : actions)
        {
            if (const auto* out = std::get_if<send_message>(&each))
            {
                ++sent;
                in_transit.insert(
                    {now + hop_delay + extra_delay[from], {from, *out}});
            }
            if (const auto* end = std::get_if<round_ended>(&each))
                ended = *end;
        }
    }

    void deliver()
    {
        while (!in_transit.empty() && in_transit.begin()->first <= now)
        {
            const message_in_transit first = in_transit.begin()->second;
            in_transit.erase(in_transit.begin());
            const node_id& to = first.sent.to;
            if (down.contains(to) || down.contains(first.from))
                continue;
            apply_actions(
                to, on_message(nodes[to], first.from, first.sent.value, now));
        }
    }

    /// Runs one round and returns how long it took.
    duration run_round(
        std::uint64_t number,
        std::uint64_t base_revision,
        std::uint64_t revision)
    {
        const time_point started_at = now;
        ended.reset();
        apply_actions(
            root(),
            start_round(
                nodes[root()],
                {{1, number},
                 base_revision,
                 revision,
                 build_tree(root(), members)},
                now));
        while (!ended && now - started_at < 60s)
        {
            now += 10ms;
            deliver();
            for (auto& [id, node] : nodes)
                if (!down.contains(id))
                    apply_actions(id, on_tick(node, now));
        }
        return now - started_at;
    }

    std::size_t count_behind(std::uint64_t revision) const
    {
        std::size_t count = 0;
        for (const auto& [id, node] : nodes)
            if (!down.contains(id) && node.applied != revision)
                ++count;
        return count;
    }
};

/// Stops a random set of nodes other than the root.
void stop_random_nodes(simulated_network& network)
{
    const auto share = *rc::gen::inRange(0, 60);
    for (const entry_member& each : network.members)
        if (each.id != network.root() && *rc::gen::inRange(0, 100) < share)
            network.down.insert(each.id);
}

simulated_network random_network()
{
    return simulated_network(
        *rc::gen::inRange<std::size_t>(1, 5),
        *rc::gen::inRange<std::size_t>(1, 4),
        *rc::gen::inRange<std::size_t>(1, 25));
}

std::set<node_id> ids_in_tree(const tree_node& node)
{
    std::set<node_id> ids{node.id};
    for (const tree_node& child : node.children)
        ids.merge(ids_in_tree(child));
    return ids;
}

} // namespace

TEST_CASE("the tree contains each entry once and needs at most four hops")
{
    const bool held = rc::check(
        []
        {
            const simulated_network network = random_network();
            const auto tree = build_tree(network.root(), network.members);
            RC_ASSERT(size_of(tree) == network.members.size());
            RC_ASSERT(ids_in_tree(tree).size() == network.members.size());
            RC_ASSERT(height_of(tree) <= 4U);
        });
    CHECK(held);

    SECTION("in a small network all entries are children of the leader")
    {
        const simulated_network small_network(1, 3, 1);
        const auto tree = build_tree({"another"}, small_network.members);
        CHECK(tree.children.size() == 3);
        CHECK(height_of(tree) == 1);
    }
}

TEST_CASE("all running entries apply the revision and each is counted once")
{
    const bool held = rc::check(
        []
        {
            simulated_network network = random_network();
            stop_random_nodes(network);
            network.run_round(1, 0, 7);
            RC_ASSERT(network.ended.has_value());
            const tree_summary& result = network.ended->result;
            const std::set<node_id> missing(
                result.missing.begin(), result.missing.end());
            RC_ASSERT(missing == network.down);
            RC_ASSERT(missing.size() == result.missing.size());
            RC_ASSERT(
                result.applied + missing.size() == network.members.size());
            RC_ASSERT(network.count_behind(7) == 0U);
        });
    CHECK(held);
}

TEST_CASE("slow entries are counted once")
{
    const bool held = rc::check(
        []
        {
            simulated_network network = random_network();
            for (const entry_member& each : network.members)
                if (each.id != network.root())
                    network.extra_delay[each.id] =
                        *rc::gen::inRange(0, 900) * 1ms;
            network.run_round(1, 0, 7);
            RC_ASSERT(network.ended.has_value());
            const tree_summary& result = network.ended->result;
            const std::set<node_id> missing(
                result.missing.begin(), result.missing.end());
            RC_ASSERT(missing.size() == result.missing.size());
            RC_ASSERT(
                result.applied + missing.size() == network.members.size());
        });
    CHECK(held);
}

TEST_CASE("disconnected entries catch up in the next round")
{
    const bool held = rc::check(
        []
        {
            simulated_network network = random_network();
            stop_random_nodes(network);
            for (std::uint64_t revision = 1; revision <= 3; ++revision)
                network.run_round(revision, revision - 1, revision);
            network.down.clear();
            network.run_round(4, 3, 3);
            RC_ASSERT(network.ended.has_value());
            RC_ASSERT(network.ended->result.missing.empty());
            RC_ASSERT(network.count_behind(3) == 0U);
        });
    CHECK(held);
}

TEST_CASE("nodes below an inner node that fails after its receipt are reached")
{
    simulated_network network(3, 3, 10);
    const auto tree = build_tree(network.root(), network.members);
    const node_id inner = tree.children.front().id;
    network.apply_actions(
        network.root(),
        start_round(
            network.nodes[network.root()], {{1, 1}, 0, 5, tree}, network.now));
    network.now += hop_delay;
    network.deliver();
    network.down.insert(inner);
    // Its messages that are still in transit are lost.
    const duration elapsed = network.run_round(2, 0, 5);
    CHECK(network.ended->result.missing == std::vector<node_id>{inner});
    CHECK(network.count_behind(5) == 0);
    CHECK(elapsed < 8s);
}

TEST_CASE("with 408 entries all apply the revision within 8 s")
{
    simulated_network network(6, 2, 34);
    const auto lost = GENERATE(0, 1, 2);
    const auto tree = build_tree(network.root(), network.members);
    // The entry that receives for a region, then also its last child.
    if (lost > 0)
        network.down.insert(tree.children.back().id);
    if (lost > 1)
        network.down.insert(tree.children.back().children.back().id);
    CHECK(network.run_round(1, 0, 1) < 8s);
    CHECK(network.count_behind(1) == 0);
    CHECK(network.ended->result.missing.size() == network.down.size());
}

TEST_CASE("a node ignores older revisions and rounds")
{
    relay_state node;
    node.self.value = "n";
    const node_id parent{"p"};
    const time_point now{};
    const tree_node leaf{node.self, {}};
    on_message(node, parent, round_message{{2, 1}, 0, 9, leaf}, now);
    CHECK(node.applied == 9);
    on_message(node, parent, changes_message{0, 4}, now);
    CHECK(on_message(node, parent, round_message{{1, 8}, 0, 4, leaf}, now)
              .empty());
    CHECK(node.applied == 9);

    SECTION("and changes that do not follow on its revision")
    {
        on_message(node, parent, changes_message{12, 15}, now);
        CHECK(node.applied == 9);
    }
}
