// What later version moves of a service must know of earlier ones: the version
// in force, and the versions that were tried and not accepted.
#pragma once

#include "site/site_state.hpp"

namespace bergamotusher::site
{

/// Rejected versions that are kept for each service. The oldest is forgotten
/// first; its upstreams have been stopped many moves ago.
inline constexpr std::size_t max_rejected_versions = 32;

/// The move to `target` that replaces `before`, whose verdict joins the
/// history. A target that had not been accepted by then is rejected, since it
/// may be bad; the new target's own rejection is lifted. `before.number` is 0
/// if it is the first move of the service.
version_move next_move(
    const version_move& before,
    const service_name& service,
    const version_name& target,
    std::int64_t now_ms,
    std::int64_t duration_ms);

/// Whether the version was tried by an earlier move and not accepted.
bool is_rejected(const version_move& move, const version_name& version);

/// Whether the version was in force when the move was ordered.
bool is_in_force(const version_move& move, const version_name& version);

} // namespace bergamotusher::site
