// Announces a fake upstream to the system, and takes it back.
#pragma once

#include <nlohmann/json.hpp>

#include <functional>
#include <string>
#include <vector>

namespace bergamotusher::fakes
{

/// Where and as what a fake announces itself.
struct announcer_options
{
    /// Administration addresses; each announcement goes to the first of them
    /// that answers.
    std::vector<std::string> admins;
    std::string token;
    std::string instance;
    /// The announcement to send now.
    std::function<nlohmann::json()> announcement;
    /// The load to report now.
    std::function<nlohmann::json()> events;
};

/// Starts a thread that announces every 500 ms.
void start_announcing(announcer_options options);

/// Says that the instance leaves. Announcing stops.
void stop_announcing();

/// On SIGTERM or SIGINT: says that the instance leaves, serves on while
/// `busy`, then ends the process. To be called before any other thread starts.
void leave_on_signal(std::function<bool()> busy);

/// Splits at commas.
std::vector<std::string> split_list(const std::string& text);

} // namespace bergamotusher::fakes
