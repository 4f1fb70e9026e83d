// Announces a fake upstream to the daemons and withdraws the announcement.
#pragma once

#include <nlohmann/json.hpp>

#include <functional>
#include <string>
#include <vector>

namespace bergamotusher::fakes
{

/// The announcement of a fake upstream and its receivers.
struct announcer_options
{
    /// Administration addresses (IP:PORT); each announcement goes to the first
    /// of them that answers.
    std::vector<std::string> admins;
    /// Bearer token.
    std::string token;
    std::string instance;
    /// Returns the announcement to send, with the present state.
    std::function<nlohmann::json()> announcement;
    /// Returns the events to report, with the present load. May be empty.
    std::function<nlohmann::json()> events;
};

/// Starts a thread that sends the announcement and the events every 500 ms.
void start_announcing(announcer_options options);

/// Stops the announcements and tells a daemon that the instance leaves.
void stop_announcing();

/// On SIGTERM or SIGINT: withdraws the announcement, continues to serve while
/// `is_busy` returns true, then ends the process with status 0. Blocks these
/// signals in the calling thread, so call it before any other thread starts.
void leave_on_signal(std::function<bool()> is_busy);

/// Splits a list at commas.
std::vector<std::string> split_list(const std::string& text);

} // namespace bergamotusher::fakes
