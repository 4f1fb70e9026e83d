// The simulation in which move_bench runs version moves: upstreams of two
// versions with their load, latency and failures, and the faults of a version.
#pragma once

#include "rollout/local_rule.hpp"
#include "rollout/version_moves.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace bergamotusher::move_model
{

/// The behaviour of the new version; for the good kinds, a disturbance that it
/// does not cause.
enum class version_kind
{
    good,
    good_reclaim_wave,
    good_noisy_neighbour,
    fails_at_once,
    fails_later,
    slow_at_once,
    slow_under_load,
    fails_on_one_route,
    crashes_on_some,
    leaks_after_full
};

constexpr auto enum_names(version_kind)
{
    using row = enum_name<version_kind>;
    return std::array{
        row{version_kind::good, "good"},
        row{version_kind::good_reclaim_wave, "good_reclaim_wave"},
        row{version_kind::good_noisy_neighbour, "good_noisy_neighbour"},
        row{version_kind::fails_at_once, "fails_at_once"},
        row{version_kind::fails_later, "fails_later"},
        row{version_kind::slow_at_once, "slow_at_once"},
        row{version_kind::slow_under_load, "slow_under_load"},
        row{version_kind::fails_on_one_route, "fails_on_one_route"},
        row{version_kind::crashes_on_some, "crashes_on_some"},
        row{version_kind::leaks_after_full, "leaks_after_full"}};
}

/// The size and speed of one service.
struct service_model
{
    const char* name;
    int upstreams;
    /// Requests per second that one upstream can serve.
    double capacity;
    /// Requests per second of all clients.
    double rate;
    double first_token_ms;
    double token_gap_ms;
};

inline constexpr service_model services[] = {
    {"binders-llm", 20, 2, 24, 400, 30}, {"order-desk", 3, 4, 6.6, 80, 0}};
inline constexpr int run_seconds = 1800;
inline constexpr int entry_count = 4;
inline constexpr int reclaim_seconds = 120;
inline constexpr int load_seconds = 60;
/// The time in which a leak doubles the latencies.
inline constexpr int leak_seconds = 120;
inline constexpr int recovery_seconds = 20;
inline constexpr int baseline_trial_seconds = 600;

struct simulated_upstream
{
    rollout::upstream_view view;
    int recovers_at = 0;
    int loaded_at = -1;
    version_name loading;
    /// Requests per second, exponentially smoothed.
    double request_rate = 0;
    /// Factor on the latencies.
    double slowness = 1;
    int requests_this_second = 0;
};

/// The result of one run.
struct run_result
{
    bool completed = false;
    bool taken_back = false;
    int ended_at = run_seconds;
    /// Requests that ran on the new version while its fault could show.
    double exposed_requests = 0;
    std::string reason;
};

struct simulation
{
    version_kind kind = version_kind::good;
    service_model service{};
    bool baseline = false;
    std::mt19937_64 random;
    std::vector<simulated_upstream> upstreams;
    version_move move;
    /// The leader's copy of the move, before it is committed.
    version_move leader_move;
    rollout::volatile_move_state memory;
    rollout::local_evidence local[entry_count];
    /// The versions that each entry has stopped using by its local rule.
    std::vector<version_name> stopped_versions[entry_count];
    double fault_strength = 0;
    int fault_delay_seconds = 0;
    int reclaim_wave_at = 0;
    /// The time from which the new version gets more than 90% of the traffic;
    /// -1 before.
    int full_share_at = -1;
    /// The time of the first request to the new version; -1 before.
    int first_request_at = -1;
    run_result result;
    /// For the baseline: requests, failures and sums of first-token latencies
    /// of the old (0) and the new version (1).
    double requests[2] = {}, failures[2] = {}, latency_sum[2] = {};

    double uniform(double from, double to)
    {
        return std::uniform_real_distribution<double>(from, to)(random);
    }

    bool chance(double probability)
    {
        return uniform(0, 1) < probability;
    }
};

inline void add_upstreams(simulation& sim, const char* version, int count)
{
    for (int i = 0; i < count; ++i)
    {
        simulated_upstream added;
        added.view.id.value = version + std::to_string(i);
        added.view.version.value = version;
        added.view.domain.value = std::to_string(i % 3);
        sim.upstreams.push_back(added);
    }
}

/// Makes one upstream slow: in half of the runs the one that a trial uses
/// first, otherwise a random one; at the larger service a second, random one.
inline void add_noisy_neighbours(simulation& sim)
{
    const std::size_t all = sim.upstreams.size();
    const std::size_t first =
        all - static_cast<std::size_t>(sim.service.upstreams);
    if (sim.chance(0.5))
        sim.upstreams[first].slowness = sim.uniform(1.5, 3);
    else
        sim.upstreams[sim.random() % all].slowness = sim.uniform(1.5, 3);
    if (sim.service.upstreams > 3)
        sim.upstreams[sim.random() % all].slowness = sim.uniform(1.5, 3);
}

inline simulation make_simulation(
    version_kind kind,
    const service_model& service,
    bool baseline,
    std::uint64_t seed)
{
    simulation sim;
    sim.kind = kind;
    sim.service = service;
    sim.baseline = baseline;
    sim.random.seed(seed);
    add_upstreams(sim, "v1", service.upstreams);
    if (seed % 2 == 0 || baseline)
        add_upstreams(sim, "v2", service.upstreams);
    const bool is_rare_crash = kind == version_kind::crashes_on_some;
    const bool slow = kind == version_kind::slow_at_once ||
                      kind == version_kind::slow_under_load;
    sim.fault_strength = slow            ? sim.uniform(1.5, 3)
                         : is_rare_crash ? sim.uniform(0.02, 0.1)
                                         : sim.uniform(0.2, 1);
    sim.fault_delay_seconds = static_cast<int>(sim.uniform(30, 600));
    sim.reclaim_wave_at = static_cast<int>(sim.uniform(30, 900));
    if (kind == version_kind::good_noisy_neighbour)
        add_noisy_neighbours(sim);
    sim.move.id.value = "m";
    sim.move.from.value = "v1";
    sim.move.to.value = "v2";
    sim.move.deadline.milliseconds = run_seconds * 1000LL;
    sim.leader_move = sim.move;
    return sim;
}

inline bool has_new_version(const simulated_upstream& upstream_model)
{
    return upstream_model.view.version.value == "v2";
}

/// Returns the time from which the fault of the version can show; negative if
/// it cannot yet.
inline int fault_visible_since(const simulation& sim)
{
    if (sim.kind == version_kind::fails_later)
        return sim.first_request_at < 0
                   ? -1
                   : sim.first_request_at + sim.fault_delay_seconds;
    // A leak counts as a fault from 1.5 times the latency on, the smallest
    // factor of the slow kinds.
    if (sim.kind == version_kind::leaks_after_full)
        return sim.full_share_at < 0 ? -1
                                     : sim.full_share_at + leak_seconds / 2;
    return 0;
}

inline double failure_rate(
    const simulation& sim,
    const simulated_upstream& upstream_model,
    std::size_t route,
    int now)
{
    double rate = 0.003;
    if (!has_new_version(upstream_model))
        return rate;
    const int since = fault_visible_since(sim);
    if (sim.kind == version_kind::fails_at_once ||
        (sim.kind == version_kind::fails_later && since >= 0 && now >= since) ||
        (sim.kind == version_kind::fails_on_one_route && route == 1))
        rate += sim.fault_strength;
    if (sim.kind == version_kind::leaks_after_full && since >= 0)
        rate += std::max(0, now - since - leak_seconds) / 600.0;
    return rate;
}

inline double slowness(
    const simulation& sim,
    const simulated_upstream& upstream_model,
    int now,
    double load)
{
    const double excess_load = std::max(0.0, load - 0.5);
    double factor =
        upstream_model.slowness * (1 + 2 * excess_load * excess_load);
    if (!has_new_version(upstream_model))
        return factor;
    if (sim.kind == version_kind::slow_at_once ||
        (sim.kind == version_kind::slow_under_load && load >= 0.8))
        factor *= sim.fault_strength;
    if (sim.kind == version_kind::leaks_after_full && sim.full_share_at >= 0)
        factor *=
            1 + static_cast<double>(now - sim.full_share_at) / leak_seconds;
    return factor;
}

inline load_band band_of(double load)
{
    return load < 0.5   ? load_band::low
           : load < 0.8 ? load_band::medium
                        : load_band::full;
}

inline duration
draw_latency(simulation& sim, double milliseconds, double spread)
{
    std::normal_distribution<double> normal(0, spread);
    return from_seconds(milliseconds / 1000 * std::exp(normal(sim.random)));
}

inline simulated_upstream* choose(simulation& sim, const version_share& share)
{
    std::vector<simulated_upstream*> eligible;
    for (auto& upstream_model : sim.upstreams)
        if (upstream_model.view.serving &&
            upstream_model.view.version == share.version &&
            (share.only.empty() ||
             std::count(
                 share.only.begin(), share.only.end(), upstream_model.view.id)))
            eligible.push_back(&upstream_model);
    if (eligible.empty())
        return nullptr;
    return eligible[sim.random() % eligible.size()];
}

using evidence_sums =
    std::map<std::pair<evidence_key, upstream_id>, evidence_sample>;

inline void run_request(
    simulation& sim,
    simulated_upstream& upstream_model,
    int now,
    evidence_sums& samples)
{
    const double route_draw = sim.uniform(0, 1);
    const std::size_t route = route_draw < 0.4   ? 0
                              : route_draw < 0.7 ? 1
                              : route_draw < 0.9 ? 2
                                                 : 3;
    ++upstream_model.requests_this_second;
    // A request refused for overload runs on another upstream and is no
    // evidence about the version.
    if (sim.chance(
            std::max(
                0.0, upstream_model.request_rate / sim.service.capacity - 1) /
            2))
        return;
    const double load = upstream_model.request_rate / sim.service.capacity;
    const evidence_key key{
        {"s"},
        upstream_model.view.version,
        "/" + std::to_string(route),
        band_of(load)};
    const upstream_id target = has_new_version(upstream_model)
                                   ? upstream_model.view.id
                                   : upstream_id{};
    auto& sample = samples[{key, target}];
    sample.key = key;
    sample.target = target;
    const int version_index = has_new_version(upstream_model) ? 1 : 0;
    ++sim.requests[version_index];
    if (has_new_version(upstream_model) && sim.first_request_at < 0)
        sim.first_request_at = now;
    const int since = fault_visible_since(sim);
    if (has_new_version(upstream_model) && since >= 0 && now >= since)
        ++sim.result.exposed_requests;
    if (has_new_version(upstream_model) &&
        sim.kind == version_kind::crashes_on_some &&
        sim.chance(sim.fault_strength))
    {
        ++sample.crashed;
        ++sim.failures[version_index];
        upstream_model.view.serving = false;
        upstream_model.recovers_at = now + recovery_seconds;
        return;
    }
    if (sim.chance(failure_rate(sim, upstream_model, route, now)))
    {
        ++sample.failed;
        ++sim.failures[version_index];
        return;
    }
    const double slow = slowness(sim, upstream_model, now, load);
    const auto first =
        draw_latency(sim, sim.service.first_token_ms * slow, 0.5);
    sim.latency_sum[version_index] += to_seconds(first);
    ++sample.succeeded;
    sample.answered_tokens += 100 + sim.random() % 200;
    add(sample.first_token, first);
    if (sim.service.token_gap_ms > 0)
        add(sample.token_gap,
            draw_latency(sim, sim.service.token_gap_ms * slow, 0.15));
}

/// Reclaims the upstreams of one failure domain, a third of all. One in five of
/// those with load ends before its notice and is counted as a crash.
inline void start_reclaim_wave(simulation& sim, int now, evidence_sums& samples)
{
    const auto domain = std::to_string(sim.random() % 3);
    for (auto& upstream_model : sim.upstreams)
    {
        if (upstream_model.view.domain.value != domain)
            continue;
        upstream_model.view.serving = false;
        upstream_model.recovers_at = now + reclaim_seconds;
        if (upstream_model.request_rate < 0.1 || !sim.chance(0.2))
            continue;
        const evidence_key key{
            {"s"}, upstream_model.view.version, "/0", load_band::medium};
        const upstream_id target = has_new_version(upstream_model)
                                       ? upstream_model.view.id
                                       : upstream_id{};
        auto& sample = samples[{key, target}];
        sample.key = key;
        sample.target = target;
        ++sample.crashed;
    }
}

/// Ends outages and version loads that are due and updates the request rates.
inline void update_upstreams(simulation& sim, int now)
{
    for (auto& upstream_model : sim.upstreams)
    {
        if (!upstream_model.view.serving && upstream_model.recovers_at <= now)
            upstream_model.view.serving = true;
        if (upstream_model.loaded_at >= 0 && upstream_model.loaded_at <= now)
        {
            upstream_model.view.version = upstream_model.loading;
            upstream_model.loaded_at = -1;
        }
        upstream_model.request_rate = 0.8 * upstream_model.request_rate +
                                      0.2 * upstream_model.requests_this_second;
        upstream_model.requests_this_second = 0;
    }
}

} // namespace bergamotusher::move_model
