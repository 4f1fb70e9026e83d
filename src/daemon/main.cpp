// The daemon's entry point: settings, signals, and the order of shutdown.
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
constexpr duration leave_time = 3s;
constexpr long poll_nanoseconds = 100'000'000;

std::optional<std::string> variable(const char* name)
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

// Waits a little for a signal; true if one came.
bool signalled(const sigset_t& set)
{
    const timespec wait{0, poll_nanoseconds};
    return sigtimedwait(&set, nullptr, &wait) > 0;
}

// Drains until nothing is left, time is up, or a second signal comes.
void drain(daemon_process& process, const settings& values, const sigset_t& set)
{
    process.drain(std::nullopt);
    const time_point end = now() + values.drain_time;
    while (!process.drained() && now() < end && !signalled(set))
        ;
}

// Gives the other replicas a moment to replace this one.
void wait_to_leave(const daemon_process& process, const sigset_t& set)
{
    const time_point end = now() + leave_time;
    while (!process.left() && now() < end && !signalled(set))
        ;
}

int run(const settings& values)
{
    const sigset_t set = block_signals();
    daemon_process process(values);
    int code = 0;
    while (!signalled(set))
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
    wait_to_leave(process, set);
    process.stop();
    return code;
}

int act(const command_line& line)
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

// Reads the token files too, so that `--check` finds what a start would.
std::optional<failure> check_files(const settings& values)
{
    for (const auto& [flag, file] :
         {std::pair{"--admin-token-file", values.admin_token_file},
          std::pair{"--upstream-token-file", values.upstream_token_file}})
    {
        const auto token = read_token(flag, file);
        if (const auto* wrong = std::get_if<failure>(&token))
            return *wrong;
    }
    return std::nullopt;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        const auto parsed = parse_command_line(argc, argv, variable);
        const auto* wrong = std::get_if<failure>(&parsed);
        std::optional<failure> bad_file;
        if (wrong == nullptr)
            bad_file = check_files(std::get<command_line>(parsed).values);
        if (bad_file)
            wrong = &*bad_file;
        if (wrong != nullptr)
        {
            std::cerr << "bergamotusherd: " << wrong->detail << "\n";
            return exit_settings;
        }
        return act(std::get<command_line>(parsed));
    }
    catch (const std::exception& error)
    {
        std::cerr << "bergamotusherd: " << error.what() << "\n";
        return 1;
    }
}
