// Version moves: decisions of the control leader for one move, step by step.
//
// The leader keeps a working copy of each move in the replicated state, and
// calls `step` about once per second with the evidence since the last call.
// `step` changes the copy. If the change must be durable it requests a commit
// with `propose_advance`, and makes no further decision until
// `committed_sequence` has caught up. After a rejected or lost proposal, or on
// a new leader, the copy is taken from the replicated state again, which holds
// everything needed to continue.
#pragma once

#include "rollout/sequential_test.hpp"

#include <bergamotusher/configuration.hpp>
#include <bergamotusher/evidence.hpp>
#include <bergamotusher/time.hpp>
#include <bergamotusher/version_move.hpp>

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace bergamotusher::rollout
{

/// Parameters of version moves.
struct move_policy
{
    test_policy tests;
    /// Requests that the version must have answered in a stage.
    std::uint64_t min_stage_requests = 40;
    /// Minimum requests of the version on each route with at least
    /// `min_route_share` of the traffic.
    double min_route_requests = 5;
    /// Routes with a smaller share of the traffic need no requests.
    double min_route_share = 0.02;
    /// Requests that each trial upstream must have answered under full load.
    std::uint64_t min_loaded_requests = 80;
    duration min_stage_time = 20s;
    /// Longest duration of a stage, as a fraction of the move's duration. After
    /// it a quarter of the requests is enough.
    double max_stage_part = 0.12;
    /// Target utilisation of the trial upstreams under full load, 0 to 1.
    double trial_utilisation = 0.9;
    /// Largest share while the version runs on its trial upstreams only.
    double max_trial_load_share = 0.6;
    /// Shares of the stages after the one that brings the trial upstreams to
    /// full load.
    std::vector<double> widened_shares = {0.3, 0.6};
    /// The new version's share during the soak; the old version keeps the rest
    /// as a baseline.
    double soak_share = 0.95;
    /// Fraction of the move's duration for the soak, and its bounds. If the
    /// move is short, the lower bound is reduced to half of that fraction.
    double soak_time_part = 0.35;
    duration min_soak = 60s;
    duration max_soak = 15min;
    /// The move ends at the latest this long before its deadline.
    duration end_margin = 10s;
    /// Fraction of the upstreams that keep the old version until the end.
    double old_version_reserve = 0.1;
    /// Limits the concurrent loads, to protect the weight store.
    std::size_t max_concurrent_loads = 4;
    /// Minimum time between two load orders.
    duration order_interval = 1s;
    /// An order is considered lost if the upstream does not run the version by
    /// then.
    duration load_timeout = 120s;
    /// Delay after a refusal; doubles with each try up to the maximum.
    duration min_retry_delay = 5s;
    duration max_retry_delay = 60s;
    /// Crashes are ignored for this long after most of a failure domain's
    /// upstreams were lost at once.
    duration crash_exclusion_time = 5s;
    /// Latencies are ignored while a fifth of the upstreams is missing, but at
    /// most for this long.
    duration max_shortage_time = 150s;
    /// Maximum number of upstreams that may be excluded from the trial as slow.
    std::size_t max_suspects = 2;
    /// Longest time between commits while new evidence arrives.
    duration checkpoint_interval = 10s;
};

/// An upstream of the service, as listed in the directory.
struct upstream_view
{
    upstream_id id;
    version_name version;
    failure_domain domain;
    /// Whether it may be given new work.
    bool serving = true;
};

/// Input to one step.
struct evidence_view
{
    /// Samples of the service from all entries since the last step.
    std::vector<evidence_sample> samples;
    /// All upstreams of the service.
    std::vector<upstream_view> upstreams;
    /// Upstreams that refused an order since the last step.
    std::vector<upstream_id> refused;
    /// Running requests divided by slots, over all upstreams of the service.
    double utilisation = 0.5;
    /// Number of reporting entries, and of those that stopped the version by
    /// themselves.
    std::size_t entries = 0;
    std::size_t entries_stopped = 0;
    /// The move's sequence number in the replicated state.
    std::uint64_t committed_sequence = 0;
};

/// A leader's volatile state of a move; a new leader starts with an empty one.
struct volatile_move_state
{
    comparison known;
    /// Requests by route since the stage began.
    std::map<std::string, double> old_routes;
    std::map<std::string, double> new_routes;
    /// Serving upstreams by failure domain at the last step.
    std::map<failure_domain, std::size_t> serving_by_domain;
    /// Highest number of serving upstreams, and the time since which at least a
    /// fifth of them is missing.
    std::size_t max_serving = 0;
    std::optional<time_point> shortage_since;
    /// Crashes are ignored until then, since a failure domain was lost.
    time_point crashes_excluded_until;
    time_point last_commit;
    bool unsaved_evidence = false;
    /// Load orders after the end of the move, for the version that stays.
    std::vector<load_order> orders;
};

/// Action: commit `next`. If this is rejected or its outcome is unknown, the
/// caller starts again from the replicated state.
struct propose_advance
{
    version_move next;
};

/// Action: order an upstream to load a version, with the leader's fencing
/// number. To be sent only after the advance proposed in the same step is
/// committed.
struct order_load
{
    move_id move;
    upstream_id target;
    version_name version;
};

using move_action = std::variant<propose_advance, order_load>;

/// Advances `move` by one step and returns the actions to carry out. `now` is
/// the local clock; `wall` is the leader's wall time, against which deadlines
/// are checked.
std::vector<move_action> step(
    version_move& move,
    volatile_move_state& memory,
    const evidence_view& view,
    const move_policy& policy,
    time_point now,
    wall_time wall);

} // namespace bergamotusher::rollout
