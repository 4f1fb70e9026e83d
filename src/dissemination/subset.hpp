// Which entries hear of an upstream, and which upstreams an entry uses.
//
// The upstream's side decides first: it announces itself to the few entries
// of its region that weigh most for it by rendezvous hashing, in at least two
// failure domains. So no upstream is left unseen, and when an entry leaves,
// only the upstreams that had chosen it choose one other. An entry that few
// upstreams have chosen, or none of some failure domain, adds the ones that
// weigh most for it. With few upstreams or few entries all use all.
#pragma once

#include "dissemination/member.hpp"

#include <cstddef>
#include <vector>

namespace bergamotusher::dissemination
{

/// How large subsets are.
struct subset_options
{
    /// Upstreams of one service that an entry should have on average.
    std::size_t wanted_upstreams = 48;
    /// Upstreams of one service that an entry has at least, if there are.
    std::size_t least_upstreams = 24;
    /// Entries that hear of an upstream at least, if there are.
    std::size_t least_entries = 3;
};

/// To how many of `entries` entries each of `upstreams` upstreams of one
/// service announces itself.
std::size_t announce_width(
    std::size_t upstreams,
    std::size_t entries,
    const subset_options& options = {});

/// The entries that `self` announces itself to, best first; `upstreams` is
/// how many of its service are in its region. Entries of other regions only
/// if its own has none.
std::vector<node_id> announced_to(
    const upstream_member& self,
    std::size_t upstreams,
    const std::vector<entry_member>& entries,
    const subset_options& options = {});

/// The upstreams of one service that `self` uses, out of `upstreams`, sorted
/// by id. Those of other regions only if its own has none. `entries` are all
/// entries, `self` among them.
std::vector<upstream_id> subset_for(
    const entry_member& self,
    const std::vector<entry_member>& entries,
    const std::vector<upstream_member>& upstreams,
    const subset_options& options = {});

} // namespace bergamotusher::dissemination
