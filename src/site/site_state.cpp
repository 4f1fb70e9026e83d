#include "site/site_state.hpp"

#include "site/move_history.hpp"
#include "site/site_codec.hpp"
#include "wire/site.pb.h"

#include <algorithm>

namespace bergamotusher::site
{

namespace
{

namespace pb = wire::site;

command_outcome
rejection(const site_state& state, error_kind kind, std::string detail)
{
    return {failure{kind, std::move(detail)}, state.version};
}

command_outcome replace(
    site_state& state,
    const pb::replace_site& from,
    const prepared_command& prepared)
{
    if (holds(state, from.version(), from.content()))
        return {std::nullopt, state.version};
    if (from.version() == state.version)
        return rejection(
            state,
            error_kind::revision_conflict,
            "version " + std::to_string(from.version()) +
                " is held with another content");
    if (const auto* wrong = std::get_if<failure>(&prepared.replacement))
        return {*wrong, state.version};
    state.version = from.version();
    state.content = std::make_shared<const std::string>(from.content());
    state.current = std::get<0>(prepared.replacement);
    return {std::nullopt, state.version};
}

command_outcome apply_command(
    site_state& state, const pb::start_move& from, std::int64_t now_ms)
{
    const service_name service{from.service()};
    if (!state.current || find_service(*state.current, service) == nullptr)
        return rejection(
            state,
            error_kind::unknown_service,
            "service \"" + service.value + "\" does not exist");
    version_move& move = state.moves[service];
    // A resent command finds the move that it started before.
    if (move.number != 0 && move.target.value == from.target() &&
        move.state != move_state::reverted &&
        now_ms < move.started_ms + from.duration_ms())
        return {std::nullopt, state.version};
    move =
        next_move(move, service, {from.target()}, now_ms, from.duration_ms());
    return {std::nullopt, state.version};
}

command_outcome
apply_command(site_state& state, const pb::advance_move& from, std::int64_t)
{
    const auto found = state.moves.find({from.service()});
    if (found == state.moves.end() || found->second.number != from.number() ||
        found->second.state != move_state::active)
        return rejection(
            state,
            error_kind::fenced,
            "the move of service \"" + from.service() + "\" has ended");
    found->second.state = static_cast<move_state>(from.state());
    found->second.share = from.share();
    found->second.reason = from.reason();
    return {std::nullopt, state.version};
}

command_outcome
apply_command(site_state& state, const pb::close_window& from, std::int64_t)
{
    for (const usage_window& each : state.windows)
        if (each.number == from.window())
            return rejection(
                state,
                error_kind::fenced,
                "usage window " + std::to_string(from.window()) + " is closed");
    usage_window window{from.window(), {}};
    for (const pb::account_amount& each : from.counts())
        window.counts[{each.account()}] =
            static_cast<std::uint64_t>(each.amount());
    state.windows.push_back(std::move(window));
    while (state.windows.size() > max_closed_windows)
        state.windows.pop_front();
    return {std::nullopt, state.version};
}

departure read(const pb::record_departure& from, std::int64_t recorded_ms)
{
    return {from.started_ms(), from.sequence(), from.is_gone(), recorded_ms};
}

void write(
    pb::record_departure& to, const upstream_id& id, const departure& from)
{
    to.set_upstream(id.value);
    to.set_started_ms(from.started_ms);
    to.set_sequence(from.sequence);
    to.set_is_gone(from.is_gone);
}

command_outcome apply_command(
    site_state& state, const pb::record_departure& from, std::int64_t now_ms)
{
    record_departure(state.departures, {from.upstream()}, read(from, now_ms));
    return {std::nullopt, state.version};
}

command_outcome apply_command(
    site_state& state, const pb::record_departures& from, std::int64_t now_ms)
{
    departure_map departures;
    for (const pb::record_departure& each : from.departures())
        departures[{each.upstream()}] = read(each, now_ms);
    record_departures(state.departures, departures);
    return {std::nullopt, state.version};
}

command_outcome apply_command(
    site_state& state, const pb::set_limit_ceilings& from, std::int64_t)
{
    admission::merge_ceilings(
        state.limit_ceilings, read_amounts(from.ceilings()));
    state.limit_entries = from.entries();
    return {std::nullopt, state.version};
}

command_outcome
apply_command(site_state& state, const pb::set_evacuation& from, std::int64_t)
{
    set_evacuated(state.evacuated, {from.domain()}, from.is_evacuated());
    return {std::nullopt, state.version};
}

command_outcome
apply_command(site_state& state, const prepared_command& prepared)
{
    if (prepared.message == nullptr)
        return rejection(
            state, error_kind::malformed_message, "the command cannot be read");
    const pb::site_command& command = *prepared.message;
    const std::int64_t now_ms = command.time_of_day_ms();
    switch (command.body_case())
    {
    case pb::site_command::kReplace:
        return replace(state, command.replace(), prepared);
    case pb::site_command::kStart:
        return apply_command(state, command.start(), now_ms);
    case pb::site_command::kAdvance:
        return apply_command(state, command.advance(), now_ms);
    case pb::site_command::kClose:
        return apply_command(state, command.close(), now_ms);
    case pb::site_command::kDepart:
        return apply_command(state, command.depart(), now_ms);
    case pb::site_command::kDepartures:
        return apply_command(state, command.departures(), now_ms);
    case pb::site_command::kLimit:
        return apply_command(state, command.limit(), now_ms);
    case pb::site_command::kEvacuation:
        return apply_command(state, command.evacuation(), now_ms);
    case pb::site_command::BODY_NOT_SET:
        break;
    }
    return rejection(
        state, error_kind::malformed_message, "the command cannot be read");
}

std::string encode_outcome(const command_outcome& outcome)
{
    pb::site_result result;
    if (outcome.wrong)
    {
        result.set_error(
            std::string(error_answer_for(outcome.wrong->kind).name));
        result.set_detail(outcome.wrong->detail);
    }
    result.set_version(outcome.version);
    return result.SerializeAsString();
}

pb::site_command make_command(wall_time now)
{
    pb::site_command command;
    command.set_time_of_day_ms(now.milliseconds);
    return command;
}

error_kind error_kind_by_name(std::string_view name)
{
    for (int i = static_cast<int>(error_kind::malformed_request);
         i <= static_cast<int>(error_kind::internal);
         ++i)
        if (error_answer_for(static_cast<error_kind>(i)).name == name)
            return static_cast<error_kind>(i);
    return error_kind::internal;
}

} // namespace

prepared_command prepare(
    configuration_parser parse,
    std::uint64_t held_version,
    std::string_view command)
{
    const auto message = std::make_shared<pb::site_command>();
    if (!message->ParseFromArray(
            command.data(), static_cast<int>(command.size())))
        return {};
    prepared_command prepared;
    if (message->has_replace() && message->replace().version() > held_version)
    {
        auto parsed = parse(message->replace().content());
        if (auto* value = std::get_if<configuration>(&parsed))
        {
            if (auto wrong = check(*value))
                prepared.replacement = std::move(*wrong);
            else
                prepared.replacement = index_configuration(std::move(*value));
        }
        else
            prepared.replacement = std::move(std::get<failure>(parsed));
    }
    prepared.message = message;
    return prepared;
}

bool holds(
    const site_state& state, std::uint64_t version, std::string_view content)
{
    return version < state.version ||
           (version == state.version && state.content &&
            *state.content == content);
}

std::string
apply(site_state& state, std::uint64_t index, const prepared_command& command)
{
    if (index <= state.applied)
        return encode_outcome(
            rejection(state, error_kind::fenced, "the index was applied"));
    state.applied = index;
    return encode_outcome(apply_command(state, command));
}

std::string snapshot(const site_state& state)
{
    pb::site_snapshot to;
    to.set_applied(state.applied);
    to.set_version(state.version);
    if (state.content)
        to.set_content(*state.content);
    for (const auto& [service, move] : state.moves)
        write(*to.add_moves(), move);
    for (const usage_window& window : state.windows)
    {
        pb::closed_window& closed = *to.add_windows();
        closed.set_window(window.number);
        for (const auto& [account, count] : window.counts)
            write(*closed.add_counts(), account, static_cast<double>(count));
    }
    for (const auto& [id, value] : state.departures)
    {
        pb::recorded_departure& recorded = *to.add_departures();
        write(*recorded.mutable_departure(), id, value);
        recorded.set_recorded_ms(value.recorded_ms);
    }
    for (const auto& [account, amount] : state.limit_ceilings)
        write(*to.add_limit_ceilings(), account, amount);
    to.set_limit_entries(state.limit_entries);
    for (const failure_domain& each : state.evacuated.domains)
        to.add_evacuated_domains(each.value);
    to.set_evacuation_revision(state.evacuated.revision);
    return to.SerializeAsString();
}

std::error_code
restore(site_state& state, configuration_parser parse, std::string_view bytes)
{
    pb::site_snapshot from;
    if (!from.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return error_kind::malformed_message;
    site_state restored;
    restored.applied = from.applied();
    restored.version = from.version();
    if (from.version() > 0)
    {
        auto parsed = parse(from.content());
        if (std::holds_alternative<failure>(parsed))
            return error_kind::malformed_message;
        restored.content = std::make_shared<const std::string>(from.content());
        restored.current =
            index_configuration(std::move(std::get<configuration>(parsed)));
    }
    for (const pb::move_value& each : from.moves())
    {
        version_move move = read(each);
        restored.moves.emplace(move.service, std::move(move));
    }
    for (const pb::closed_window& each : from.windows())
    {
        usage_window window{each.window(), {}};
        for (const pb::account_amount& count : each.counts())
            window.counts[{count.account()}] =
                static_cast<std::uint64_t>(count.amount());
        restored.windows.push_back(std::move(window));
    }
    for (const pb::recorded_departure& each : from.departures())
        restored.departures[{each.departure().upstream()}] =
            read(each.departure(), each.recorded_ms());
    restored.limit_ceilings = read_amounts(from.limit_ceilings());
    restored.limit_entries = from.limit_entries();
    restored.evacuated =
        read_evacuations(from.evacuated_domains(), from.evacuation_revision());
    state = std::move(restored);
    return {};
}

std::string
encode_replace(std::uint64_t version, std::string_view content, wall_time now)
{
    pb::site_command command = make_command(now);
    command.mutable_replace()->set_version(version);
    command.mutable_replace()->set_content(std::string(content));
    return command.SerializeAsString();
}

std::string encode_start_move(
    const service_name& service,
    const version_name& target,
    std::int64_t duration_ms,
    wall_time now)
{
    pb::site_command command = make_command(now);
    command.mutable_start()->set_service(service.value);
    command.mutable_start()->set_target(target.value);
    command.mutable_start()->set_duration_ms(duration_ms);
    return command.SerializeAsString();
}

std::string encode_advance_move(const version_move& to, wall_time now)
{
    pb::site_command command = make_command(now);
    pb::advance_move& move = *command.mutable_advance();
    move.set_service(to.service.value);
    move.set_number(to.number);
    move.set_state(static_cast<std::uint32_t>(to.state));
    move.set_share(to.share);
    move.set_reason(to.reason);
    return command.SerializeAsString();
}

std::string encode_close_window(const usage_window& window, wall_time now)
{
    pb::site_command command = make_command(now);
    command.mutable_close()->set_window(window.number);
    for (const auto& [account, count] : window.counts)
        write(
            *command.mutable_close()->add_counts(),
            account,
            static_cast<double>(count));
    return command.SerializeAsString();
}

std::string
encode_record_departures(const departure_map& departures, wall_time now)
{
    pb::site_command command = make_command(now);
    for (const auto& [id, value] : departures)
        write(*command.mutable_departures()->add_departures(), id, value);
    return command.SerializeAsString();
}

std::string encode_set_limit_ceilings(
    const admission::account_amounts& changed,
    std::uint32_t entries,
    wall_time now)
{
    pb::site_command command = make_command(now);
    command.mutable_limit()->set_entries(entries);
    for (const auto& [account, amount] : changed)
        write(*command.mutable_limit()->add_ceilings(), account, amount);
    return command.SerializeAsString();
}

std::string encode_set_evacuation(
    const failure_domain& domain, bool is_evacuated, wall_time now)
{
    pb::site_command command = make_command(now);
    command.mutable_evacuation()->set_domain(domain.value);
    command.mutable_evacuation()->set_is_evacuated(is_evacuated);
    return command.SerializeAsString();
}

command_outcome decode_result(std::string_view result)
{
    pb::site_result from;
    if (!from.ParseFromArray(result.data(), static_cast<int>(result.size())))
        return {
            failure{error_kind::malformed_message, "the result cannot be read"},
            0};
    command_outcome outcome{std::nullopt, from.version()};
    if (!from.error().empty())
        outcome.wrong =
            failure{error_kind_by_name(from.error()), from.detail()};
    return outcome;
}

} // namespace bergamotusher::site
