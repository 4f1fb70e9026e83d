// The log line of a change of the evacuated failure domains.
#pragma once

#include "observe/decision_log.hpp"
#include "site/evacuation.hpp"

#include <string_view>

namespace bergamotusher::site
{

/// Writes a line that names the domains now evacuated. `from` says who told.
void log_evacuations(
    observe::decision_log& log,
    const evacuations& now_evacuated,
    const evacuations& before,
    std::string_view from,
    time_point now);

} // namespace bergamotusher::site
