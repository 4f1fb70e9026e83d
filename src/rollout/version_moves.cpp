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

/// After the longest time of a stage, its required requests divided by this are
/// enough.
constexpr std::uint64_t late_stage_divisor = 4;

std::int64_t milliseconds(duration span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

std::int64_t move_duration_ms(const version_move& move)
{
    return move.deadline.milliseconds - move.started.milliseconds;
}

std::int64_t stage_age_ms(const step_context& context)
{
    return context.wall.milliseconds - context.move.phase_started.milliseconds;
}

bool near_deadline(const step_context& context)
{
    return context.wall.milliseconds >=
           context.move.deadline.milliseconds -
               milliseconds(context.policy.end_margin);
}

/// The traffic share that brings `count` upstreams to full load.
double loaded_share(const step_context& context, std::size_t count)
{
    const double base = std::max<double>(context.move.base, 1);
    const double utilisation = std::clamp(context.view.utilisation, 0.1, 1.0);
    return static_cast<double>(count) / base *
           context.policy.trial_utilisation / utilisation;
}

/// The share of the stage in which the trial upstreams are under full load.
double trial_load_share(const step_context& context)
{
    return std::clamp(
        loaded_share(context, context.move.trial.size()),
        context.move.trial_share,
        context.policy.max_trial_load_share);
}

/// The share that brings the control upstreams to full load, in addition to
/// their part of what all old upstreams get.
double full_load_control_share(const step_context& context)
{
    const auto controls = static_cast<double>(context.move.control.size());
    const auto old = static_cast<double>(
        serving_upstreams(context.move, context.view, context.move.from)
            .size());
    const double rest = 1 - context.move.share;
    if (controls == 0)
        return 0;
    if (controls >= old)
        return rest;
    const double wanted = loaded_share(context, 1) - rest / old;
    return std::clamp(wanted / (1 / controls - 1 / old), 0.0, 0.8 * rest);
}

void enter_phase(step_context& context, move_phase phase, double share)
{
    context.move.phase = phase;
    context.move.phase_started = context.wall;
    context.move.share = share;
    context.move.control_share = full_load_control_share(context);
    context.move.stage_observed = 0;
    context.memory.old_routes.clear();
    context.memory.new_routes.clear();
    context.changed = true;
}

void end_move(step_context& context, move_phase phase, std::string reason)
{
    enter_phase(context, phase, phase == move_phase::completed ? 1 : 0);
    context.move.reason = std::move(reason);
    context.move.ended = context.wall;
    context.move.tests.clear();
    context.move.orders.clear();
    context.move.trial.clear();
    context.move.control.clear();
}

/// Determines the old version, as the most frequent one, and the size of the
/// service, if not known yet.
void detect_old_version(step_context& context)
{
    std::map<version_name, std::uint32_t> counts;
    for (const upstream_view& each : context.view.upstreams)
        if (each.serving && each.version != context.move.to)
            ++counts[each.version];
    if (context.move.from.empty() && !counts.empty())
    {
        const auto most = std::max_element(
            counts.begin(),
            counts.end(),
            [](const auto& a, const auto& b) { return a.second < b.second; });
        context.move.from = most->first;
        context.changed = true;
    }
    if (context.move.base == 0 && counts.count(context.move.from) != 0)
    {
        context.move.base = counts.at(context.move.from);
        context.changed = true;
    }
}

/// The smallest number of upstreams that can carry the share, so that they are
/// under full load.
std::size_t wanted_carriers(const step_context& context)
{
    const double load =
        context.move.share * context.move.base * context.view.utilisation;
    const auto wanted = static_cast<std::size_t>(
        std::ceil(load / context.policy.trial_utilisation));
    return context.move.stage == 0 ? trial_size(context.move)
                                   : std::max(wanted, trial_size(context.move));
}

/// Replaces trial and control upstreams that no longer serve. In the soak all
/// upstreams of the version carry the share.
void choose_upstreams(step_context& context)
{
    version_move& move = context.move;
    std::vector<upstream_id> trial;
    std::vector<upstream_id> control;
    if (move.phase == move_phase::trial || move.phase == move_phase::widen)
        trial = pick_across_domains(
            move, context.view, move.to, wanted_carriers(context), move.trial);
    const bool needs_control =
        move.phase == move_phase::trial ||
        (move.phase == move_phase::widen && move.stage == 0);
    if (needs_control)
        control = pick_across_domains(
            move, context.view, move.from, trial.size(), move.control);
    if (trial == move.trial && control == move.control)
        return;
    move.trial = std::move(trial);
    move.control = std::move(control);
    move.control_share = full_load_control_share(context);
    context.changed = true;
}

/// Excludes a slow upstream from the trial, until another one shows whether the
/// version or only this upstream is slow.
void set_suspect(step_context& context, const upstream_id& suspect)
{
    version_move& move = context.move;
    move.suspects.push_back(suspect);
    const auto is_latency_of_suspect = [&](const test_stream& test)
    {
        return test.target == suspect;
    };
    move.tests.erase(
        std::remove_if(
            move.tests.begin(), move.tests.end(), is_latency_of_suspect),
        move.tests.end());
    // Restarts at stage 0, so that its replacement is tested under full load as
    // well.
    move.stage = 0;
    const double share =
        move.phase == move_phase::trial ? move.trial_share : move.share;
    enter_phase(context, move.phase, share);
}

/// Number of upstreams that carry the version's share.
std::size_t carriers(const step_context& context)
{
    return context.move.trial.empty()
               ? serving_upstreams(context.move, context.view, context.move.to)
                     .size()
               : std::max(context.move.trial.size(), trial_size(context.move));
}

verdict judge(const step_context& context)
{
    return judge(
        context.memory.known,
        context.move.tests,
        carriers(context),
        context.policy.tests);
}

/// Acts on the verdict of the tests. Returns whether the move ended or went
/// back to stage 0.
bool apply_verdict(step_context& context)
{
    const verdict result = judge(context);
    if (result.bad)
    {
        end_move(context, move_phase::taken_back, result.reason);
        return true;
    }
    if (context.view.entries_stopped > 0 &&
        2 * context.view.entries_stopped >= context.view.entries)
    {
        end_move(context, move_phase::taken_back, "entries stopped it");
        return true;
    }
    if (result.suspect.empty())
        return false;
    const bool is_confirmed =
        carriers(context) == 1 && !context.move.suspects.empty();
    if (is_confirmed)
        end_move(
            context,
            move_phase::taken_back,
            "slower than the old version on each upstream tried");
    else if (context.move.suspects.size() < context.policy.max_suspects)
        set_suspect(context, result.suspect);
    else
        return false;
    return true;
}

bool routes_are_covered(const step_context& context)
{
    double all = 0;
    for (const auto& [route, requests] : context.memory.old_routes)
        all += requests;
    for (const auto& [route, requests] : context.memory.old_routes)
    {
        const auto found = context.memory.new_routes.find(route);
        const double seen =
            found == context.memory.new_routes.end() ? 0 : found->second;
        if (requests >= context.policy.min_route_share * all &&
            seen < context.policy.min_route_requests)
            return false;
    }
    return true;
}

/// Whether each trial upstream has answered enough requests under full load;
/// only required in the stage meant for it.
bool load_is_covered(const step_context& context)
{
    if (context.move.phase != move_phase::widen || context.move.stage != 0)
        return true;
    const auto seen_at_full = [&](const upstream_id& id)
    {
        for (const test_stream& test : context.move.tests)
            if (test.metric == test_metric::first_token && test.target == id &&
                test.band == load_band::full &&
                test.observed >= context.policy.min_loaded_requests)
                return true;
        return false;
    };
    return std::all_of(
        context.move.trial.begin(), context.move.trial.end(), seen_at_full);
}

/// Whether the stage has enough evidence to proceed.
bool stage_is_done(const step_context& context)
{
    const verdict result = judge(context);
    const auto observed = context.move.stage_observed;
    const double longest = context.policy.max_stage_part *
                           static_cast<double>(move_duration_ms(context.move));
    const auto age = static_cast<double>(stage_age_ms(context));
    if (age >= longest && (!result.doubtful || age >= 2 * longest))
        return observed * late_stage_divisor >=
               context.policy.min_stage_requests;
    return !result.doubtful &&
           stage_age_ms(context) >=
               milliseconds(context.policy.min_stage_time) &&
           observed >= context.policy.min_stage_requests &&
           routes_are_covered(context) && load_is_covered(context);
}

/// The share of the next stage.
double next_share(const step_context& context)
{
    const auto& shares = context.policy.widened_shares;
    if (context.move.phase == move_phase::trial)
        return trial_load_share(context);
    return context.move.stage < shares.size() ? shares[context.move.stage]
                                              : context.policy.soak_share;
}

/// Number of upstreams that should run the version now. After the trial it is
/// that of the next stage, so that stages do not have to wait for loading.
std::size_t wanted_upstreams(const step_context& context)
{
    const std::size_t trial = trial_size(context.move);
    if (context.move.phase == move_phase::load ||
        context.move.phase == move_phase::trial)
        return trial;
    return std::max(
        trial,
        upstreams_needed(context.move, context.policy, next_share(context)));
}

void widen(step_context& context)
{
    const auto& shares = context.policy.widened_shares;
    if (!stage_is_done(context))
        return;
    const double share = next_share(context);
    if (context.move.phase == move_phase::trial)
        return enter_phase(context, move_phase::widen, share);
    const std::size_t have =
        serving_upstreams(context.move, context.view, context.move.to).size();
    if (have < upstreams_needed(context.move, context.policy, share))
        return;
    if (context.move.stage < shares.size())
    {
        ++context.move.stage;
        return enter_phase(
            context, move_phase::widen, std::max(share, context.move.share));
    }
    enter_phase(context, move_phase::soak, share);
}

/// Intended duration of the soak.
std::int64_t soak_target_ms(const step_context& context)
{
    return static_cast<std::int64_t>(
        context.policy.soak_time_part *
        static_cast<double>(move_duration_ms(context.move)));
}

/// Minimum duration of the soak; shorter for a short move, so that a good
/// version can be completed within it.
std::int64_t min_soak_ms(const step_context& context)
{
    return std::min(
        milliseconds(context.policy.min_soak), soak_target_ms(context) / 2);
}

std::int64_t soak_time_ms(const step_context& context)
{
    return std::clamp(
        soak_target_ms(context),
        min_soak_ms(context),
        milliseconds(context.policy.max_soak));
}

void advance_phase(step_context& context)
{
    switch (context.move.phase)
    {
    case move_phase::load:
        if (serving_upstreams(context.move, context.view, context.move.to)
                .size() >= trial_size(context.move))
            enter_phase(context, move_phase::trial, context.move.trial_share);
        break;
    case move_phase::trial:
    case move_phase::widen:
        widen(context);
        break;
    case move_phase::soak:
        if (stage_age_ms(context) >= soak_time_ms(context))
            end_move(
                context,
                move_phase::completed,
                "no worse than the old version");
        break;
    case move_phase::completed:
    case move_phase::taken_back:
        break;
    }
}

/// Ends the move at its deadline: completed if the soak was long enough, else
/// rolled back.
void end_at_deadline(step_context& context)
{
    if (context.move.phase == move_phase::soak &&
        stage_age_ms(context) >= min_soak_ms(context))
        return end_move(
            context, move_phase::completed, "no worse than the old version");
    end_move(
        context,
        move_phase::taken_back,
        "not done by the deadline, in phase " +
            std::string(to_name(context.move.phase)));
}

void decide(step_context& context)
{
    detect_old_version(context);
    if (near_deadline(context))
        return end_at_deadline(context);
    if (!apply_verdict(context))
        advance_phase(context);
    if (!has_ended(context.move))
        choose_upstreams(context);
}

std::vector<order_load> order_loads(step_context& context)
{
    version_move& move = context.move;
    context.changed |=
        update_orders(move.orders, context.view, context.policy, context.wall);
    const auto reserve = static_cast<std::size_t>(std::max(
        1.0, std::round(context.policy.old_version_reserve * move.base)));
    auto orders = plan_orders(
        move,
        move.orders,
        context.view,
        context.policy,
        move.to,
        wanted_upstreams(context),
        reserve,
        context.wall);
    context.changed |= !orders.empty();
    return orders;
}

/// Orders after the end of the move: the other upstreams load the version that
/// stays. After a rollback only as many as the service had at the start.
std::vector<move_action> order_loads_after_end(step_context& context)
{
    const version_move& move = context.move;
    const bool won = move.phase == move_phase::completed;
    const version_name& version = won ? move.to : move.from;
    if (version.empty())
        return {};
    auto& orders = context.memory.orders;
    update_orders(orders, context.view, context.policy, context.wall);
    std::vector<move_action> actions;
    for (auto& each : plan_orders(
             move,
             orders,
             context.view,
             context.policy,
             version,
             move.base,
             0,
             context.wall))
        actions.emplace_back(std::move(each));
    return actions;
}

} // namespace

std::vector<move_action> step(
    version_move& move,
    volatile_move_state& memory,
    const evidence_view& view,
    const move_policy& policy,
    time_point now,
    wall_time wall)
{
    step_context context{move, memory, view, policy, now, wall};
    if (has_ended(move))
        return move.sequence > view.committed_sequence
                   ? std::vector<move_action>{}
                   : order_loads_after_end(context);
    update_domain_losses(context);
    update_capacity_shortage(context);
    add_step_samples(context);
    if (move.sequence > view.committed_sequence)
        return {};
    decide(context);
    std::vector<order_load> orders;
    if (!has_ended(move))
        orders = order_loads(context);
    context.changed |= memory.unsaved_evidence &&
                       now - memory.last_commit >= policy.checkpoint_interval;
    if (!context.changed)
        return {};
    ++move.sequence;
    memory.last_commit = now;
    memory.unsaved_evidence = false;
    std::vector<move_action> actions{propose_advance{move}};
    for (auto& each : orders)
        actions.emplace_back(std::move(each));
    return actions;
}

} // namespace bergamotusher::rollout
