// Guards against directory and site updates whose traffic grows with control
// nodes x entries x upstreams. At 77 entries, 9 control nodes and 320 upstreams
// every node sent every change to every entry, and a full directory with each
// answer while anything was on its way: control nodes with 0.15 of a core
// neither answered operators nor renewed leases.
#include "site/entry_sync.hpp"
#include "site/sample_site.hpp"

#include <catch2/catch.hpp>

#include <deque>
#include <random>

using namespace bergamotusher;
using namespace bergamotusher::site;
using sample::announcement;

namespace
{

constexpr time_point start{1000s};

/// Control nodes and entries that exchange reports and directories. The node
/// that receives an announcement tells all others; any message may be lost.
struct fleet
{
    struct entry
    {
        upstream_directory directory;
        std::uint64_t bytes = 0;
        std::uint64_t reports = 0;
    };
    struct control_node
    {
        upstream_directory directory;
        std::vector<entry_sync_state> sync;
        std::vector<time_point> sent_to_node;
    };
    struct message
    {
        time_point due;
        std::size_t to = 0;
        bool to_entry = false;
        std::vector<upstream> updates;
    };

    fleet(std::size_t control_count, std::size_t entry_count)
        : control(control_count), entries(entry_count)
    {
        for (control_node& each : control)
        {
            each.sync.resize(entry_count);
            each.sent_to_node.resize(control_count);
        }
    }

    void deliver()
    {
        while (!under_way.empty() && under_way.front().due <= now)
        {
            const message each = std::move(under_way.front());
            under_way.pop_front();
            upstream_directory& directory = each.to_entry
                                                ? entries[each.to].directory
                                                : control[each.to].directory;
            for (const upstream& value : each.updates)
                merge(directory, value, now);
        }
    }

    void send(std::size_t to, bool to_entry, std::vector<upstream> updates)
    {
        if (to_entry)
            entries[to].bytes += updates.size() * upstream_bytes;
        if (std::bernoulli_distribution(loss)(random))
            return;
        under_way.push_back({now + 20ms, to, to_entry, std::move(updates)});
    }

    void announce(std::size_t at, const upstream& value)
    {
        merge(control[at].directory, value, now);
        for (std::size_t i = 0; i < control.size(); ++i)
            if (i != at)
                send(i, false, {value});
        for (std::size_t i = 0; i < entries.size(); ++i)
            send(i, true, {value});
    }

    static node_id node_name(std::size_t index)
    {
        return {"node-" + std::to_string(index)};
    }

    std::set<node_id> names_of_others(std::size_t self) const
    {
        std::set<node_id> names;
        for (std::size_t i = 0; i < control.size(); ++i)
            if (i != self)
                names.insert(node_name(i));
        return names;
    }

    void report(std::size_t from, std::size_t to)
    {
        control_node& node = control[to];
        const directory_update update = directory_update_for(
            options,
            node.directory,
            entries[from].directory.digest,
            sync_rank(
                node_name(to),
                names_of_others(to),
                {"entry-" + std::to_string(from)},
                to == 0),
            node.sync[from],
            now);
        if (update.scope == directory_update_scope::changes)
            send(from, true, update.changes);
        if (update.scope != directory_update_scope::full)
            return;
        send(from, true, all_of(node));
    }

    static std::vector<upstream> all_of(const control_node& node)
    {
        std::vector<upstream> all;
        for (const auto& [id, each] : node.directory.upstreams)
            all.push_back(each.value);
        return all;
    }

    /// Every control node tells the others its digest.
    void exchange_digests()
    {
        for (std::size_t from = 0; from < control.size(); ++from)
            for (std::size_t to = 0; to < control.size(); ++to)
                if (from != to && should_send_directory(
                                      options,
                                      control[to].directory,
                                      control[from].directory.digest,
                                      control[to].sent_to_node[from],
                                      now))
                    send(from, false, all_of(control[to]));
    }

    /// Entries report to the leader, node 0, every 400 ms, to others every
    /// 800 ms.
    void run(duration span)
    {
        for (const time_point end = now + span; now < end; now += step)
        {
            deliver();
            if ((now - start) % duration(1s) == 0s)
                exchange_digests();
            for (std::size_t i = 0; i < entries.size(); ++i)
            {
                const auto phase = static_cast<std::int64_t>(i) * 7 % 40;
                const std::int64_t slot = (now - start) / step;
                if (slot % 40 != phase)
                    continue;
                const auto round = static_cast<std::size_t>(slot / 40);
                for (std::size_t node = 0; node < control.size(); ++node)
                    if (node == 0 || (node + round) % 2 == 0)
                        report(i, node);
            }
        }
    }

    std::uint64_t most_bytes_at_an_entry() const
    {
        std::uint64_t most = 0;
        for (const entry& each : entries)
            most = std::max(most, each.bytes);
        return most;
    }

    static constexpr duration step = 10ms;
    static constexpr std::uint64_t upstream_bytes = 130;
    entry_sync_options options;
    std::vector<control_node> control;
    std::vector<entry> entries;
    std::deque<message> under_way;
    std::mt19937 random{11};
    double loss = 0;
    time_point now = start;
};

} // namespace

TEST_CASE("sends a missed drain again in reply to the entry's next report")
{
    const entry_sync_options options;
    entry_sync_state sync;
    upstream_directory directory;
    merge(directory, announcement("a", 10, 1), start);
    merge(directory, announcement("b", 10, 1), start);
    const std::uint64_t before = directory.digest;
    sync.full_sent_at = start + 100s;
    const time_point now = start + 100s + 300ms;
    // The message about the drain was lost, and a full directory had been sent
    // just before.
    merge(directory, announcement("a", 10, 2, upstream_state::draining), now);
    const auto update =
        directory_update_for(options, directory, before, 0, sync, now + 400ms);
    REQUIRE(update.scope == directory_update_scope::changes);
    REQUIRE(update.changes.size() == 1);
    CHECK(update.changes[0].id.value == "a");
    CHECK(update.changes[0].state == upstream_state::draining);

    SECTION("sends the full directory once the interval has passed")
    {
        CHECK(
            directory_update_for(options, directory, before, 0, sync, now + 3s)
                .scope == directory_update_scope::full);
        CHECK(sync.full_sent_at == now + 3s);
    }
    SECTION("sends nothing once the directories are equal")
    {
        CHECK(
            directory_update_for(
                options, directory, directory.digest, 0, sync, now + 800ms)
                .scope == directory_update_scope::none);
    }
    SECTION("another node sends it where the leader does not")
    {
        entry_sync_state other;
        other.full_sent_at = start + 100s;
        CHECK(
            directory_update_for(
                options, directory, before, 1, other, now + 400ms)
                .scope == directory_update_scope::none);
        CHECK(
            directory_update_for(
                options, directory, before, 1, other, now + 1200ms)
                .changes.size() == 1);
    }
}

TEST_CASE("hundreds of upstreams start beside dozens of entries")
{
    fleet system(9, 77);
    constexpr std::uint64_t upstreams = 320;
    SECTION("nothing is lost") {}
    SECTION("one message in fifty is lost")
    {
        system.loss = 0.02;
    }
    for (std::uint64_t i = 0; i < upstreams; ++i)
    {
        system.announce(i % 9, announcement("i-" + std::to_string(i), 10, 1));
        system.run(10ms);
    }
    system.run(4s);

    for (const fleet::entry& each : system.entries)
        CHECK(each.directory.digest == system.control[0].directory.digest);
    // Each upstream needs 130 bytes once. With a full directory and the changes
    // of its own, an entry gets no more than six times that, so that a link of
    // 24 Mbit/s is busy with it for less than 0.1 s.
    CHECK(
        system.most_bytes_at_an_entry() <
        6 * upstreams * fleet::upstream_bytes);
}

TEST_CASE("entries hear of a drain within two seconds although messages are "
          "lost")
{
    fleet system(9, 77);
    for (int i = 0; i < 160; ++i)
        system.announce(0, announcement("i-" + std::to_string(i), 10, 1));
    system.run(3s);
    system.loss = 0.3;
    for (int drain = 0; drain < 10; ++drain)
    {
        const std::string id = "i-" + std::to_string(drain);
        system.announce(
            static_cast<std::size_t>(drain) % 9,
            announcement(id, 10, 2, upstream_state::draining));
        system.run(2s);
        int late = 0;
        for (const fleet::entry& each : system.entries)
            if (each.directory.upstreams.at({id}).value.state !=
                upstream_state::draining)
                ++late;
        CHECK(late == 0);
        system.run(2s);
    }
}

TEST_CASE("a new site reaches an entry once from the leader")
{
    const entry_sync_options options;
    entry_sync_state from_leader;
    entry_sync_state from_other;
    CHECK(should_send_site(options, 7, 6, 0, from_leader, start));
    CHECK_FALSE(should_send_site(options, 7, 6, 1, from_other, start));
    // The report that the entry sent before the site reached it.
    CHECK_FALSE(should_send_site(options, 7, 6, 0, from_leader, start + 200ms));
    CHECK_FALSE(should_send_site(options, 7, 7, 1, from_other, start + 600ms));

    SECTION("another node sends it where the leader's message was lost")
    {
        CHECK(should_send_site(options, 7, 6, 1, from_other, start + 600ms));
    }
    SECTION("the leader sends it again after a while")
    {
        CHECK(should_send_site(options, 7, 6, 0, from_leader, start + 1s));
    }
    SECTION("a newer version is not held back")
    {
        CHECK(should_send_site(options, 8, 6, 0, from_leader, start + 200ms));
    }
    SECTION("of versions in quick succession the entry gets few, and the last")
    {
        std::uint64_t sent = 0;
        std::uint64_t version = 7;
        time_point now = start;
        for (int i = 0; i < 100; ++i, now += 10ms)
            sent += should_send_site(options, ++version, 6, 0, from_leader, now)
                        ? 1
                        : 0;
        CHECK(sent <= 5);
        now += options.site_interval;
        CHECK(should_send_site(options, version, 6, 0, from_leader, now));
        CHECK(from_leader.sent_site_version == version);
    }
}
