// Simulates replicas on a network, with disks and clocks in virtual time. A run
// is determined by its seed. Each step checks the safety properties and throws
// `violation` if one is broken.
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

/// Thrown if a safety property does not hold.
struct violation : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

/// What a node has stored, and writes that are not yet synced.
struct virtual_disk
{
    recovered_state stored;
    std::deque<std::variant<persist, persist_snapshot>> pending;
    time_point busy_until;
    duration sync_time = 2ms;
    /// Every write fails, as on a full disk.
    bool full = false;
    /// The disk accepts writes but no sync completes.
    bool sync_hung = false;
};

struct node
{
    node_id id;
    std::uint64_t storage_id = 0;
    /// The nodes that its settings name; empty stands for all.
    std::vector<node_id> configured;
    /// Whether its next start may found a cluster.
    bool may_bootstrap = true;
    bool running = false;
    /// Number of starts; tells whether a fault restarted the node meanwhile.
    std::size_t start_count = 0;
    /// The process is suspended: it handles no message and no tick.
    bool frozen = false;
    /// The replica under test.
    consensus::replica core;
    virtual_disk disk;
    /// Rate of the node's clock relative to real time.
    double clock_rate = 1;
    duration clock_offset{};
    /// Digest of all applied entries, and the index of the last one.
    std::uint64_t state = 0;
    log_index applied = 0;
    std::vector<read_ready> reads;
};

struct in_flight_message
{
    std::size_t from = 0;
    std::size_t to = 0;
    message content;
};

/// A step of a node in processing a command, at which a fault can be injected.
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
    std::multimap<time_point, in_flight_message> messages;
    /// Partition of each node; messages between partitions are lost.
    std::vector<int> partition;
    /// Pairs of nodes, lower index first, whose link is down.
    std::set<std::pair<std::size_t, std::size_t>> cut_links;
    /// Probability that a message is lost.
    double drop = 0;
    /// Probability that a message that is not lost is sent twice.
    double duplicate = 0;
    duration delay_max = 5ms;
    consensus::limits limits;
    /// Number of applied entries after which a node takes a snapshot; 0 means
    /// never.
    log_index snapshot_every = 0;

    /// Called when a node reaches a step; it may inject a fault at any node.
    std::function<void(network&, std::size_t node, work_step)> on_step;

    // Observations that the safety checks compare.
    std::map<term_number, std::size_t> leader_by_term;
    std::map<log_index, std::uint64_t> state_by_index;
    std::map<log_index, term_number> committed_terms;
    /// Number of commands that were applied at any node.
    std::size_t applied_commands = 0;
};

/// Makes `count` nodes "n0", "n1" and so on, each in its own failure domain,
/// with clock rates drawn within the allowed drift. They are not started.
network make_network(std::size_t count, std::uint64_t seed);

/// Adds a node with an empty disk that may not found a cluster; returns its
/// index. It is not started.
std::size_t add_node(network& net, std::vector<node_id> configured);

void start_node(network& net, std::size_t index);
/// Stops a node without warning. A random number of its unsynced writes, oldest
/// first, still reaches the disk; the others are lost.
void kill_node(network& net, std::size_t index);
/// Kills a node and starts it with an empty data folder.
void replace_disk(network& net, std::size_t index);

/// Takes the link between two nodes down, or up again if `down` is false.
void set_link_down(network& net, std::size_t a, std::size_t b, bool down);

/// Runs the simulation for `span` of virtual time.
void run(network& net, duration span);
/// Runs until `may_act_as_sole_leader` holds for a leader; false if not within
/// `limit`.
bool run_until_leader(network& net, duration limit = 20s);
/// Gives an input to a node and performs the resulting actions.
actions step_node(network& net, std::size_t index, const input& input);

/// The running leader of the newest term; nothing if there is none.
std::optional<std::size_t> leader_of(const network& net);
/// The present time by the clock of `node`.
time_point local_now(const network& net, const node& node);
/// Checks the log-matching property: two logs that have an entry with the same
/// index and term are equal up to it.
void check_log_matching(const network& net);

} // namespace virtual_network
