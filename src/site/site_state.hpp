// The replicated state of a site: the configuration in force, version moves,
// closed usage windows, departures of upstreams, ceilings of limits, and
// evacuated failure domains.
// Deterministic: equal logs give equal states on every replica. Commands and
// results are the messages of src/wire/site.proto.
#pragma once

#include "admission/shared_limit.hpp"
#include "site/departures.hpp"
#include "site/evacuation.hpp"
#include "site/site.hpp"

#include <bergamotusher/enum_names.hpp>

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace bergamotusher::wire::site
{
class site_command;
} // namespace bergamotusher::wire::site

namespace bergamotusher::site
{

enum class move_state
{
    active,
    completed,
    reverted
};

constexpr auto enum_names(move_state)
{
    using row = enum_name<move_state>;
    return std::array{
        row{move_state::active, "active"},
        row{move_state::completed, "completed"},
        row{move_state::reverted, "reverted"}};
}

/// A move of a service's requests to another version.
struct version_move
{
    service_name service;
    version_name target;
    move_state state = move_state::active;
    /// Start by the proposer's time of day, milliseconds since the Unix epoch.
    std::int64_t started_ms = 0;
    std::int64_t duration_ms = 0;
    /// Increases with each move of the service.
    std::uint64_t number = 0;
    /// Share of the service's requests that the target gets, per mille.
    std::uint32_t share = 0;
    std::string reason;
    /// Targets of earlier moves that were not accepted, oldest first, and the
    /// target of the last move that was completed before this one; empty if
    /// none was.
    std::vector<version_name> rejected{};
    version_name accepted{};

    bool operator==(const version_move&) const = default;
};

/// Number of requests that began in one usage window, by client account.
struct usage_window
{
    std::uint64_t number = 0;
    std::map<account_id, std::uint64_t> counts;
};

/// Closed windows that are kept, so that a new leader reports the same counts.
inline constexpr std::size_t max_closed_windows = 64;

struct site_state
{
    std::uint64_t applied = 0;
    std::uint64_t version = 0;
    /// The configuration as the operator sent it; null before the first one.
    std::shared_ptr<const std::string> content;
    /// The parsed and indexed `content`; null if that is null.
    std::shared_ptr<const indexed_configuration> current;
    std::map<service_name, version_move> moves;
    std::deque<usage_window> windows;
    departure_map departures;
    /// See admission/shared_limit.hpp.
    admission::account_amounts limit_ceilings;
    /// Number of entries that shared the limits then.
    std::uint32_t limit_entries = 0;
    evacuations evacuated;
};

/// Result of a command.
struct command_outcome
{
    /// Empty if the command was applied or was applied before.
    std::optional<failure> wrong;
    std::uint64_t version = 0;
};

/// A command that was decoded and, if it replaces the configuration, checked:
/// what takes long in applying it. Independent of the state.
struct prepared_command
{
    /// Null if the command cannot be read.
    std::shared_ptr<const wire::site::site_command> message;
    /// The new configuration, or why it is invalid; null for other commands.
    std::variant<std::shared_ptr<const indexed_configuration>, failure>
        replacement;
};

/// `held_version` is the version of the state or an older one: a configuration
/// that does not exceed it is not parsed.
prepared_command prepare(
    configuration_parser parse,
    std::uint64_t held_version,
    std::string_view command);

/// Applies the command at log position `index`; returns the encoded result.
std::string
apply(site_state& state, std::uint64_t index, const prepared_command& command);

std::string snapshot(const site_state& state);

/// Replaces `state` by a snapshot; on `malformed_message` it stays unchanged.
std::error_code
restore(site_state& state, configuration_parser parse, std::string_view bytes);

// Encoders of commands. `now` is the proposer's time of day.

/// Whether a replacement by `version` would be accepted and change nothing:
/// the state has a higher version, or has this one with the same content.
bool holds(
    const site_state& state, std::uint64_t version, std::string_view content);

std::string
encode_replace(std::uint64_t version, std::string_view content, wall_time now);
std::string encode_start_move(
    const service_name& service,
    const version_name& target,
    std::int64_t duration_ms,
    wall_time now);
/// `to` holds the service and number of the move and its new state, share and
/// reason.
std::string encode_advance_move(const version_move& to, wall_time now);
std::string encode_close_window(const usage_window& window, wall_time now);
/// `value.recorded_ms` is ignored: the departure is recorded at `now`.
std::string
encode_record_departures(const departure_map& departures, wall_time now);
/// An amount of 0 removes the account's ceiling.
std::string encode_set_limit_ceilings(
    const admission::account_amounts& changed,
    std::uint32_t entries,
    wall_time now);

std::string encode_set_evacuation(
    const failure_domain& domain, bool is_evacuated, wall_time now);

/// Decodes the result of `apply`; the outcome is `malformed_message` if it
/// cannot be parsed.
command_outcome decode_result(std::string_view result);

} // namespace bergamotusher::site
