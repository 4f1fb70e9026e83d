// Entry point of the daemon: reads the settings, handles signals, and runs the
// steps of the shutdown.
#include "daemon/daemon.hpp"
#include "daemon/supervisor.hpp"
#include "observe/logging.hpp"

#include <csignal>
#include <cstdlib>
#include <ctime>
#include <iostream>

using namespace bergamotusher;

namespace
{

constexpr int exit_settings = 2;
constexpr int exit_unhealthy = 3;
constexpr duration leave_timeout = 3s;
constexpr long signal_poll_nanoseconds = 100'000'000;

std::optional<std::string> environment_variable(const char* name)
{
    const char* value = std::getenv(name);
    if (value == nullptr)
        return std::nullopt;
    return std::string(value);
}

sigset_t block_signals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return set;
}

// Waits up to the poll interval for a signal; true if one arrived.
bool wait_for_signal(const sigset_t& set)
{
    const timespec wait{0, signal_poll_nanoseconds};
    return sigtimedwait(&set, nullptr, &wait) > 0;
}

// Drains until no request is left, the drain time is over, or a second signal
// arrives.
void drain(daemon_process& process, const settings& values, const sigset_t& set)
{
    process.drain(std::nullopt);
    const time_point end = now() + values.drain_time;
    while (!process.drained() && now() < end && !wait_for_signal(set))
        ;
}

// Gives the other control nodes time to replace this one as a voter; a signal
// ends the wait.
void wait_until_left(const daemon_process& process, const sigset_t& set)
{
    const time_point end = now() + leave_timeout;
    while (!process.left() && now() < end && !wait_for_signal(set))
        ;
}

int run(const settings& values)
{
    const sigset_t set = block_signals();
    daemon_process process(values);
    int code = 0;
    while (!wait_for_signal(set))
    {
        if (process.unhealthy())
        {
            code = exit_unhealthy;
            break;
        }
        if (process.drained())
            break;
    }
    if (!process.drained())
        drain(process, values, set);
    wait_until_left(process, set);
    process.stop();
    return code;
}

int run_action(const command_line& line)
{
    switch (line.action)
    {
    case command_line_action::help:
        std::cout << help_text();
        return 0;
    case command_line_action::version:
        std::cout << "bergamotusherd " BERGAMOTUSHER_VERSION "\n";
        return 0;
    case command_line_action::check:
        std::cout << "settings are good\n";
        return 0;
    case command_line_action::print_settings:
        std::cout << to_text(line.values);
        return 0;
    case command_line_action::run:
        break;
    }
    return run(line.values);
}

// Reads the token files, so that `--check` reports the same errors in them as a
// start.
std::optional<failure> check_files(const settings& values)
{
    for (const auto& [flag, file] :
         {std::pair{"--admin-token-file", values.admin_token_file},
          std::pair{"--upstream-token-file", values.upstream_token_file}})
    {
        const auto token = read_token(flag, file);
        if (const auto* error_found = std::get_if<failure>(&token))
            return *error_found;
    }
    return std::nullopt;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        const auto parsed =
            parse_command_line(argc, argv, environment_variable);
        const auto* error_found = std::get_if<failure>(&parsed);
        std::optional<failure> bad_file;
        if (error_found == nullptr)
            bad_file = check_files(std::get<command_line>(parsed).values);
        if (bad_file)
            error_found = &*bad_file;
        if (error_found != nullptr)
        {
            std::cerr << "bergamotusherd: " << error_found->detail << "\n";
            return exit_settings;
        }
        return run_action(std::get<command_line>(parsed));
    }
    catch (const std::exception& error)
    {
        std::cerr << "bergamotusherd: " << error.what() << "\n";
        return 1;
    }
}
