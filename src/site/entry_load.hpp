// The last reports of an entry, as a control node keeps them. Private to the
// control service's files.
#pragma once

#include "site/control_service.hpp"
#include "site/move_evidence.hpp"

#include <map>

namespace bergamotusher::site
{

/// The last report of one run of an entry.
struct control_service::entry_load
{
    time_point reported_at;
    /// By service, version and route, since the entry's start.
    reported_counts counts;
    /// Value of `counts` when the version move that is being judged began.
    reported_counts baseline;
    std::map<service_name, service_demand> demands;
};

} // namespace bergamotusher::site
