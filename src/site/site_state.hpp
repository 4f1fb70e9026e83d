// The replicated site: the configuration in force, version moves, and the
// usage windows that were closed. Deterministic: equal logs give equal states
// on every replica. Commands and results are those of src/wire/site.proto.
#pragma once

#include "site/site.hpp"

#include <bergamotusher/enum_names.hpp>

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <string_view>

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

/// The order to move a service's requests to another version.
struct version_move
{
    service_name service;
    version_name target;
    move_state state = move_state::active;
    /// By the proposer's time of day, milliseconds since the Unix epoch.
    std::int64_t started_ms = 0;
    std::int64_t duration_ms = 0;
    /// Grows with each order for the service.
    std::uint64_t number = 0;
    /// Requests of the service that the target gets, per mille.
    std::uint32_t share = 0;
    std::string reason;

    bool operator==(const version_move&) const = default;
};

/// Requests that began in one usage window, by account.
struct usage_window
{
    std::uint64_t number = 0;
    std::map<account_id, std::uint64_t> counts;
};

/// Windows that are remembered, so that a new leader repeats the same counts.
inline constexpr std::size_t windows_kept = 64;

struct site_state
{
    std::uint64_t applied = 0;
    std::uint64_t version = 0;
    /// The operator's bytes; null before the first configuration.
    std::shared_ptr<const std::string> content;
    /// What `content` says; null if it is.
    std::shared_ptr<const lookup> current;
    std::map<service_name, version_move> moves;
    std::deque<usage_window> windows;
};

/// What became of a command.
struct command_outcome
{
    /// Empty if the command holds.
    std::optional<failure> wrong;
    std::uint64_t version = 0;
};

/// Applies the command at `index`; returns the encoded result.
std::string apply(
    site_state& state,
    parse_function parse,
    std::uint64_t index,
    std::string_view command);

std::string snapshot(const site_state& state);

/// Replaces `state`; it stays as it was on `malformed_message`.
std::error_code
restore(site_state& state, parse_function parse, std::string_view bytes);

// Commands, encoded. `now` is the proposer's time of day.

std::string
encode_replace(std::uint64_t version, std::string_view content, wall_time now);
std::string encode_start_move(
    const service_name& service,
    const version_name& target,
    std::int64_t duration_ms,
    wall_time now);
/// `to` names the move by its service and number, and what it becomes.
std::string encode_advance_move(const version_move& to, wall_time now);
std::string encode_close_window(const usage_window& window, wall_time now);

/// What `apply` returned; `malformed_message` if it cannot be read.
command_outcome decode_result(std::string_view result);

} // namespace bergamotusher::site
