// Per-upstream estimates kept by one entry: load, speed, cached prefixes and
// health.
//
// Load reports arrive late, so they are corrected by the requests that this
// entry has dispatched, or seen end, since the report. Speeds are learned from
// answers; a new upstream starts from the estimate of its peer group (same
// service and instance class).
#pragma once

#include "routing/health.hpp"
#include "routing/prefix.hpp"
#include "routing/speed.hpp"

#include <bergamotusher/choice.hpp>
#include <bergamotusher/ids.hpp>
#include <bergamotusher/serving.hpp>
#include <bergamotusher/time.hpp>
#include <bergamotusher/upstream.hpp>

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace bergamotusher::membership
{
struct directory;
struct directory_entry;
} // namespace bergamotusher::membership

namespace bergamotusher::routing
{

/// Assumed age of a load report on arrival.
inline constexpr duration assumed_load_report_age = 500ms;
/// A load report older than this is ignored.
inline constexpr duration load_report_lifetime = 5s;
/// An upstream that refused a request because it was full is treated as full
/// for this long.
inline constexpr duration full_upstream_backoff = 250ms;
/// A dispatch whose end was not observed is dropped from the count after this
/// time.
inline constexpr duration dispatch_lifetime = 10min;

/// A request that this entry sent and whose end it has not observed.
struct pending_dispatch
{
    time_point sent;
    /// Expected wait, in seconds, behind the prompts that this entry had
    /// already sent to the upstream.
    double backlog_wait_seconds = 0;
    /// Prompt tokens that `prefix_view` predicted to be cached.
    double cached_tokens = 0;
};

/// Everything that this entry has estimated of one upstream.
struct upstream_estimate
{
    /// Incarnation of the upstream that the estimates belong to; a restart
    /// resets them.
    std::uint64_t incarnation = 0;
    /// Service and instance class. Upstreams of one peer group are compared
    /// with each other.
    std::string peer_group;
    std::uint32_t slots = 1;
    load_report load;
    time_point load_received_at;
    /// Requests sent and not known to have ended, oldest first.
    std::vector<pending_dispatch> in_flight;
    /// Times of this entry's dispatches and observed ends that the latest load
    /// report cannot include yet.
    std::deque<time_point> dispatch_times;
    std::deque<time_point> end_times;
    /// Until this time the upstream is treated as full, since it refused a
    /// request.
    time_point full_backoff_until;
    /// Prompt tokens dispatched and not yet computed, as of
    /// `backlog_updated_at`.
    double backlog_tokens = 0;
    time_point backlog_updated_at;
    speed_estimate speed;
    health_record health;
    prefix_view cache;
};

/// One upstream of a service, with pointers that save the look-ups by id.
struct roster_row
{
    const membership::directory_entry* entry = nullptr;
    /// Null if there is no estimate for it yet.
    const upstream_estimate* estimate = nullptr;
};

/// An index that speeds up `choose_upstream`: for each service, pointers into
/// one directory and one `routing_state`. Valid while `generation` equals that
/// of the directory. A copy is empty, since its pointers would refer to the
/// original state.
struct roster
{
    const membership::directory* owner = nullptr;
    std::uint64_t generation = 0;
    std::unordered_map<service_name, std::vector<roster_row>> services;

    roster() = default;
    roster(const roster&) {}
    roster& operator=(const roster& other)
    {
        if (this == &other)
            return *this;
        owner = nullptr;
        services.clear();
        return *this;
    }
    roster(roster&&) = default;
    roster& operator=(roster&&) = default;
    ~roster() = default;
};

/// All routing estimates of one entry.
struct routing_state
{
    std::unordered_map<upstream_id, upstream_estimate> upstreams;
    /// By peer group: the combined speed estimate, from which a new upstream
    /// starts.
    std::unordered_map<std::string, speed_estimate> peer_group_speeds;
    /// For each service larger than `subset_size`, the upstreams that this
    /// entry uses; see subset.hpp.
    std::unordered_map<service_name, std::vector<upstream_id>> subsets;
    /// Rebuilt by `refresh_subsets`. While it is stale or empty,
    /// `choose_upstream` falls back to look-ups by id, which give the same
    /// choice more slowly.
    roster members;
};

/// Records an announcement; a new incarnation resets the estimates. Call this
/// for `joined` and `changed` announcements and for each upstream in
/// `merge_result::changed`: observations of an upstream that was never passed
/// to it are ignored.
void on_announced(routing_state& state, const upstream& value);

/// Records that a request was sent to the upstream of `made`.
void on_dispatch(
    routing_state& state,
    const choice_request& request,
    const choice& made,
    time_point now);

/// Records the end of an attempt and updates speed, health and cache estimates
/// from it.
void on_observed(
    routing_state& state, const attempt_observed& seen, time_point now);

/// Records the end of an attempt that yields no observation, such as a
/// cancelled one.
void on_ended(routing_state& state, const upstream_id& id, time_point now);

/// Records a load report. Ignored if its sequence number is not newer than that
/// of the latest one.
void on_load(routing_state& state, const load_report& load, time_point now);

/// Applies a message of cache events to the upstream's `prefix_view`.
void on_cache_events(routing_state& state, const cache_events& events);

/// Records a message from the upstream that could not be parsed; counts as a
/// failure of the upstream.
void on_bad_input(routing_state& state, const upstream_id& id, time_point now);

/// Drops all estimates of an upstream that is gone.
void on_lost(routing_state& state, const upstream_id& id);

/// Estimated number of requests that the upstream runs or queues now.
double estimated_requests(const upstream_estimate& estimate, time_point now);

/// Estimated prompt tokens that this entry dispatched and that are not yet
/// computed.
double
estimated_backlog_tokens(const upstream_estimate& estimate, time_point now);

} // namespace bergamotusher::routing
