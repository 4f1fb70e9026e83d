// Version moves in virtual time: good and bad versions at the two clients'
// sizes, under the policy and under a baseline (a fixed 5% for a fixed time,
// compared once, then all).
//
//   move_bench [--seeds N] [--kind NAME] [--size binders-llm|order-desk]
//              [--threads N] [--runs policy|baseline|both] [--reasons 1]
//
// Odd seeds load the version by orders in place, even ones find it started
// beside the old one. A bad version is exposed to the requests that it got
// from the time when its badness can show to the end of the move.
#include "move_model.hpp"
#include "state/transitions.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <future>
#include <random>
#include <string>
#include <vector>

using namespace bergamotusher;
using namespace bergamotusher::move_model;

namespace
{

void carry_out(
    simulation& sim,
    const std::vector<rollout::move_action>& todo,
    int now,
    rollout::evidence_view& next)
{
    for (const auto& each : todo)
    {
        if (const auto* advance = std::get_if<rollout::propose_advance>(&each))
        {
            // One in 50 proposals is lost; the leader starts again.
            if (sim.chance(0.02))
                sim.working = sim.move;
            else
                sim.move = advance->next;
            continue;
        }
        const auto& order = std::get<rollout::order_load>(each);
        for (auto& up : sim.upstreams)
        {
            if (up.view.id != order.target)
                continue;
            if (sim.chance(0.1))
                next.refused.push_back(order.target);
            else if (!sim.chance(0.05))
            {
                up.loaded_at = now + load_seconds;
                up.loading = order.version;
            }
        }
    }
}

void merge(sums& all, const sums& part)
{
    for (const auto& [key, sample] : part)
    {
        auto& sum = all[key];
        sum.key = sample.key;
        sum.target = sample.target;
        sum.succeeded += sample.succeeded;
        sum.failed += sample.failed;
        sum.crashed += sample.crashed;
        sum.answered_tokens += sample.answered_tokens;
        add(sum.first_token, sample.first_token);
        add(sum.token_gap, sample.token_gap);
    }
}

std::vector<evidence_sample> values_of(const sums& from)
{
    std::vector<evidence_sample> values;
    for (const auto& [key, sample] : from)
        values.push_back(sample);
    return values;
}

/// The requests of one second at one entry; its own rule follows them.
void run_entry(
    simulation& sim,
    int entry,
    const configuration& in_force,
    int now,
    sums& all)
{
    sums seen;
    std::poisson_distribution<int> arrivals(sim.of.rate / entries);
    const auto& split = in_force.splits.at({"s"});
    for (int left = arrivals(sim.random); left > 0; --left)
    {
        auto share =
            rollout::pick_version(split, sim.stopped[entry], sim.random());
        auto* up = choose(sim, share);
        if (up == nullptr)
            up = choose(sim, {share.version, 1, {}, false});
        if (up != nullptr)
            run_request(sim, *up, now, seen);
    }
    merge(all, seen);
    if (sim.baseline)
        return;
    const time_point at{std::chrono::seconds(now)};
    rollout::absorb(sim.local[entry], in_force, values_of(seen), at);
    sim.stopped[entry].clear();
    for (auto& each : rollout::local_verdict(sim.local[entry], at))
        sim.stopped[entry].push_back(each.second);
}

void step_policy(
    simulation& sim, int now, const sums& seen, rollout::evidence_view& view)
{
    view.samples = values_of(seen);
    view.upstreams.clear();
    double load = 0;
    int serving = 0;
    for (const auto& up : sim.upstreams)
    {
        view.upstreams.push_back(up.view);
        if (up.view.serving && up.arriving > 0)
        {
            load += up.arriving / sim.of.capacity;
            ++serving;
        }
    }
    view.utilisation = sim.of.rate / (sim.of.capacity * sim.of.upstreams);
    view.entries = entries;
    view.entries_stopped = 0;
    for (const auto& each : sim.stopped)
        view.entries_stopped += each.empty() ? 0 : 1;
    // A new leader knows the replicated state only.
    if (sim.chance(1.0 / 600))
    {
        sim.working = sim.move;
        sim.memory = {};
    }
    view.committed_sequence = sim.move.sequence;
    const auto todo = rollout::step(
        sim.working,
        sim.memory,
        view,
        {},
        time_point{std::chrono::seconds(now)},
        {now * 1000LL});
    view.refused.clear();
    carry_out(sim, todo, now, view);
}

void step_baseline(simulation& sim, int now)
{
    auto& move = sim.move;
    const auto& n = sim.seen;
    move.phase = now < baseline_trial_seconds ? move_phase::widen : move.phase;
    move.stage = 1;
    move.share = 0.05;
    if (move.trial.empty())
        for (const auto& up : sim.upstreams)
            if (is_new(up))
                move.trial.push_back(up.view.id);
    if (now < baseline_trial_seconds)
        return;
    const bool fails = sim.failed[1] / std::max(1.0, n[1]) >
                       sim.failed[0] / std::max(1.0, n[0]) + 0.05;
    const bool slow = sim.latency[1] / std::max(1.0, n[1]) >
                      1.5 * sim.latency[0] / std::max(1.0, n[0]);
    if (!has_ended(move))
        move.phase =
            fails || slow ? move_phase::taken_back : move_phase::completed;
}

outcome simulate(kind what, const size& of, bool baseline, std::uint64_t seed)
{
    simulation sim = make(what, of, baseline, seed);
    rollout::evidence_view view;
    configuration in_force;
    int now = 0;
    for (; now < seconds; ++now)
    {
        const bool ended = has_ended(sim.move);
        // What was committed is in force a second later.
        in_force.splits[{"s"}] = state::split_of(sim.move);
        if (sim.move.share > 0.9 || sim.move.phase == move_phase::completed)
            sim.full_at = sim.full_at < 0 ? now : sim.full_at;
        if (ended && (sim.move.phase == move_phase::taken_back || !baseline))
            break;
        sums seen;
        settle_upstreams(sim, now);
        if (what == kind::good_reclaim_wave && now == sim.wave_at)
            start_wave(sim, now, seen);
        for (int entry = 0; entry < entries; ++entry)
            run_entry(sim, entry, in_force, now, seen);
        if (baseline)
            step_baseline(sim, now);
        else
            step_policy(sim, now, seen, view);
    }
    sim.result.ended_at = now;
    sim.result.completed = sim.move.phase == move_phase::completed;
    sim.result.taken_back = sim.move.phase == move_phase::taken_back;
    sim.result.reason = sim.move.reason;
    return sim.result;
}

struct options
{
    std::uint64_t seeds = 200;
    std::uint64_t threads = 2;
    std::string kind;
    std::string size;
    std::string runs = "both";
    bool reasons = false;
};

bool set(options& to, const std::string& flag, const std::string& value)
{
    if (flag == "--seeds")
        to.seeds = std::stoull(value);
    else if (flag == "--threads")
        to.threads = std::stoull(value);
    else if (flag == "--kind")
        to.kind = value;
    else if (flag == "--size")
        to.size = value;
    else if (flag == "--runs")
        to.runs = value;
    else if (flag == "--reasons")
        to.reasons = value == "1";
    else
        return false;
    return true;
}

bool is_wanted(
    const options& chosen, const size& of, std::string_view name, bool baseline)
{
    const char* run = baseline ? "baseline" : "policy";
    return (chosen.kind.empty() || name == chosen.kind) &&
           (chosen.size.empty() || of.name == chosen.size) &&
           (chosen.runs == "both" || chosen.runs == run);
}

std::vector<outcome>
run_all(const options& chosen, kind what, const size& of, bool baseline)
{
    std::vector<outcome> all(chosen.seeds);
    std::vector<std::future<void>> parts;
    for (std::uint64_t part = 0; part < chosen.threads; ++part)
        parts.push_back(std::async(
            std::launch::async,
            [&, part]
            {
                for (auto s = part; s < chosen.seeds; s += chosen.threads)
                    all[s] = simulate(what, of, baseline, s);
            }));
    for (auto& part : parts)
        part.get();
    return all;
}

void report(
    kind what,
    const size& of,
    bool baseline,
    const std::vector<outcome>& all,
    bool show_reasons)
{
    const double traffic = of.rate * seconds;
    std::vector<double> exposed;
    std::map<std::string, int> reasons;
    int completed = 0;
    int taken_back = 0;
    int under = 0;
    double ended = 0;
    for (const outcome& each : all)
    {
        completed += each.completed;
        taken_back += each.taken_back;
        under += each.taken_back && each.exposed < 0.01 * traffic;
        ended += each.ended_at;
        exposed.push_back(each.exposed / traffic);
        ++reasons[each.reason];
    }
    std::sort(exposed.begin(), exposed.end());
    const double runs = static_cast<double>(all.size());
    std::printf(
        "%-8s %-11s %-20s completed %6.2f%% taken_back %6.2f%% "
        "and<1%% %6.2f%% exposed p50 %.3f%% p99 %.3f%% end %4.0fs\n",
        baseline ? "baseline" : "policy",
        of.name,
        std::string(to_name(what)).c_str(),
        100 * completed / runs,
        100 * taken_back / runs,
        100 * under / runs,
        100 * exposed[exposed.size() / 2],
        100 * exposed[exposed.size() * 99 / 100],
        ended / runs);
    if (show_reasons)
        for (const auto& [reason, count] : reasons)
            std::printf("    %6d %s\n", count, reason.c_str());
    std::fflush(stdout);
}

} // namespace

int main(int argc, char** argv)
{
    options chosen;
    for (int i = 1; i + 1 < argc; i += 2)
        if (!set(chosen, argv[i], argv[i + 1]))
            return 2;
    for (const size& of : sizes)
        for (const auto& row : enum_names(kind{}))
            for (const bool baseline : {false, true})
                if (is_wanted(chosen, of, row.name, baseline))
                    report(
                        row.value,
                        of,
                        baseline,
                        run_all(chosen, row.value, of, baseline),
                        chosen.reasons);
}
