// Parses the command line of `bergamotctl`.
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

/// The commands of `bergamotctl`.
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

/// A parsed and validated command line.
struct arguments
{
    command what = command::status;
    std::vector<endpoint> admins;
    std::vector<endpoint> entries;
    /// File with the bearer token; no token is sent if empty.
    std::string token_file;
    /// Print JSON instead of tables.
    bool json = false;
    /// Timeout of each network operation of one try at one address.
    duration timeout = 5s;
    /// A random key is used if empty.
    std::string idempotency_key;

    /// `classes`, `services` or `accounts`.
    std::string collection;
    /// Name within the collection; empty selects the whole collection.
    std::string name;
    /// File with the new value; `-` is standard input.
    std::string file;
    /// Revision of the configuration that the change is based on; 0 if nothing
    /// has ever been set.
    std::uint64_t revision = 0;

    std::string service;
    std::string version;
    std::uint32_t deadline_s = 0;
    std::string move;

    observe::timeline_query query;
    bool follow = false;

    /// Seconds that the report covers, from now; 0 reports since process
    /// start.
    std::uint32_t over_s = 0;
    /// SVG file that the report is also drawn to; none if empty.
    std::string svg_file;
};

/// Result of `--help` or `--version`: text for standard output.
struct information
{
    std::string text;
};

/// The command line is invalid; `detail` names the argument and the reason.
struct usage_error
{
    std::string detail;
};

using parsed_arguments = std::variant<arguments, information, usage_error>;

/// Reads an environment variable; `std::nullopt` if it is not set.
using environment = std::function<std::optional<std::string>(const char*)>;

/// Parses and validates `words`, the arguments without the program's name. A
/// flag takes precedence over the environment.
parsed_arguments parse_arguments(
    const std::vector<std::string>& words, const environment& variable);

/// Parses `IP:PORT[,IP:PORT...]`; `std::nullopt` if a part is not an address.
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
