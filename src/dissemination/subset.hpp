// Selects the entries that an upstream announces itself to, and the upstreams
// that an entry uses.
//
// An upstream announces itself to a few entries of its region: those with the
// greatest rendezvous weights, in at least two failure domains. So every
// upstream is used by some entry, and when an entry leaves, only the upstreams
// that had chosen it choose another one. An entry that was chosen by too few
// upstreams, in total or of some failure domain, adds the upstreams with the
// greatest weights for itself. With few upstreams or few entries, every entry
// uses every upstream.
#pragma once

#include "dissemination/member.hpp"

#include <cstddef>
#include <vector>

namespace bergamotusher::dissemination
{

/// Sizes of the subsets.
struct subset_options
{
    /// Average number of upstreams of one service that an entry should use.
    std::size_t target_upstreams = 48;
    /// Minimum number of upstreams of one service that an entry uses, if there
    /// are that many.
    std::size_t min_upstreams = 24;
    /// Minimum number of entries that an upstream announces itself to, if there
    /// are that many.
    std::size_t min_entries = 3;
};

/// The number of entries that an upstream announces itself to, if its service
/// has `upstreams` upstreams and there are `entries` entries.
std::size_t announce_width(
    std::size_t upstreams,
    std::size_t entries,
    const subset_options& options = {});

/// The entries that `self` announces itself to, best first. `upstreams` is the
/// number of upstreams of its service in its region. Entries of other regions
/// are chosen only if its own region has none.
std::vector<node_id> choose_announcement_targets(
    const upstream_member& self,
    std::size_t upstreams,
    const std::vector<entry_member>& entries,
    const subset_options& options = {});

/// The upstreams of one service that `self` uses, out of `upstreams`, sorted by
/// id. Upstreams of other regions are used only if its own region has none.
/// `entries` are all entries, including `self`.
std::vector<upstream_id> subset_for(
    const entry_member& self,
    const std::vector<entry_member>& entries,
    const std::vector<upstream_member>& upstreams,
    const subset_options& options = {});

} // namespace bergamotusher::dissemination
