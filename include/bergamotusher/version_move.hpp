// A version move as the replicated state holds it: everything that a new
// leader needs to go on with it.
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

/// How far a move has come; the last two are ends.
enum class move_phase
{
    /// The version is being loaded on its first upstreams.
    load,
    /// A small capped share goes to it.
    trial,
    /// The share grows, stage by stage.
    widen,
    /// It takes all new requests; the old version is kept for a while.
    soak,
    completed,
    taken_back
};

/// What one sequential test looks at.
enum class test_metric
{
    failures,
    crashes,
    first_token,
    token_gap,
    answer_length
};

/// The state of one sequential test. A score is a log-likelihood ratio of one
/// alternative against "no worse than the old version", floored at zero.
struct test_stream
{
    test_metric metric = test_metric::failures;
    /// Empty: all routes together.
    std::string route;
    load_band band = load_band::low;
    /// Empty: all upstreams of the version together.
    upstream_id target;
    std::vector<double> scores;
    std::uint64_t observed = 0;

    bool operator==(const test_stream&) const = default;
};

/// An order to load a version that is not yet seen to be carried out.
struct load_order
{
    upstream_id target;
    version_name version;
    wall_time sent;
    std::uint32_t tries = 0;
    /// Not sent again before this.
    wall_time retry_at;

    bool operator==(const load_order&) const = default;
};

/// One move of a service's traffic from version `from` to version `to`.
struct version_move
{
    move_id id;
    service_name service;
    /// Empty until the first step if no earlier move settled it.
    version_name from;
    version_name to;
    wall_time started;
    /// It has an end by then.
    wall_time deadline;
    /// Grows by one with each committed step; a step that does not follow
    /// the committed one is refused.
    std::uint64_t sequence = 0;
    move_phase phase = move_phase::load;
    wall_time phase_started;
    /// Counts the widenings.
    std::uint32_t stage = 0;
    /// The version's share of the service's new requests, 0 to 1.
    double share = 0;
    /// The cap of `share` before evidence, 0 to 1.
    double trial_share = 0.05;
    /// Upstreams that the service had at the start; the new version needs
    /// a part of as many.
    std::uint32_t base = 0;
    /// Upstreams that carry the share; empty: all of the version.
    std::vector<upstream_id> trial;
    /// Upstreams of the old version that are brought to full load, to
    /// compare under the same load, and their share, 0 to 1.
    std::vector<upstream_id> control;
    double control_share = 0;
    /// Upstreams that were slow while the version had no other one to
    /// confirm it; they carry none of the share.
    std::vector<upstream_id> suspects;
    std::vector<load_order> orders;
    std::vector<test_stream> tests;
    /// Requests that the version answered since the stage began.
    std::uint64_t stage_observed = 0;
    /// Why it ended as it did, for the operator.
    std::string reason;
    wall_time ended;

    bool operator==(const version_move&) const = default;
};

/// Whether `move` has come to one of its two ends.
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
