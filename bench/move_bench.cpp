// Simulates version moves in virtual time: good and bad versions at the sizes
// of the two clients' services, under the policy and under a baseline that
// gives the new version 5% of the traffic for 600 s, compares the versions once
// and then moves all traffic or rolls back.
//
//   move_bench [--seeds N] [--kind NAME] [--size binders-llm|order-desk]
//              [--threads N] [--runs policy|baseline|both] [--reasons 1]
//
// With odd seeds the policy loads the new version on the running upstreams by
// orders; with even seeds, and for the baseline, upstreams of the new version
// run beside those of the old one. The exposed requests are those that ran on
// the new version from the time at which its fault can show to the end of the
// move.
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

void execute_actions(
    simulation& sim,
    const std::vector<rollout::move_action>& actions,
    int now,
    rollout::evidence_view& next_view)
{
    for (const auto& action : actions)
    {
        if (const auto* advance =
                std::get_if<rollout::propose_advance>(&action))
        {
            // One in 50 proposals is lost; the leader continues from the
            // committed state.
            if (sim.chance(0.02))
                sim.leader_move = sim.move;
            else
                sim.move = advance->next;
            continue;
        }
        const auto& order = std::get<rollout::order_load>(action);
        for (auto& upstream_model : sim.upstreams)
        {
            if (upstream_model.view.id != order.target)
                continue;
            if (sim.chance(0.1))
                next_view.refused.push_back(order.target);
            else if (!sim.chance(0.05))
            {
                upstream_model.loaded_at = now + load_seconds;
                upstream_model.loading = order.version;
            }
        }
    }
}

void merge(evidence_sums& totals, const evidence_sums& part)
{
    for (const auto& [key, sample] : part)
    {
        auto& sum = totals[key];
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

std::vector<evidence_sample> to_samples(const evidence_sums& from)
{
    std::vector<evidence_sample> values;
    for (const auto& [key, sample] : from)
        values.push_back(sample);
    return values;
}

/// Runs the requests of one second at one entry, then evaluates the entry's
/// local rule (not for the baseline).
void run_entry(
    simulation& sim,
    int entry,
    const configuration& in_force,
    int now,
    evidence_sums& totals)
{
    evidence_sums samples;
    std::poisson_distribution<int> arrivals(sim.service.rate / entry_count);
    const auto& split = in_force.splits.at({"s"});
    for (int remaining = arrivals(sim.random); remaining > 0; --remaining)
    {
        auto share = rollout::pick_version(
            split, sim.stopped_versions[entry], sim.random());
        auto* upstream_model = choose(sim, share);
        if (upstream_model == nullptr)
            upstream_model = choose(sim, {share.version, 1, {}, false});
        if (upstream_model != nullptr)
            run_request(sim, *upstream_model, now, samples);
    }
    merge(totals, samples);
    if (sim.baseline)
        return;
    const time_point at{std::chrono::seconds(now)};
    rollout::add_local_samples(
        sim.local[entry], in_force, to_samples(samples), at);
    sim.stopped_versions[entry].clear();
    for (auto& verdict : rollout::stopped_versions(sim.local[entry], at))
        sim.stopped_versions[entry].push_back(verdict.second);
}

void step_policy(
    simulation& sim,
    int now,
    const evidence_sums& samples,
    rollout::evidence_view& view)
{
    view.samples = to_samples(samples);
    view.upstreams.clear();
    double load = 0;
    int serving = 0;
    for (const auto& upstream_model : sim.upstreams)
    {
        view.upstreams.push_back(upstream_model.view);
        if (upstream_model.view.serving && upstream_model.request_rate > 0)
        {
            load += upstream_model.request_rate / sim.service.capacity;
            ++serving;
        }
    }
    view.utilisation =
        sim.service.rate / (sim.service.capacity * sim.service.upstreams);
    view.entries = entry_count;
    view.entries_stopped = 0;
    for (const auto& stopped : sim.stopped_versions)
        view.entries_stopped += stopped.empty() ? 0 : 1;
    // On average every 600 s the leader changes; a new leader knows only the
    // replicated state.
    if (sim.chance(1.0 / 600))
    {
        sim.leader_move = sim.move;
        sim.memory = {};
    }
    view.committed_sequence = sim.move.sequence;
    const auto actions = rollout::step(
        sim.leader_move,
        sim.memory,
        view,
        {},
        time_point{std::chrono::seconds(now)},
        {now * 1000LL});
    view.refused.clear();
    execute_actions(sim, actions, now, view);
}

void step_baseline(simulation& sim, int now)
{
    auto& move = sim.move;
    const auto& requests = sim.requests;
    move.phase = now < baseline_trial_seconds ? move_phase::widen : move.phase;
    move.stage = 1;
    move.share = 0.05;
    if (move.trial.empty())
        for (const auto& upstream_model : sim.upstreams)
            if (has_new_version(upstream_model))
                move.trial.push_back(upstream_model.view.id);
    if (now < baseline_trial_seconds)
        return;
    const bool fails = sim.failures[1] / std::max(1.0, requests[1]) >
                       sim.failures[0] / std::max(1.0, requests[0]) + 0.05;
    const bool slow = sim.latency_sum[1] / std::max(1.0, requests[1]) >
                      1.5 * sim.latency_sum[0] / std::max(1.0, requests[0]);
    if (!has_ended(move))
        move.phase =
            fails || slow ? move_phase::taken_back : move_phase::completed;
}

run_result simulate(
    version_kind kind,
    const service_model& service,
    bool baseline,
    std::uint64_t seed)
{
    simulation sim = make_simulation(kind, service, baseline, seed);
    rollout::evidence_view view;
    configuration in_force;
    int now = 0;
    for (; now < run_seconds; ++now)
    {
        const bool has_ended_before = has_ended(sim.move);
        // A committed split is in force a second later.
        in_force.splits[{"s"}] = state::split_of(sim.move);
        if (sim.move.share > 0.9 || sim.move.phase == move_phase::completed)
            sim.full_share_at = sim.full_share_at < 0 ? now : sim.full_share_at;
        if (has_ended_before &&
            (sim.move.phase == move_phase::taken_back || !baseline))
            break;
        evidence_sums samples;
        update_upstreams(sim, now);
        if (kind == version_kind::good_reclaim_wave &&
            now == sim.reclaim_wave_at)
            start_reclaim_wave(sim, now, samples);
        for (int entry = 0; entry < entry_count; ++entry)
            run_entry(sim, entry, in_force, now, samples);
        if (baseline)
            step_baseline(sim, now);
        else
            step_policy(sim, now, samples, view);
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

bool set_option(
    options& target, const std::string& flag, const std::string& value)
{
    if (flag == "--seeds")
        target.seeds = std::stoull(value);
    else if (flag == "--threads")
        target.threads = std::stoull(value);
    else if (flag == "--kind")
        target.kind = value;
    else if (flag == "--size")
        target.size = value;
    else if (flag == "--runs")
        target.runs = value;
    else if (flag == "--reasons")
        target.reasons = value == "1";
    else
        return false;
    return true;
}

bool is_selected(
    const options& selected,
    const service_model& service,
    std::string_view name,
    bool baseline)
{
    const char* run = baseline ? "baseline" : "policy";
    return (selected.kind.empty() || name == selected.kind) &&
           (selected.size.empty() || service.name == selected.size) &&
           (selected.runs == "both" || selected.runs == run);
}

std::vector<run_result> run_seeds(
    const options& selected,
    version_kind kind,
    const service_model& service,
    bool baseline)
{
    std::vector<run_result> results(selected.seeds);
    std::vector<std::future<void>> workers;
    for (std::uint64_t worker = 0; worker < selected.threads; ++worker)
        workers.push_back(std::async(
            std::launch::async,
            [&, worker]
            {
                for (auto seed = worker; seed < selected.seeds;
                     seed += selected.threads)
                    results[seed] = simulate(kind, service, baseline, seed);
            }));
    for (auto& worker : workers)
        worker.get();
    return results;
}

void report(
    version_kind kind,
    const service_model& service,
    bool baseline,
    const std::vector<run_result>& results,
    bool show_reasons)
{
    const double traffic = service.rate * run_seconds;
    std::vector<double> exposed_shares;
    std::map<std::string, int> reasons;
    int completed = 0;
    int taken_back = 0;
    int contained = 0;
    double end_seconds_sum = 0;
    for (const run_result& run : results)
    {
        completed += run.completed;
        taken_back += run.taken_back;
        contained += run.taken_back && run.exposed_requests < 0.01 * traffic;
        end_seconds_sum += run.ended_at;
        exposed_shares.push_back(run.exposed_requests / traffic);
        ++reasons[run.reason];
    }
    std::sort(exposed_shares.begin(), exposed_shares.end());
    const double runs = static_cast<double>(results.size());
    std::printf(
        "%-8s %-11s %-20s completed %6.2f%% taken_back %6.2f%% "
        "and<1%% %6.2f%% exposed p50 %.3f%% p99 %.3f%% end %4.0fs\n",
        baseline ? "baseline" : "policy",
        service.name,
        std::string(to_name(kind)).c_str(),
        100 * completed / runs,
        100 * taken_back / runs,
        100 * contained / runs,
        100 * exposed_shares[exposed_shares.size() / 2],
        100 * exposed_shares[exposed_shares.size() * 99 / 100],
        end_seconds_sum / runs);
    if (show_reasons)
        for (const auto& [reason, count] : reasons)
            std::printf("    %6d %s\n", count, reason.c_str());
    std::fflush(stdout);
}

} // namespace

int main(int argc, char** argv)
{
    options selected;
    for (int i = 1; i + 1 < argc; i += 2)
        if (!set_option(selected, argv[i], argv[i + 1]))
            return 2;
    for (const service_model& service : services)
        for (const auto& row : enum_names(version_kind{}))
            for (const bool baseline : {false, true})
                if (is_selected(selected, service, row.name, baseline))
                    report(
                        row.value,
                        service,
                        baseline,
                        run_seeds(selected, row.value, service, baseline),
                        selected.reasons);
}
