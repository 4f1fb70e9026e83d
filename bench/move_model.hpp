// The model that move_bench runs version moves in: upstreams of two versions,
// their load, latency and failures, and what makes a version bad.
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

enum class kind
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

constexpr auto enum_names(kind)
{
    using row = enum_name<kind>;
    return std::array{
        row{kind::good, "good"},
        row{kind::good_reclaim_wave, "good_reclaim_wave"},
        row{kind::good_noisy_neighbour, "good_noisy_neighbour"},
        row{kind::fails_at_once, "fails_at_once"},
        row{kind::fails_later, "fails_later"},
        row{kind::slow_at_once, "slow_at_once"},
        row{kind::slow_under_load, "slow_under_load"},
        row{kind::fails_on_one_route, "fails_on_one_route"},
        row{kind::crashes_on_some, "crashes_on_some"},
        row{kind::leaks_after_full, "leaks_after_full"}};
}

/// One service of a client.
struct size
{
    const char* name;
    int upstreams;
    /// Requests a second that one upstream can take, and all callers send.
    double capacity;
    double rate;
    double first_token_ms;
    double token_gap_ms;
};

inline constexpr size sizes[] = {
    {"binders-llm", 20, 2, 24, 400, 30}, {"order-desk", 3, 4, 6.6, 80, 0}};
inline constexpr int seconds = 1800;
inline constexpr int entries = 4;
inline constexpr int wave_seconds = 120;
inline constexpr int load_seconds = 60;
/// A leak doubles the latencies in this time.
inline constexpr int leak_seconds = 120;
inline constexpr int crash_seconds = 20;
inline constexpr int baseline_trial_seconds = 600;

struct simulated_upstream
{
    rollout::upstream_view view;
    int back_at = 0;
    int loaded_at = -1;
    version_name loading;
    /// Requests a second, smoothed.
    double arriving = 0;
    double slowness = 1;
    int taken = 0;
};

/// What one run showed.
struct outcome
{
    bool completed = false;
    bool taken_back = false;
    int ended_at = seconds;
    double exposed = 0;
    std::string reason;
};

struct simulation
{
    kind what = kind::good;
    size of{};
    bool baseline = false;
    std::mt19937_64 random;
    std::vector<simulated_upstream> upstreams;
    version_move move;
    version_move working;
    rollout::move_memory memory;
    rollout::local_evidence local[entries];
    std::vector<version_name> stopped[entries];
    double strength = 0;
    int onset = 0;
    int wave_at = 0;
    int full_at = -1;
    int first_at = -1;
    outcome result;
    /// Baseline: counts of old and new requests, failures, latency sums.
    double seen[2] = {}, failed[2] = {}, latency[2] = {};

    double uniform(double from, double to)
    {
        return std::uniform_real_distribution<double>(from, to)(random);
    }

    bool chance(double part)
    {
        return uniform(0, 1) < part;
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

/// A slow upstream, in half of the runs the one that a trial takes first, and
/// at the larger service another one.
inline void add_neighbours(simulation& sim)
{
    const std::size_t all = sim.upstreams.size();
    const std::size_t first = all - static_cast<std::size_t>(sim.of.upstreams);
    if (sim.chance(0.5))
        sim.upstreams[first].slowness = sim.uniform(1.5, 3);
    else
        sim.upstreams[sim.random() % all].slowness = sim.uniform(1.5, 3);
    if (sim.of.upstreams > 3)
        sim.upstreams[sim.random() % all].slowness = sim.uniform(1.5, 3);
}

inline simulation
make(kind what, const size& of, bool baseline, std::uint64_t seed)
{
    simulation sim;
    sim.what = what;
    sim.of = of;
    sim.baseline = baseline;
    sim.random.seed(seed);
    add_upstreams(sim, "v1", of.upstreams);
    if (seed % 2 == 0 || baseline)
        add_upstreams(sim, "v2", of.upstreams);
    const bool few = what == kind::crashes_on_some;
    const bool slow =
        what == kind::slow_at_once || what == kind::slow_under_load;
    sim.strength = slow  ? sim.uniform(1.5, 3)
                   : few ? sim.uniform(0.02, 0.1)
                         : sim.uniform(0.2, 1);
    sim.onset = static_cast<int>(sim.uniform(30, 600));
    sim.wave_at = static_cast<int>(sim.uniform(30, 900));
    if (what == kind::good_noisy_neighbour)
        add_neighbours(sim);
    sim.move.id.value = "m";
    sim.move.from.value = "v1";
    sim.move.to.value = "v2";
    sim.move.deadline.milliseconds = seconds * 1000LL;
    sim.working = sim.move;
    return sim;
}

inline bool is_new(const simulated_upstream& up)
{
    return up.view.version.value == "v2";
}

/// Since when the version's badness can show; negative: not yet.
inline int shows_since(const simulation& sim)
{
    if (sim.what == kind::fails_later)
        return sim.first_at < 0 ? -1 : sim.first_at + sim.onset;
    // A leak counts as slow where the slow kinds begin: at 1.5 times.
    if (sim.what == kind::leaks_after_full)
        return sim.full_at < 0 ? -1 : sim.full_at + leak_seconds / 2;
    return 0;
}

inline double failure_rate(
    const simulation& sim,
    const simulated_upstream& up,
    std::size_t route,
    int now)
{
    double rate = 0.003;
    if (!is_new(up))
        return rate;
    const int since = shows_since(sim);
    if (sim.what == kind::fails_at_once ||
        (sim.what == kind::fails_later && since >= 0 && now >= since) ||
        (sim.what == kind::fails_on_one_route && route == 1))
        rate += sim.strength;
    if (sim.what == kind::leaks_after_full && since >= 0)
        rate += std::max(0, now - since - leak_seconds) / 600.0;
    return rate;
}

inline double slowness(
    const simulation& sim, const simulated_upstream& up, int now, double load)
{
    const double over = std::max(0.0, load - 0.5);
    double factor = up.slowness * (1 + 2 * over * over);
    if (!is_new(up))
        return factor;
    if (sim.what == kind::slow_at_once ||
        (sim.what == kind::slow_under_load && load >= 0.8))
        factor *= sim.strength;
    if (sim.what == kind::leaks_after_full && sim.full_at >= 0)
        factor *= 1 + static_cast<double>(now - sim.full_at) / leak_seconds;
    return factor;
}

inline load_band band_of(double load)
{
    return load < 0.5   ? load_band::low
           : load < 0.8 ? load_band::medium
                        : load_band::full;
}

inline duration drawn_time(simulation& sim, double milliseconds, double spread)
{
    std::normal_distribution<double> normal(0, spread);
    return from_seconds(milliseconds / 1000 * std::exp(normal(sim.random)));
}

inline simulated_upstream* choose(simulation& sim, const version_share& share)
{
    std::vector<simulated_upstream*> able;
    for (auto& up : sim.upstreams)
        if (up.view.serving && up.view.version == share.version &&
            (share.only.empty() ||
             std::count(share.only.begin(), share.only.end(), up.view.id)))
            able.push_back(&up);
    if (able.empty())
        return nullptr;
    return able[sim.random() % able.size()];
}

using sums = std::map<std::pair<evidence_key, upstream_id>, evidence_sample>;

inline void
run_request(simulation& sim, simulated_upstream& up, int now, sums& seen)
{
    const double drawn = sim.uniform(0, 1);
    const std::size_t route = drawn < 0.4   ? 0
                              : drawn < 0.7 ? 1
                              : drawn < 0.9 ? 2
                                            : 3;
    ++up.taken;
    // Refused for overload and run elsewhere: no evidence of the version.
    if (sim.chance(std::max(0.0, up.arriving / sim.of.capacity - 1) / 2))
        return;
    const double load = up.arriving / sim.of.capacity;
    const evidence_key key{
        {"s"}, up.view.version, "/" + std::to_string(route), band_of(load)};
    const upstream_id target = is_new(up) ? up.view.id : upstream_id{};
    auto& sample = seen[{key, target}];
    sample.key = key;
    sample.target = target;
    const int which = is_new(up) ? 1 : 0;
    ++sim.seen[which];
    if (is_new(up) && sim.first_at < 0)
        sim.first_at = now;
    const int since = shows_since(sim);
    if (is_new(up) && since >= 0 && now >= since)
        ++sim.result.exposed;
    if (is_new(up) && sim.what == kind::crashes_on_some &&
        sim.chance(sim.strength))
    {
        ++sample.crashed;
        ++sim.failed[which];
        up.view.serving = false;
        up.back_at = now + crash_seconds;
        return;
    }
    if (sim.chance(failure_rate(sim, up, route, now)))
    {
        ++sample.failed;
        ++sim.failed[which];
        return;
    }
    const double slow = slowness(sim, up, now, load);
    const auto first = drawn_time(sim, sim.of.first_token_ms * slow, 0.5);
    sim.latency[which] += to_seconds(first);
    ++sample.succeeded;
    sample.answered_tokens += 100 + sim.random() % 200;
    add(sample.first_token, first);
    if (sim.of.token_gap_ms > 0)
        add(sample.token_gap,
            drawn_time(sim, sim.of.token_gap_ms * slow, 0.15));
}

/// A third of the upstreams is reclaimed; some die before their notice.
inline void start_wave(simulation& sim, int now, sums& seen)
{
    const auto domain = std::to_string(sim.random() % 3);
    for (auto& up : sim.upstreams)
    {
        if (up.view.domain.value != domain)
            continue;
        up.view.serving = false;
        up.back_at = now + wave_seconds;
        if (up.arriving < 0.1 || !sim.chance(0.2))
            continue;
        const evidence_key key{{"s"}, up.view.version, "/0", load_band::medium};
        const upstream_id target = is_new(up) ? up.view.id : upstream_id{};
        auto& sample = seen[{key, target}];
        sample.key = key;
        sample.target = target;
        ++sample.crashed;
    }
}

inline void settle_upstreams(simulation& sim, int now)
{
    for (auto& up : sim.upstreams)
    {
        if (!up.view.serving && up.back_at <= now)
            up.view.serving = true;
        if (up.loaded_at >= 0 && up.loaded_at <= now)
        {
            up.view.version = up.loading;
            up.loaded_at = -1;
        }
        up.arriving = 0.8 * up.arriving + 0.2 * up.taken;
        up.taken = 0;
    }
}

} // namespace bergamotusher::move_model
