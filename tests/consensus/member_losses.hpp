// Helpers for tests that lose, replace and restart members of a cluster in
// which every member votes, on the virtual network.
#pragma once

#include "consensus/virtual_network.hpp"

#include <vector>

namespace virtual_network
{

/// Time that a successor, or a member with a new disk, has to catch up before
/// the next loss.
inline constexpr duration catch_up_time = 4s;
/// Time from a loss to the start of the successor.
inline constexpr duration successor_delay = 1300ms;
/// Time without a loss after which the cluster must work again.
inline constexpr duration recovery_time = 12s;
/// Members that may be lost, with their disks, at the same time.
inline constexpr std::size_t max_lost = 1;

/// Starts `count` members whose settings name the first three of them, and
/// waits until all vote.
network start_members(std::size_t count, std::uint64_t seed);

const membership& current_members(const network& net);

/// The number of voters that may be lost now without losing the quorum.
int spare_voters(const network& net);

std::vector<std::size_t> running_nodes(const network& net);

/// Which member is lost next.
enum class target
{
    leader,
    follower,
    lowest_id,
    highest_id
};

std::size_t choose(const network& net, target which);

/// Three running members, without the leader if `without_leader` is set.
std::vector<node_id> seeds_now(const network& net, bool without_leader = false);

void remove_for_good(network& net, std::size_t index);
void restart(network& net, std::size_t index, duration down);
void restart_all(network& net, duration down);

/// Checks that a command is committed.
void commit_something(network& net);

} // namespace virtual_network
