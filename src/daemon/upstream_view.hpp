// What one entry knows of the upstreams: the directory, the learned estimates,
// and the choice by both. Belongs to the serving duty.
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
    /// The newest choice for each upstream, until it is dispatched.
    std::unordered_map<upstream_id, std::pair<choice_request, choice>> chosen;
    /// Where each attempt in flight went.
    std::unordered_map<attempt_id, upstream_id> dispatched;
};

/// What the life cycle and the time line are to be told.
struct view_changes
{
    std::vector<serving_input> inputs;
    std::vector<event> events;
};

/// Takes what an upstream said to this entry.
view_changes
take(upstream_view& view, const upstream_message& message, time_point now);

/// Takes another entry's delta; `answer` is to be sent back if not empty.
view_changes take_delta(
    upstream_view& view,
    const membership::directory_delta& delta,
    const node_id& self,
    std::uint64_t incarnation,
    std::optional<membership::directory_delta>& answer,
    time_point now);

/// The platform reclaims an instance, or a whole failure domain if
/// `instance` is empty, at `deadline`.
view_changes take_notice(
    upstream_view& view,
    const upstream_id& instance,
    const failure_domain& domain,
    time_point deadline);

/// Finds upstreams whose lease has lapsed.
view_changes expire(upstream_view& view, time_point now);

/// Renews what choices are made quick by, if upstreams came or went.
void refresh(upstream_view& view, const node_id& self);

/// Chooses, and remembers the choice until it is dispatched.
choice_result
choose(upstream_view& view, const choice_request& request, time_point now);

/// Counts a dispatch, the end of an attempt, or a cancelled attempt.
void note(upstream_view& view, const dispatch& sent, time_point now);
void note(upstream_view& view, const attempt_observed& seen, time_point now);
void note(upstream_view& view, const cancel_attempt& gone, time_point now);

/// An attempt has ended; it cannot be cancelled any more.
void forget(upstream_view& view, const attempt_id& attempt);

/// How loaded the upstream is now, as requests that it has over its slots.
double
utilisation(const upstream_view& view, const upstream& value, time_point now);

/// The JSON of `GET /v1/upstreams`.
std::string upstreams_json(const upstream_view& view, time_point now);

} // namespace bergamotusher
