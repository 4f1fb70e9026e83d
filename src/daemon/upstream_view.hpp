// Upstreams as seen by one entry: the directory, the learned estimates, and the
// choice of an upstream from both. Used only on the serving duty's thread.
#pragma once

#include "daemon/admin_duty.hpp"
#include "membership/directory.hpp"
#include "membership/directory_delta.hpp"
#include "routing/routing_state.hpp"

#include <bergamotusher/choice.hpp>
#include <bergamotusher/serving.hpp>

#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace bergamotusher
{

/// Directory and estimates of one entry.
struct upstream_view
{
    membership::directory directory;
    routing::routing_state routing;
    /// Latest choice of each upstream, with its request. Needed when the choice
    /// is dispatched.
    std::unordered_map<upstream_id, std::pair<choice_request, choice>>
        last_choices;
    /// Upstream of each attempt in flight.
    std::unordered_map<attempt_id, upstream_id> attempt_targets;
};

/// Inputs for the life cycle and events for the time line.
struct view_changes
{
    std::vector<serving_input> inputs;
    std::vector<event> events;
};

/// Processes a message from an upstream.
view_changes handle_message(
    upstream_view& view, const upstream_message& message, time_point now);

/// Merges a directory delta from another entry. If `answer` is set, it must be
/// sent back.
view_changes merge_delta(
    upstream_view& view,
    const membership::directory_delta& delta,
    const node_id& self,
    std::uint64_t incarnation,
    std::optional<membership::directory_delta>& answer,
    time_point now);

/// Marks an instance as leaving at `deadline` because the platform reclaims it;
/// if `instance` is empty, marks the whole failure domain.
view_changes apply_reclaim_notice(
    upstream_view& view,
    const upstream_id& instance,
    const failure_domain& domain,
    time_point deadline);

/// Marks upstreams whose lease has expired as lost, and updates the estimates.
view_changes expire_leases(upstream_view& view, time_point now);

/// Recomputes the subsets of upstreams that speed up choices, if the directory
/// has changed.
void refresh_subsets(upstream_view& view, const node_id& self);

/// Chooses an upstream, and stores the choice for `record_dispatch`.
choice_result choose_upstream(
    upstream_view& view, const choice_request& request, time_point now);

/// Update the estimates for a dispatch, an ended attempt or a cancelled
/// attempt.
void record_dispatch(upstream_view& view, const dispatch& sent, time_point now);
void record_observation(
    upstream_view& view, const attempt_observed& observed, time_point now);
void record_cancellation(
    upstream_view& view, const cancel_attempt& cancelled, time_point now);

/// Removes an attempt that has ended and so can no longer be cancelled.
void forget_attempt(upstream_view& view, const attempt_id& attempt);

/// Returns the estimated requests at the upstream divided by its slots; 0 if
/// the upstream is unknown.
double slot_utilisation(
    const upstream_view& view, const upstream& value, time_point now);

/// The JSON of `GET /v1/upstreams`.
std::string upstreams_json(const upstream_view& view, time_point now);

} // namespace bergamotusher
