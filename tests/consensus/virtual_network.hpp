// Replicas on a virtual network with virtual disks and clocks. Everything that
// happens follows from the seed. Each step checks the safety properties and
// throws `violation` if one is broken.
#pragma once

#include "consensus/replica.hpp"

#include <deque>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

namespace virtual_network
{

using namespace bergamotusher;
using namespace bergamotusher::consensus;

/// A safety property does not hold.
struct violation : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

struct virtual_disk
{
    recovered_state stored;
    std::deque<std::variant<persist, persist_snapshot>> pending;
    time_point busy_until;
    duration sync_time = 2ms;
    bool full = false;
    /// The disk takes writes but no sync ends.
    bool hung = false;
};

struct node
{
    node_id id;
    std::uint64_t storage_id = 0;
    bool running = false;
    std::size_t starts = 0;
    bool frozen = false;
    consensus::replica core;
    virtual_disk disk;
    /// Seconds of the node's clock in a second.
    double clock_rate = 1;
    duration clock_offset{};
    /// Digest of everything applied, and the index it stands for.
    std::uint64_t state = 0;
    log_index applied = 0;
    std::vector<read_ready> reads;
};

struct in_flight
{
    std::size_t from = 0;
    std::size_t to = 0;
    message content;
};

/// Where in its work a node is.
enum class work_step
{
    propose,
    append,
    sync,
    commit,
    apply,
    answer,
    snapshot,
    voter_change
};

struct network
{
    std::mt19937_64 random;
    time_point now;
    std::vector<node> nodes;
    std::multimap<time_point, in_flight> messages;
    /// Nodes in different groups do not reach each other.
    std::vector<int> group;
    /// Pairs, lower first, whose link is down.
    std::set<std::pair<std::size_t, std::size_t>> cut_links;
    double drop = 0;
    double duplicate = 0;
    duration delay_max = 5ms;
    consensus::limits limits;
    /// Applied entries after which a node takes a snapshot; 0 means never.
    log_index snapshot_every = 0;

    /// Called when a node comes to a step; it may bring a fault on any node.
    std::function<void(network&, std::size_t node, work_step)> on_step;

    // What the checks remember.
    std::map<term_number, std::size_t> leaders;
    std::map<log_index, std::uint64_t> states;
    std::map<log_index, term_number> committed;
    /// Commands whose commit a proposer was told of.
    std::size_t applied_commands = 0;
};

/// `count` nodes "n0", "n1" and so on, each in a failure domain of its own,
/// with clocks that drift as far as allowed.
network make_network(std::size_t count, std::uint64_t seed);

void start_node(network& net, std::size_t index);
/// Loses what was not synced; a part of it may be on the disk all the same.
void kill_node(network& net, std::size_t index);
/// Kills, and starts with an empty folder.
void lose_disk(network& net, std::size_t index);

/// Takes the link between two nodes down, or up again.
void cut_link(network& net, std::size_t a, std::size_t b, bool down);

/// Lets `span` of real time pass.
void run(network& net, duration span);
/// Runs until a leader may give orders; false if none did within `limit`.
bool run_until_leader(network& net, duration limit = 20s);
/// Gives an input to a node and carries the actions out.
actions give(network& net, std::size_t index, const input& input);

/// The node that leads in the newest term and runs; nothing if none does.
std::optional<std::size_t> leader_of(const network& net);
time_point local_now(const network& net, const node& node);
/// Checks that logs that share an entry share all before it.
void check_log_matching(const network& net);

} // namespace virtual_network
