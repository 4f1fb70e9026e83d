// Executes the commands of `bergamotctl`.
#pragma once

#include "observe/ctl/arguments.hpp"
#include "observe/ctl/failover.hpp"

#include <functional>
#include <iosfwd>
#include <string>

namespace bergamotusher::ctl
{

/// Exit status of `bergamotctl`.
enum class exit_code
{
    success = 0,
    /// The request was rejected or failed, or the output file could not be
    /// written; standard error has the reason.
    request_failed = 1,
    /// The command line or an input file is invalid.
    usage = 2,
    /// No address answered.
    unreachable = 3
};

/// Input, output and network access of a command; replaced in tests.
struct command_context
{
    std::istream& in;
    std::ostream& out;
    std::ostream& err;
    /// Sends one request to one address.
    send_function send_request;
    /// Waits for the given time; false ends a command that repeats until
    /// interrupted.
    std::function<bool(duration)> pause;
    /// The bearer token; may be empty.
    std::string token;
};

/// Executes the command of `args`.
exit_code run(const arguments& args, const command_context& context);

/// The HTTP request of the command, without the token. `body` is used by
/// `config put` only.
http_request request_of(const arguments& args, std::string body);

/// Prints the failures of `result` to `err` and returns the exit code for
/// them.
exit_code report_failures(const failover_result& result, std::ostream& err);

} // namespace bergamotusher::ctl
