// What a control node remembers of entries' reports; private to the control
// service's files.
#pragma once

#include "site/control_service.hpp"

#include <map>
#include <string>
#include <tuple>

namespace bergamotusher::site
{

/// What an entry saw of one version on one route since its start.
struct tally
{
    std::uint64_t good = 0;
    std::uint64_t bad = 0;
    std::uint64_t timed = 0;
    double log_sum = 0;
};

/// What one start of an entry reported last.
struct control_service::entry_load
{
    time_point heard_at;
    /// By service, version and route, since the entry's start.
    std::map<std::tuple<std::string, std::string, std::string>, tally> tallies;
    /// The same at the time when the move began that is judged.
    std::map<std::tuple<std::string, std::string, std::string>, tally> base;
    std::map<service_name, service_demand> demands;
};

} // namespace bergamotusher::site
