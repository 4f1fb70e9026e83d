// Carries out the commands of `bergamotctl`.
#pragma once

#include "observe/ctl/arguments.hpp"
#include "observe/ctl/failover.hpp"

#include <functional>
#include <iosfwd>
#include <string>

namespace bergamotusher::ctl
{

/// What the program tells its parent.
enum class exit_code
{
    done = 0,
    /// Refused or failed; the problem's kind stands on standard error.
    refused = 1,
    usage = 2,
    /// No address answered.
    unreachable = 3
};

/// How a command reaches the world.
struct surroundings
{
    std::istream& in;
    std::ostream& out;
    std::ostream& err;
    /// Sends one request to one address.
    try_function attempt;
    /// Waits; false ends a command that would go on for ever.
    std::function<bool(duration)> pause;
    /// The bearer token; may be empty.
    std::string token;
};

/// Does what `asked` says.
exit_code run(const arguments& asked, const surroundings& world);

/// The one request of a command that is done by one. `body` is sent by
/// `config put` only.
http_request request_of(const arguments& asked, std::string body);

/// Prints what went wrong, and gives the exit code for it.
exit_code report_failures(const ask_result& result, std::ostream& err);

} // namespace bergamotusher::ctl
