// A version move as kept in the replicated state, with everything that a new
// leader needs to continue it.
#pragma once

#include <bergamotusher/enum_names.hpp>
#include <bergamotusher/evidence.hpp>
#include <bergamotusher/ids.hpp>
#include <bergamotusher/time.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace bergamotusher
{

/// Phase of a move; the last two are final.
enum class move_phase
{
    /// The version is being loaded on its first upstreams.
    load,
    /// A small, limited share of the traffic goes to the version.
    trial,
    /// The share is increased stage by stage.
    widen,
    /// The version gets nearly all new requests; the old version keeps a small
    /// share for comparison.
    soak,
    completed,
    taken_back
};

/// Quantity that a sequential test compares.
enum class test_metric
{
    failures,
    crashes,
    first_token,
    token_gap,
    answer_length
};

/// State of one sequential test. A score is the log-likelihood ratio of one
/// alternative against "no worse than the old version", floored at zero.
struct test_stream
{
    test_metric metric = test_metric::failures;
    /// Empty for all routes together.
    std::string route;
    load_band band = load_band::low;
    /// Empty for all upstreams of the version together.
    upstream_id target;
    std::vector<double> scores;
    std::uint64_t observed = 0;

    bool operator==(const test_stream&) const = default;
};

/// An order to load a version, until the upstream is seen to run it.
struct load_order
{
    upstream_id target;
    version_name version;
    wall_time sent;
    std::uint32_t tries = 0;
    /// Earliest time of a retry.
    wall_time retry_at;

    bool operator==(const load_order&) const = default;
};

/// One move of a service's traffic from version `from` to version `to`.
struct version_move
{
    move_id id;
    service_name service;
    /// Empty until the first step, if no earlier move determined it.
    version_name from;
    version_name to;
    wall_time started;
    /// The move ends by then.
    wall_time deadline;
    /// Increases by one with each committed step; a step that does not directly
    /// follow the committed one is rejected.
    std::uint64_t sequence = 0;
    move_phase phase = move_phase::load;
    wall_time phase_started;
    /// Number of the stage in the `widen` phase.
    std::uint32_t stage = 0;
    /// The version's share of the service's new requests, 0 to 1.
    double share = 0;
    /// Upper limit of `share` before there is evidence, 0 to 1.
    double trial_share = 0.05;
    /// Number of upstreams that the service had at the start; the version needs
    /// a fraction of it.
    std::uint32_t base = 0;
    /// Upstreams that carry the share; empty for all of the version.
    std::vector<upstream_id> trial;
    /// Upstreams of the old version that are brought to full load, as a
    /// baseline at the same load, and their share, 0 to 1.
    std::vector<upstream_id> control;
    double control_share = 0;
    /// Upstreams that were slow while no other one ran the version to confirm
    /// it; they carry none of the share.
    std::vector<upstream_id> suspects;
    std::vector<load_order> orders;
    std::vector<test_stream> tests;
    /// Requests that the version answered since the start of the stage.
    std::uint64_t stage_observed = 0;
    /// Reason for the result, for the operator.
    std::string reason;
    wall_time ended;

    bool operator==(const version_move&) const = default;
};

/// Whether `move` is in one of its two final phases.
constexpr bool has_ended(const version_move& move)
{
    return move.phase == move_phase::completed ||
           move.phase == move_phase::taken_back;
}

constexpr auto enum_names(move_phase)
{
    using p = move_phase;
    using row = enum_name<p>;
    return std::array{
        row{p::load, "load"},
        row{p::trial, "trial"},
        row{p::widen, "widen"},
        row{p::soak, "soak"},
        row{p::completed, "completed"},
        row{p::taken_back, "taken_back"}};
}

constexpr auto enum_names(test_metric)
{
    using m = test_metric;
    using row = enum_name<m>;
    return std::array{
        row{m::failures, "failures"},
        row{m::crashes, "crashes"},
        row{m::first_token, "first_token"},
        row{m::token_gap, "token_gap"},
        row{m::answer_length, "answer_length"}};
}

} // namespace bergamotusher
