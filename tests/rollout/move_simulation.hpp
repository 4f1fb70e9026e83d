// A service under a version move, in virtual time: upstreams, their answers
// and the replicated state, with a leader that can be replaced.
#pragma once

#include "rollout/version_moves.hpp"
#include "state/replicated_state.hpp"
#include "state/transitions.hpp"

#include <functional>
#include <string>
#include <vector>

namespace bergamotusher::rollout
{

/// What the new version's upstreams answer in one second at one load band.
using answers = std::function<evidence_sample(evidence_sample usual)>;

struct move_world
{
    state::replicated_state replicated;
    std::uint64_t index = 0;
    std::int64_t second = 0;
    move_id id;
    version_move working;
    move_memory memory;
    evidence_view view;
    move_policy policy;
    answers of_new = [](evidence_sample usual)
    {
        return usual;
    };
    std::vector<order_load> orders;
    std::size_t ends = 0;

    const version_move& held() const
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

    /// A new leader knows the replicated state only.
    void change_leader()
    {
        working = held();
        memory = {};
    }
};

inline void
add_upstreams(move_world& world, const std::string& version, int count)
{
    for (int i = 0; i < count; ++i)
        world.view.upstreams.push_back(
            {{version + "-" + std::to_string(i)},
             {version},
             {"d" + std::to_string(i % 3)},
             true});
}

/// A move of "assistant" from v1 to v2, to be done in `seconds`.
inline move_world make_world(int old_upstreams, int new_upstreams, int seconds)
{
    move_world world;
    work_class quick;
    quick.name.value = "quick";
    const auto first = world.commit(state::put_entry{quick, 0, ""});
    service assistant;
    assistant.name.value = "assistant";
    assistant.default_class.value = "quick";
    world.commit(state::put_entry{assistant, first.revision, ""});
    state::start_move start;
    start.service.value = "assistant";
    start.to.value = "v2";
    start.within_ms = seconds * 1000LL;
    world.id = world.commit(start).move;
    add_upstreams(world, "v1", old_upstreams);
    add_upstreams(world, "v2", new_upstreams);
    world.working = world.held();
    return world;
}

/// Ten good answers in a second.
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

/// Whether `split` sends anything to `each`.
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

inline std::vector<version_share> split_of(const move_world& world)
{
    const auto& splits = world.replicated.current->splits;
    const auto found = splits.find({"assistant"});
    return found == splits.end() ? std::vector<version_share>{} : found->second;
}

inline void collect(move_world& world)
{
    const auto split = split_of(world);
    world.view.samples.clear();
    for (const upstream_view& each : world.view.upstreams)
        for (const load_band band : {load_band::low, load_band::full})
        {
            if (!each.serving || !carries(split, each))
                continue;
            evidence_sample sample = usual_sample(each, band, "/a");
            if (each.version.value == "v2")
                sample = world.of_new(sample);
            world.view.samples.push_back(sample);
        }
}

/// One second: evidence, a step, and its actions. `lost`: the proposal never
/// reaches the log.
inline void run_second(move_world& world, bool lost = false)
{
    ++world.second;
    collect(world);
    world.view.committed_sequence = world.held().sequence;
    const auto actions = step(
        world.working,
        world.memory,
        world.view,
        world.policy,
        world.now(),
        world.wall());
    world.view.refused.clear();
    for (const auto& action : actions)
    {
        if (const auto* order = std::get_if<order_load>(&action))
            world.orders.push_back(*order);
        const auto* advance = std::get_if<propose_advance>(&action);
        if (advance == nullptr)
            continue;
        const bool taken =
            !lost && !world.commit(state::advance_move{advance->next}).error;
        if (taken && has_ended(world.held()))
            ++world.ends;
        if (!taken)
            world.working = world.held();
    }
}

/// Runs until the move has ended, at most to its deadline.
inline void run_to_end(move_world& world)
{
    while (!has_ended(world.held()) && world.wall() < world.held().deadline)
        run_second(world);
}

/// Lets each upstream under an order come to run the version.
inline void carry_out_orders(move_world& world)
{
    for (const order_load& order : world.orders)
        for (upstream_view& each : world.view.upstreams)
            if (each.id == order.target)
                each.version = order.version;
    world.orders.clear();
}

} // namespace bergamotusher::rollout
