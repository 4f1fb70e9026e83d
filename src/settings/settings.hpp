// The daemon's settings, from flags and environment variables.
//
// Each flag `--some-name` can also be set by the environment variable
// `BERGAMOTUSHER_SOME_NAME`; the flag takes precedence.
#pragma once

#include <bergamotusher/error_kind.hpp>
#include <bergamotusher/ids.hpp>
#include <bergamotusher/time.hpp>

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace bergamotusher
{

/// An IPv4 address and a port.
struct endpoint
{
    std::string ip;
    std::uint16_t port = 0;

    bool operator==(const endpoint&) const = default;
};

/// Parses "IP:PORT"; nothing if `text` is not an IPv4 address with a port other
/// than 0.
std::optional<endpoint> parse_endpoint(std::string_view text);

/// Formats `where` as "IP:PORT".
std::string to_string(const endpoint& where);

/// A daemon process listed in `--peers`.
struct peer
{
    node_id id;
    endpoint address;
    failure_domain domain;
    /// Where callers and operators reach it. Equal to `address` if `--peers`
    /// gives no further ports.
    endpoint entry;
    endpoint admin;

    bool operator==(const peer&) const = default;
};

/// All settings of a daemon process.
struct settings
{
    node_id node;
    std::string region = "local";
    failure_domain domain;
    bool entry_role = true;
    bool control_role = true;
    endpoint entry_address{"127.0.0.1", 8080};
    endpoint admin_address{"127.0.0.1", 9080};
    endpoint peer_address{"127.0.0.1", 7080};
    std::vector<peer> peers;
    /// Directory of the replica's persistent state; required by the role
    /// control.
    std::string data_dir;
    /// Address of the cloud API. Without it the daemon receives no reclaim
    /// notices and rents no instances.
    std::optional<endpoint> cloud;
    std::string admin_token_file;
    std::string upstream_token_file;
    std::string peer_key_file;
    /// Maximum time that a shutdown waits for requests in flight.
    duration drain_time = 120s;
    std::string log_level = "info";
    std::string log_format = "text";

    bool operator==(const settings&) const = default;
};

/// What the command line asks the process to do.
enum class command_line_action
{
    run,
    check,
    print_settings,
    help,
    version
};

/// A parsed command line.
struct command_line
{
    command_line_action action = command_line_action::run;
    settings values;
};

/// Returns the value of an environment variable; nothing if it is not set.
using environment = std::function<std::optional<std::string>(const char*)>;

/// Parses and validates flags and environment variables. Errors:
/// `invalid_setting`, whose detail names the flag, the value and the reason.
std::variant<command_line, failure> parse_command_line(
    int argc, const char* const* argv, const environment& variables);

/// The text of `--help`.
std::string help_text();

/// Formats each setting as a line `--flag=value`.
std::string to_text(const settings& values);

} // namespace bergamotusher
