// What this entry has learned of each upstream: load, speed, cache, health.
//
// Load reports are late, so they are corrected by what this entry itself has
// dispatched and seen finished since. Speeds are learned from answers, and a
// new upstream starts from what its instance class has shown.
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

/// How old a load report is taken to be when it arrives.
inline constexpr duration assumed_load_lag = 500ms;
/// A load report says nothing any more after this long.
inline constexpr duration load_lifetime = 5s;
/// An upstream that refused a request as full gets none for this long.
inline constexpr duration full_pause = 250ms;
/// A dispatch whose end was never seen counts no longer than this.
inline constexpr duration dispatch_lifetime = 10min;

/// A request that this entry sent and whose end it has not seen.
struct own_dispatch
{
    time_point sent;
    /// Wait expected from own earlier dispatches, in seconds.
    double own_wait = 0;
    /// Prompt tokens that the view held to be cached.
    double cached_tokens = 0;
};

/// One upstream, as seen from this entry.
struct upstream_estimate
{
    /// The start of the upstream that all of this is about.
    std::uint64_t incarnation = 0;
    /// Service and instance class: what it is compared with.
    std::string peer_group;
    std::uint32_t slots = 1;
    load_report load;
    time_point load_at;
    /// Oldest first.
    std::vector<own_dispatch> in_flight;
    /// Own dispatches and ends that the load report cannot include yet.
    std::deque<time_point> dispatched;
    std::deque<time_point> ended;
    /// It refused a request as full: no more until then.
    time_point full_until;
    /// Prompt tokens dispatched and not yet computed, at `backlog_at`.
    double backlog_tokens = 0;
    time_point backlog_at;
    speed_estimate speed;
    health_record health;
    prefix_view cache;
};

/// One upstream of a service, found without a look-up.
struct roster_row
{
    const membership::directory_entry* entry = nullptr;
    /// Null if nothing is known of it yet.
    const upstream_estimate* estimate = nullptr;
};

/// The upstreams of each service as pointers into one directory and one state,
/// for the speed of a choice. It holds while the directory's generation is
/// that of its making; a copy is empty, since it would point into the original.
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

/// All that routing has learned.
struct routing_state
{
    std::unordered_map<upstream_id, upstream_estimate> upstreams;
    /// By peer group: what a new upstream starts from.
    std::unordered_map<std::string, speed_estimate> classes;
    /// Upstreams used of a large service; see subset.hpp.
    std::unordered_map<service_name, std::vector<upstream_id>> subsets;
    /// Kept by `refresh_subsets`; choices without it are right but slower.
    roster members;
};

/// An upstream announced itself or changed; a new incarnation starts afresh.
/// To be called for `joined` and `changed` announcements and for each upstream
/// in `merge_result::changed`; nothing is learned of others.
void on_announced(routing_state& state, const upstream& value);

/// A request was sent to the upstream of `made`.
void on_dispatch(
    routing_state& state,
    const choice_request& request,
    const choice& made,
    time_point now);

/// An attempt ended; counts its end and learns from what it showed.
void on_observed(
    routing_state& state, const attempt_observed& seen, time_point now);

/// An attempt ended that is not observed, such as a cancelled one.
void on_ended(routing_state& state, const upstream_id& id, time_point now);

/// Takes a load report; one that is late is ignored.
void on_load(routing_state& state, const load_report& load, time_point now);

/// Takes a message of cache events.
void on_cache_events(routing_state& state, const cache_events& events);

/// Counts a message from the upstream that could not be read.
void on_bad_input(routing_state& state, const upstream_id& id, time_point now);

/// The upstream is gone; all that was learned of it is forgotten.
void on_lost(routing_state& state, const upstream_id& id);

/// Requests that the upstream runs or queues now, as far as can be told.
double requests_at(const upstream_estimate& estimate, time_point now);

/// Prompt tokens dispatched and not yet computed now.
double backlog_at(const upstream_estimate& estimate, time_point now);

} // namespace bergamotusher::routing
