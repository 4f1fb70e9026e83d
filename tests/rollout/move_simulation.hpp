// Simulation of a service under a version move in virtual time: upstreams,
// their answers and the replicated state, with a leader that can be replaced.
#pragma once

#include "rollout/version_moves.hpp"
#include "state/replicated_state.hpp"
#include "state/transitions.hpp"

#include <functional>
#include <string>
#include <vector>

namespace bergamotusher::rollout
{

/// Maps a usual sample to the one that an upstream of the new version gives in
/// one second at one load band.
using answer_function = std::function<evidence_sample(evidence_sample usual)>;

struct move_simulation
{
    state::replicated_state replicated;
    std::uint64_t index = 0;
    std::int64_t second = 0;
    move_id id;
    version_move working;
    volatile_move_state memory;
    evidence_view view;
    move_policy policy;
    answer_function new_version_answers = [](evidence_sample usual)
    {
        return usual;
    };
    std::vector<order_load> orders;
    std::size_t end_count = 0;

    const version_move& committed_move() const
    {
        return replicated.moves.at(id);
    }

    wall_time wall() const
    {
        return {1'700'000'000'000 + second * 1000};
    }

    time_point now() const
    {
        return time_point{std::chrono::seconds(second)};
    }

    state::command_outcome commit(const state::command& value)
    {
        return *state::parse_result(
            state::apply(replicated, ++index, state::encode(value, wall())));
    }

    /// Replaces the leader by one that has the replicated state only.
    void change_leader()
    {
        working = committed_move();
        memory = {};
    }
};

inline void add_upstreams(
    move_simulation& simulation, const std::string& version, int count)
{
    for (int i = 0; i < count; ++i)
        simulation.view.upstreams.push_back(
            {{version + "-" + std::to_string(i)},
             {version},
             {"d" + std::to_string(i % 3)},
             true});
}

/// A move of "assistant" from v1 to v2 with a deadline after `seconds`.
inline move_simulation
make_simulation(int old_upstreams, int new_upstreams, int seconds)
{
    move_simulation simulation;
    work_class quick;
    quick.name.value = "quick";
    const auto first = simulation.commit(state::put_entry{quick, 0, ""});
    service assistant;
    assistant.name.value = "assistant";
    assistant.default_class.value = "quick";
    simulation.commit(state::put_entry{assistant, first.revision, ""});
    state::start_move start;
    start.service.value = "assistant";
    start.to.value = "v2";
    start.within_ms = seconds * 1000LL;
    simulation.id = simulation.commit(start).move;
    add_upstreams(simulation, "v1", old_upstreams);
    add_upstreams(simulation, "v2", new_upstreams);
    simulation.working = simulation.committed_move();
    return simulation;
}

/// One second's sample of ten successful answers.
inline evidence_sample
usual_sample(const upstream_view& from, load_band band, const char* route)
{
    evidence_sample sample;
    sample.key = {{"assistant"}, from.version, route, band};
    sample.target = from.id;
    sample.succeeded = 10;
    sample.answered_tokens = 1000;
    for (int i = 0; i < 10; ++i)
    {
        add(sample.first_token, 200ms + i * 40ms);
        add(sample.token_gap, 25ms + i * 1ms);
    }
    return sample;
}

/// Whether `split` sends any requests to `each`.
inline bool
carries(const std::vector<version_share>& split, const upstream_view& each)
{
    for (const version_share& share : split)
        if (share.version == each.version &&
            (share.only.empty() ||
             std::count(share.only.begin(), share.only.end(), each.id) > 0))
            return true;
    return false;
}

inline std::vector<version_share>
current_split(const move_simulation& simulation)
{
    const auto& splits = simulation.replicated.current->splits;
    const auto found = splits.find({"assistant"});
    return found == splits.end() ? std::vector<version_share>{} : found->second;
}

inline void collect_samples(move_simulation& simulation)
{
    const auto split = current_split(simulation);
    simulation.view.samples.clear();
    for (const upstream_view& each : simulation.view.upstreams)
        for (const load_band band : {load_band::low, load_band::full})
        {
            if (!each.serving || !carries(split, each))
                continue;
            evidence_sample sample = usual_sample(each, band, "/a");
            if (each.version.value == "v2")
                sample = simulation.new_version_answers(sample);
            simulation.view.samples.push_back(sample);
        }
}

/// Simulates one second: collects the samples, runs a step and carries out its
/// actions. If `lost`, proposals never reach the log.
inline void run_second(move_simulation& simulation, bool lost = false)
{
    ++simulation.second;
    collect_samples(simulation);
    simulation.view.committed_sequence = simulation.committed_move().sequence;
    const auto actions = step(
        simulation.working,
        simulation.memory,
        simulation.view,
        simulation.policy,
        simulation.now(),
        simulation.wall());
    simulation.view.refused.clear();
    for (const auto& action : actions)
    {
        if (const auto* order = std::get_if<order_load>(&action))
            simulation.orders.push_back(*order);
        const auto* advance = std::get_if<propose_advance>(&action);
        if (advance == nullptr)
            continue;
        const bool accepted =
            !lost &&
            !simulation.commit(state::advance_move{advance->next}).error;
        if (accepted && has_ended(simulation.committed_move()))
            ++simulation.end_count;
        if (!accepted)
            simulation.working = simulation.committed_move();
    }
}

/// Runs until the move has ended or its deadline is reached.
inline void run_to_end(move_simulation& simulation)
{
    while (!has_ended(simulation.committed_move()) &&
           simulation.wall() < simulation.committed_move().deadline)
        run_second(simulation);
}

/// Makes each upstream with a load order run the ordered version.
inline void complete_orders(move_simulation& simulation)
{
    for (const order_load& order : simulation.orders)
        for (upstream_view& each : simulation.view.upstreams)
            if (each.id == order.target)
                each.version = order.version;
    simulation.orders.clear();
}

} // namespace bergamotusher::rollout
