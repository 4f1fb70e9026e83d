// Version moves: what the control leader does for one move, step by step.
//
// The leader keeps a working copy of each move that the replicated state
// holds, and calls `step` about once a second with the evidence since the
// last call. `step` changes the copy; when the change must last it asks for it
// to be committed with `propose_advance`, and decides nothing further until
// `committed_sequence` has caught up. After a refused or lost proposal, or as
// a new leader, the copy is taken from the replicated state anew: everything
// needed to go on is in it.
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

/// How moves are run.
struct move_policy
{
    test_policy tests;
    /// Requests that the version must have answered in a stage.
    std::uint64_t stage_requests = 40;
    /// Requests of each route that has a part in the traffic.
    double route_requests = 5;
    /// Routes with less than this part of the traffic need none.
    double route_part = 0.02;
    /// Requests of each trial upstream under full load.
    std::uint64_t loaded_requests = 80;
    duration stage_time = 20s;
    /// Longest part of a move's time for one stage, 0 to 1; after it a
    /// quarter of the requests will do.
    double longest_stage = 0.12;
    /// The utilisation that trial upstreams are brought to, 0 to 1.
    double full_load = 0.9;
    /// The largest share while the version has only its trial upstreams.
    double largest_loaded_share = 0.6;
    /// Shares of the stages after that.
    std::vector<double> widened_shares = {0.3, 0.6};
    /// The version's share in the soak; the old version keeps the rest, to
    /// compare.
    double soak_share = 0.95;
    /// Part of a move's time for the soak, and its bounds. The lower bound
    /// gives way to half of that part where the time is short.
    double soak_part = 0.35;
    duration shortest_soak = 60s;
    duration longest_soak = 15min;
    /// The move has its end this long before the deadline.
    duration end_margin = 10s;
    /// Part of the upstreams that stay with the old version to the end.
    double reserve = 0.1;
    /// Loads at a time, for the weight store's sake.
    std::size_t loads_at_once = 4;
    /// Between two orders.
    duration order_gap = 1s;
    /// An order whose version did not show up by then is lost.
    duration load_time = 120s;
    /// After a refusal, doubled with each try.
    duration shortest_retry = 5s;
    duration longest_retry = 60s;
    /// After most of a domain's upstreams went at once, crashes are no
    /// evidence for this long.
    duration disturbed_time = 5s;
    /// While a fifth of the upstreams is missing, latencies are no evidence;
    /// at most for this long.
    duration longest_shortage = 150s;
    /// Upstreams that may be taken off the trial as slow.
    std::size_t most_suspects = 2;
    /// Longest time between commits while there is evidence.
    duration checkpoint_time = 10s;
};

/// An upstream of the service, as the directory shows it.
struct upstream_view
{
    upstream_id id;
    version_name version;
    failure_domain domain;
    /// It may be given new work.
    bool serving = true;
};

/// What the leader knows at one step.
struct evidence_view
{
    /// Samples of the service since the last step, of all entries.
    std::vector<evidence_sample> samples;
    /// All upstreams of the service.
    std::vector<upstream_view> upstreams;
    /// Upstreams that refused an order since the last step.
    std::vector<upstream_id> refused;
    /// Running requests over slots, all upstreams of the service.
    double utilisation = 0.5;
    /// Entries that report, and those that stopped the version themselves.
    std::size_t entries = 0;
    std::size_t entries_stopped = 0;
    /// The move's sequence in the replicated state.
    std::uint64_t committed_sequence = 0;
};

/// What a leader knows besides the replicated state; a new leader starts
/// with an empty one.
struct move_memory
{
    comparison known;
    /// Requests by route since the stage began.
    std::map<std::string, double> old_routes;
    std::map<std::string, double> new_routes;
    /// Serving upstreams by failure domain at the last step.
    std::map<failure_domain, std::size_t> serving;
    /// The most upstreams that served, and since when a fifth of them is
    /// missing.
    std::size_t most_serving = 0;
    std::optional<time_point> short_since;
    /// Until then crashes may be those of a lost domain.
    time_point disturbed_until;
    time_point committed;
    bool unsaved_evidence = false;
    /// Orders after the end, to load the winning version.
    std::vector<load_order> orders;
};

/// Commit `next`; if that is refused or its outcome unknown, start again from
/// the replicated state.
struct propose_advance
{
    version_move next;
};

/// Order an upstream to load a version, with the leader's fencing number.
/// Not before the advance proposed in the same step is committed.
struct order_load
{
    move_id move;
    upstream_id target;
    version_name version;
};

using move_action = std::variant<propose_advance, order_load>;

/// Takes `move` on. `now` is the local clock, `wall` the leader's wall time,
/// which deadlines are counted by.
std::vector<move_action> step(
    version_move& move,
    move_memory& memory,
    const evidence_view& view,
    const move_policy& policy,
    time_point now,
    wall_time wall);

} // namespace bergamotusher::rollout
