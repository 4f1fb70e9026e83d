#include "rollout/version_moves.hpp"

#include "rollout/move_evidence.hpp"
#include "rollout/upstream_plan.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

namespace bergamotusher::rollout
{

namespace
{

/// Evidence that is enough once a stage has taken its longest time.
constexpr std::uint64_t late_stage_part = 4;

std::int64_t milliseconds(duration span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

std::int64_t whole_time(const version_move& move)
{
    return move.deadline.milliseconds - move.started.milliseconds;
}

std::int64_t stage_age(const step_context& at)
{
    return at.wall.milliseconds - at.move.phase_started.milliseconds;
}

bool near_deadline(const step_context& at)
{
    return at.wall.milliseconds >=
           at.move.deadline.milliseconds - milliseconds(at.policy.end_margin);
}

/// The share that brings `count` upstreams to full load.
double loaded_share(const step_context& at, std::size_t count)
{
    const double base = std::max<double>(at.move.base, 1);
    const double utilisation = std::clamp(at.view.utilisation, 0.1, 1.0);
    return static_cast<double>(count) / base * at.policy.full_load /
           utilisation;
}

/// The share of the stage that loads the trial upstreams.
double trial_load_share(const step_context& at)
{
    return std::clamp(
        loaded_share(at, at.move.trial.size()),
        at.move.trial_share,
        at.policy.largest_loaded_share);
}

/// The share that brings the control upstreams to full load, on top of their
/// part of what all old upstreams get.
double control_share_of(const step_context& at)
{
    const auto controls = static_cast<double>(at.move.control.size());
    const auto old =
        static_cast<double>(serving_of(at.move, at.view, at.move.from).size());
    const double rest = 1 - at.move.share;
    if (controls == 0)
        return 0;
    if (controls >= old)
        return rest;
    const double wanted = loaded_share(at, 1) - rest / old;
    return std::clamp(wanted / (1 / controls - 1 / old), 0.0, 0.8 * rest);
}

void enter(step_context& at, move_phase phase, double share)
{
    at.move.phase = phase;
    at.move.phase_started = at.wall;
    at.move.share = share;
    at.move.control_share = control_share_of(at);
    at.move.stage_observed = 0;
    at.memory.old_routes.clear();
    at.memory.new_routes.clear();
    at.changed = true;
}

void end(step_context& at, move_phase phase, std::string reason)
{
    enter(at, phase, phase == move_phase::completed ? 1 : 0);
    at.move.reason = std::move(reason);
    at.move.ended = at.wall;
    at.move.tests.clear();
    at.move.orders.clear();
    at.move.trial.clear();
    at.move.control.clear();
}

/// Learns the old version and the size of the service, once.
void survey(step_context& at)
{
    std::map<version_name, std::uint32_t> counts;
    for (const upstream_view& each : at.view.upstreams)
        if (each.serving && each.version != at.move.to)
            ++counts[each.version];
    if (at.move.from.empty() && !counts.empty())
    {
        const auto most = std::max_element(
            counts.begin(),
            counts.end(),
            [](const auto& a, const auto& b) { return a.second < b.second; });
        at.move.from = most->first;
        at.changed = true;
    }
    if (at.move.base == 0 && counts.count(at.move.from) != 0)
    {
        at.move.base = counts.at(at.move.from);
        at.changed = true;
    }
}

/// As few upstreams as can carry the share, so that these reach full load.
std::size_t carriers_wanted(const step_context& at)
{
    const double load = at.move.share * at.move.base * at.view.utilisation;
    const auto wanted =
        static_cast<std::size_t>(std::ceil(load / at.policy.full_load));
    return at.move.stage == 0 ? trial_size(at.move)
                              : std::max(wanted, trial_size(at.move));
}

/// Keeps the trial and control upstreams those that still serve. In the soak
/// all upstreams of the version carry the share.
void choose_upstreams(step_context& at)
{
    version_move& move = at.move;
    std::vector<upstream_id> trial;
    std::vector<upstream_id> control;
    if (move.phase == move_phase::trial || move.phase == move_phase::widen)
        trial = pick_spread(
            move, at.view, move.to, carriers_wanted(at), move.trial);
    const bool compares = move.phase == move_phase::trial ||
                          (move.phase == move_phase::widen && move.stage == 0);
    if (compares)
        control =
            pick_spread(move, at.view, move.from, trial.size(), move.control);
    if (trial == move.trial && control == move.control)
        return;
    move.trial = std::move(trial);
    move.control = std::move(control);
    move.control_share = control_share_of(at);
    at.changed = true;
}

/// Takes a slow upstream off the trial, until another one shows whether the
/// version is slow or only this upstream.
void set_suspect(step_context& at, const upstream_id& suspect)
{
    version_move& move = at.move;
    move.suspects.push_back(suspect);
    const auto is_latency_of_suspect = [&](const test_stream& test)
    {
        return test.target == suspect;
    };
    move.tests.erase(
        std::remove_if(
            move.tests.begin(), move.tests.end(), is_latency_of_suspect),
        move.tests.end());
    // The other one is tried as this one was, under load too.
    move.stage = 0;
    const double share =
        move.phase == move_phase::trial ? move.trial_share : move.share;
    enter(at, move.phase, share);
}

/// Upstreams that carry the version's share.
std::size_t carriers(const step_context& at)
{
    return at.move.trial.empty()
               ? serving_of(at.move, at.view, at.move.to).size()
               : std::max(at.move.trial.size(), trial_size(at.move));
}

verdict judge(const step_context& at)
{
    return judge(at.memory.known, at.move.tests, carriers(at), at.policy.tests);
}

/// True if the move came to its end, or went back to an earlier trial.
bool apply_verdict(step_context& at)
{
    const verdict result = judge(at);
    if (result.bad)
    {
        end(at, move_phase::taken_back, result.reason);
        return true;
    }
    if (at.view.entries_stopped > 0 &&
        2 * at.view.entries_stopped >= at.view.entries)
    {
        end(at, move_phase::taken_back, "entries stopped it");
        return true;
    }
    if (result.suspect.empty())
        return false;
    const bool is_confirmed = carriers(at) == 1 && !at.move.suspects.empty();
    if (is_confirmed)
        end(at,
            move_phase::taken_back,
            "slower than the old version on each upstream tried");
    else if (at.move.suspects.size() < at.policy.most_suspects)
        set_suspect(at, result.suspect);
    else
        return false;
    return true;
}

bool routes_are_covered(const step_context& at)
{
    double all = 0;
    for (const auto& [route, requests] : at.memory.old_routes)
        all += requests;
    for (const auto& [route, requests] : at.memory.old_routes)
    {
        const auto found = at.memory.new_routes.find(route);
        const double seen =
            found == at.memory.new_routes.end() ? 0 : found->second;
        if (requests >= at.policy.route_part * all &&
            seen < at.policy.route_requests)
            return false;
    }
    return true;
}

/// Whether each trial upstream was seen under full load, where the stage is
/// there for that.
bool load_is_covered(const step_context& at)
{
    if (at.move.phase != move_phase::widen || at.move.stage != 0)
        return true;
    const auto seen_at_full = [&](const upstream_id& id)
    {
        for (const test_stream& test : at.move.tests)
            if (test.metric == test_metric::first_token && test.target == id &&
                test.band == load_band::full &&
                test.observed >= at.policy.loaded_requests)
                return true;
        return false;
    };
    return std::all_of(
        at.move.trial.begin(), at.move.trial.end(), seen_at_full);
}

/// Whether the stage has shown enough to go on.
bool stage_is_done(const step_context& at)
{
    const verdict result = judge(at);
    const auto observed = at.move.stage_observed;
    const double longest =
        at.policy.longest_stage * static_cast<double>(whole_time(at.move));
    const auto age = static_cast<double>(stage_age(at));
    if (age >= longest && (!result.doubtful || age >= 2 * longest))
        return observed * late_stage_part >= at.policy.stage_requests;
    return !result.doubtful &&
           stage_age(at) >= milliseconds(at.policy.stage_time) &&
           observed >= at.policy.stage_requests && routes_are_covered(at) &&
           load_is_covered(at);
}

/// The share of the stage after the present one.
double next_share(const step_context& at)
{
    const auto& shares = at.policy.widened_shares;
    if (at.move.phase == move_phase::trial)
        return trial_load_share(at);
    return at.move.stage < shares.size() ? shares[at.move.stage]
                                         : at.policy.soak_share;
}

/// Upstreams of the version wanted now: one stage ahead once the trial is
/// over, so that loading does not hold up the stages.
std::size_t wanted_upstreams(const step_context& at)
{
    const std::size_t trial = trial_size(at.move);
    if (at.move.phase == move_phase::load || at.move.phase == move_phase::trial)
        return trial;
    return std::max(trial, needed_for(at.move, at.policy, next_share(at)));
}

void widen(step_context& at)
{
    const auto& shares = at.policy.widened_shares;
    if (!stage_is_done(at))
        return;
    const double share = next_share(at);
    if (at.move.phase == move_phase::trial)
        return enter(at, move_phase::widen, share);
    const std::size_t have = serving_of(at.move, at.view, at.move.to).size();
    if (have < needed_for(at.move, at.policy, share))
        return;
    if (at.move.stage < shares.size())
    {
        ++at.move.stage;
        return enter(at, move_phase::widen, std::max(share, at.move.share));
    }
    enter(at, move_phase::soak, share);
}

/// The part of the move's time that the soak is meant to take.
std::int64_t soak_part(const step_context& at)
{
    return static_cast<std::int64_t>(
        at.policy.soak_part * static_cast<double>(whole_time(at.move)));
}

/// The least soak; a move with little time has less, so that a good version
/// can be completed within it.
std::int64_t shortest_soak(const step_context& at)
{
    return std::min(milliseconds(at.policy.shortest_soak), soak_part(at) / 2);
}

std::int64_t soak_time(const step_context& at)
{
    return std::clamp(
        soak_part(at), shortest_soak(at), milliseconds(at.policy.longest_soak));
}

void progress(step_context& at)
{
    switch (at.move.phase)
    {
    case move_phase::load:
        if (serving_of(at.move, at.view, at.move.to).size() >=
            trial_size(at.move))
            enter(at, move_phase::trial, at.move.trial_share);
        break;
    case move_phase::trial:
    case move_phase::widen:
        widen(at);
        break;
    case move_phase::soak:
        if (stage_age(at) >= soak_time(at))
            end(at, move_phase::completed, "no worse than the old version");
        break;
    case move_phase::completed:
    case move_phase::taken_back:
        break;
    }
}

/// The move must have its end now.
void end_at_deadline(step_context& at)
{
    if (at.move.phase == move_phase::soak && stage_age(at) >= shortest_soak(at))
        return end(at, move_phase::completed, "no worse than the old version");
    end(at,
        move_phase::taken_back,
        "not done by the deadline, in phase " +
            std::string(to_name(at.move.phase)));
}

void decide(step_context& at)
{
    survey(at);
    if (near_deadline(at))
        return end_at_deadline(at);
    if (!apply_verdict(at))
        progress(at);
    if (!has_ended(at.move))
        choose_upstreams(at);
}

std::vector<order_load> order(step_context& at)
{
    version_move& move = at.move;
    at.changed |= settle_orders(move.orders, at.view, at.policy, at.wall);
    const auto reserve = static_cast<std::size_t>(
        std::max(1.0, std::round(at.policy.reserve * move.base)));
    auto orders = plan_orders(
        move,
        move.orders,
        at.view,
        at.policy,
        move.to,
        wanted_upstreams(at),
        reserve,
        at.wall);
    at.changed |= !orders.empty();
    return orders;
}

/// After the end: the winning version goes onto the other's upstreams. After
/// a taken-back move only as many as the service had.
std::vector<move_action> order_after_end(step_context& at)
{
    const version_move& move = at.move;
    const bool won = move.phase == move_phase::completed;
    const version_name& version = won ? move.to : move.from;
    if (version.empty())
        return {};
    auto& orders = at.memory.orders;
    settle_orders(orders, at.view, at.policy, at.wall);
    std::vector<move_action> actions;
    for (auto& each : plan_orders(
             move, orders, at.view, at.policy, version, move.base, 0, at.wall))
        actions.emplace_back(std::move(each));
    return actions;
}

} // namespace

std::vector<move_action> step(
    version_move& move,
    move_memory& memory,
    const evidence_view& view,
    const move_policy& policy,
    time_point now,
    wall_time wall)
{
    step_context at{move, memory, view, policy, now, wall};
    if (has_ended(move))
        return move.sequence > view.committed_sequence
                   ? std::vector<move_action>{}
                   : order_after_end(at);
    watch_domains(at);
    watch_capacity(at);
    absorb(at);
    if (move.sequence > view.committed_sequence)
        return {};
    decide(at);
    std::vector<order_load> orders;
    if (!has_ended(move))
        orders = order(at);
    at.changed |= memory.unsaved_evidence &&
                  now - memory.committed >= policy.checkpoint_time;
    if (!at.changed)
        return {};
    ++move.sequence;
    memory.committed = now;
    memory.unsaved_evidence = false;
    std::vector<move_action> actions{propose_advance{move}};
    for (auto& each : orders)
        actions.emplace_back(std::move(each));
    return actions;
}

} // namespace bergamotusher::rollout
