#include "state/configuration_check.hpp"
#include "state/transitions.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bergamotusher::state
{

namespace
{

constexpr std::int64_t max_move_ms = 30LL * 24 * 3600 * 1000;

std::int64_t time_to_deadline_ms(const start_move& command, wall_time proposed)
{
    if (command.within_ms != 0)
        return command.within_ms;
    return command.deadline.milliseconds - proposed.milliseconds;
}

std::optional<failure> validate(
    const replicated_state& state,
    wall_time proposed,
    const start_move& command)
{
    const auto invalid = [](std::string detail)
    {
        return failure{error_kind::invalid_configuration, std::move(detail)};
    };
    if (state.current->services.count(command.service) == 0)
        return failure{
            error_kind::unknown_service,
            "service: there is no service '" + command.service.value + "'"};
    if (!is_name(command.to.value))
        return invalid("version: must be 1 to 128 letters, digits, '.', '_' "
                       "or '-'");
    const std::int64_t time = time_to_deadline_ms(command, proposed);
    if (time < state.bounds.min_move_time_ms || time > max_move_ms)
        return invalid("deadline: must be 1 minute to 30 days ahead");
    const auto settled_version = state.settled_versions.find(command.service);
    if (command.from == command.to ||
        (settled_version != state.settled_versions.end() &&
         settled_version->second == command.to))
        return invalid("version: is in force already");
    if (const auto* other = running_move(state, command.service))
        return failure{
            error_kind::revision_conflict,
            "move " + other->id.value + " to version " + other->to.value +
                " has not ended"};
    return std::nullopt;
}

version_move make_move(
    const replicated_state& state,
    move_id id,
    wall_time proposed,
    const start_move& command)
{
    version_move move;
    move.id = std::move(id);
    move.service = command.service;
    move.from = command.from;
    move.to = command.to;
    const auto settled_version = state.settled_versions.find(command.service);
    if (move.from.empty() && settled_version != state.settled_versions.end())
        move.from = settled_version->second;
    move.started = proposed;
    move.phase_started = proposed;
    move.deadline.milliseconds =
        proposed.milliseconds + time_to_deadline_ms(command, proposed);
    move.trial_share = state.current->services.at(command.service).trial_share;
    return move;
}

void erase_oldest_ended_moves(replicated_state& state)
{
    const auto is_older = [](const auto& a, const auto& b)
    {
        if (has_ended(a.second) != has_ended(b.second))
            return has_ended(a.second);
        return a.second.ended < b.second.ended;
    };
    while (state.moves.size() > state.bounds.max_ended_moves)
    {
        const auto oldest =
            std::min_element(state.moves.begin(), state.moves.end(), is_older);
        if (!has_ended(oldest->second))
            return;
        state.moves.erase(oldest);
    }
}

void publish_split(
    replicated_state& state, std::uint64_t index, const version_move& move)
{
    auto split = split_of(move);
    const auto found = state.current->splits.find(move.service);
    const bool unchanged = found == state.current->splits.end()
                               ? split.empty()
                               : found->second == split;
    if (unchanged)
        return;
    publish(
        state,
        index,
        "move",
        move.id.value,
        [&](configuration& to)
        {
            if (split.empty())
                to.splits.erase(move.service);
            else
                to.splits[move.service] = std::move(split);
        });
}

/// Order of the phases. `widen` counts as `trial`: a move may return from
/// widening to the trial, but never to an earlier phase otherwise.
int phase_order(move_phase phase)
{
    return phase == move_phase::widen ? static_cast<int>(move_phase::trial)
                                      : static_cast<int>(phase);
}

std::optional<failure>
validate(const version_move& current, const version_move& next)
{
    if (has_ended(current))
        return failure{
            error_kind::fenced,
            "the move has ended: " + std::string(to_name(current.phase))};
    if (next.sequence != current.sequence + 1)
        return failure{error_kind::fenced, "another step came first"};
    const bool unchanged = next.service == current.service &&
                           next.to == current.to &&
                           next.deadline == current.deadline &&
                           (current.from.empty() || next.from == current.from);
    const bool share_is_valid = next.share >= 0 && next.share <= 1 &&
                                next.control_share >= 0 &&
                                next.control_share <= 1;
    const bool goes_back = phase_order(next.phase) < phase_order(current.phase);
    if (!unchanged || !share_is_valid || goes_back)
        return failure{error_kind::malformed_message, "not a step of it"};
    return std::nullopt;
}

} // namespace

const version_move*
running_move(const replicated_state& state, const service_name& service)
{
    for (const auto& [id, each] : state.moves)
        if (each.service == service && !has_ended(each))
            return &each;
    return nullptr;
}

std::vector<version_share> split_of(const version_move& move)
{
    if (move.phase == move_phase::completed)
        return {{move.to, 1, {}, false}};
    if (move.from.empty())
        return {};
    const bool concentrated =
        move.phase == move_phase::trial || move.phase == move_phase::widen;
    if (move.phase == move_phase::taken_back || move.share <= 0 ||
        (concentrated && move.trial.empty()))
        return {{move.from, 1, {}, false}};
    std::vector<version_share> split{{move.to, move.share, move.trial, true}};
    double remaining = 1 - move.share;
    const double control_share = std::min(move.control_share, remaining);
    if (!move.control.empty() && control_share > 0)
    {
        split.push_back({move.from, control_share, move.control, false});
        remaining -= control_share;
    }
    if (remaining > 0)
        split.push_back({move.from, remaining, {}, false});
    return split;
}

command_outcome apply_start_move(
    replicated_state& state,
    std::uint64_t index,
    std::size_t number,
    wall_time proposed,
    const start_move& command)
{
    const std::string fingerprint = encode(command, wall_time{0});
    if (auto earlier =
            find_earlier_result(state, command.operator_key, fingerprint))
        return *earlier;
    command_outcome outcome;
    if (auto problem = validate(state, proposed, command))
    {
        outcome = refused_outcome(state, problem->kind, problem->detail);
    }
    else
    {
        outcome.move.value =
            "m" + std::to_string(index) + "-" + std::to_string(number);
        version_move move = make_move(state, outcome.move, proposed, command);
        publish_split(state, index, move);
        state.moves[outcome.move] = std::move(move);
        outcome.revision = state.current->revision;
        erase_oldest_ended_moves(state);
    }
    store_result(state, command.operator_key, fingerprint, outcome);
    return outcome;
}

command_outcome apply_advance_move(
    replicated_state& state, std::uint64_t index, const advance_move& command)
{
    const version_move& next = command.move;
    const auto found = state.moves.find(next.id);
    if (found == state.moves.end())
        return refused_outcome(
            state, error_kind::unknown_resource, "no such move");
    if (auto problem = validate(found->second, next))
        return refused_outcome(state, problem->kind, problem->detail);
    found->second = next;
    publish_split(state, index, next);
    if (next.phase == move_phase::completed)
        state.settled_versions[next.service] = next.to;
    if (next.phase == move_phase::taken_back && !next.from.empty())
        state.settled_versions[next.service] = next.from;
    command_outcome outcome;
    outcome.move = next.id;
    outcome.revision = state.current->revision;
    return outcome;
}

} // namespace bergamotusher::state
