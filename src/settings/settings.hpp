// The daemon's settings: flags and environment variables, checked.
//
// Each flag `--some-name` can also be given as `BERGAMOTUSHER_SOME_NAME`; a
// flag wins over the environment.
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

/// An IP address and a port.
struct endpoint
{
    std::string ip;
    std::uint16_t port = 0;

    bool operator==(const endpoint&) const = default;
};

/// Parses "IP:PORT"; nothing if `text` is not that.
std::optional<endpoint> parse_endpoint(std::string_view text);

/// "IP:PORT".
std::string to_string(const endpoint& where);

/// Another daemon process, as `--peers` names it.
struct peer
{
    node_id id;
    endpoint address;
    failure_domain domain;
    /// Where callers and operators reach it; the default is its peer address
    /// with the ports of this process shifted alike.
    endpoint entry;
    endpoint admin;

    bool operator==(const peer&) const = default;
};

/// Everything that a daemon process is told from outside.
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
    /// Empty: this process keeps nothing over a restart.
    std::string data_dir;
    /// IP:PORT of the cloud API; none: no notices and no renting.
    std::optional<endpoint> cloud;
    std::string admin_token_file;
    std::string upstream_token_file;
    std::string peer_key_file;
    /// How long a shutdown waits for requests in flight.
    duration drain_time = 120s;
    std::string log_level = "info";
    std::string log_format = "text";

    bool operator==(const settings&) const = default;
};

/// What the command line asks for besides running.
enum class command_line_action
{
    run,
    check,
    print_settings,
    help,
    version
};

/// A command line that was understood.
struct command_line
{
    command_line_action action = command_line_action::run;
    settings values;
};

/// Looks an environment variable up; nothing if it is not set.
using environment = std::function<std::optional<std::string>(const char*)>;

/// Reads and checks flags and environment. The failure names the flag, the
/// value and the reason (`invalid_setting`).
std::variant<command_line, failure> parse_command_line(
    int argc, const char* const* argv, const environment& variables);

/// The text of `--help`.
std::string help_text();

/// One `--flag=value` line for each setting.
std::string to_text(const settings& values);

} // namespace bergamotusher
