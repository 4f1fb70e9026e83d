// What an operator asked `bergamotctl` for, read from the command line.
#pragma once

#include "observe/hybrid_clock.hpp"
#include "observe/timeline.hpp"

#include <bergamotusher/enum_names.hpp>
#include <bergamotusher/error_kind.hpp>
#include <bergamotusher/time.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bergamotusher::ctl
{

/// What is to be done.
enum class command
{
    status,
    config_get,
    config_put,
    config_history,
    move_start,
    move_show,
    move_list,
    timeline,
    entries,
    upstreams,
    report
};

/// An IP address and port.
struct endpoint
{
    std::string host;
    std::string port;

    bool operator==(const endpoint&) const = default;
};

/// A checked command line.
struct arguments
{
    command what = command::status;
    std::vector<endpoint> admins;
    std::vector<endpoint> entries;
    /// Holds the bearer token; empty: none is sent.
    std::string token_file;
    /// JSON instead of tables.
    bool json = false;
    /// For one try at one address.
    duration timeout = 5s;
    /// Empty: one is made for a command that changes something.
    std::string idempotency_key;

    /// `classes`, `services` or `accounts`, and the name of one of them.
    std::string collection;
    std::string name;
    /// Where the new value is read from; `-` is standard input.
    std::string file;
    /// The configuration's revision that the change is based on; 0: nothing
    /// was ever set.
    std::uint64_t revision = 0;

    std::string service;
    std::string version;
    std::uint32_t deadline_s = 0;
    std::string move;

    observe::timeline_query query;
    bool follow = false;

    /// Seconds between the two readings of a report; 0: since the start.
    std::uint32_t over_s = 0;
    /// Where the report is drawn; empty: nowhere.
    std::string svg_file;
};

/// The command line asks for help or the version; `text` is to be printed.
struct information
{
    std::string text;
};

/// The command line is wrong; `detail` names the argument and the reason.
struct usage_error
{
    std::string detail;
};

using parsed_arguments = std::variant<arguments, information, usage_error>;

/// Reads a variable of the environment; nothing if it is not set.
using environment = std::function<std::optional<std::string>(const char*)>;

/// Reads and checks `words`, which begin after the program's name. A flag
/// wins over the environment.
parsed_arguments parse_arguments(
    const std::vector<std::string>& words, const environment& variable);

/// Reads `IP:PORT[,IP:PORT...]`; nothing if a part is not an address.
std::optional<std::vector<endpoint>> parse_endpoints(const std::string& text);

constexpr auto enum_names(command)
{
    using c = command;
    using row = enum_name<c>;
    return std::array{
        row{c::status, "status"},
        row{c::config_get, "config get"},
        row{c::config_put, "config put"},
        row{c::config_history, "config history"},
        row{c::move_start, "move start"},
        row{c::move_show, "move show"},
        row{c::move_list, "move list"},
        row{c::timeline, "timeline"},
        row{c::entries, "entries"},
        row{c::upstreams, "upstreams"},
        row{c::report, "report"}};
}

} // namespace bergamotusher::ctl
