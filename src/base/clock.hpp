// The clocks of a process. Functions that decide never read them: they are
// given the present time.
#pragma once

#include <bergamotusher/time.hpp>

namespace bergamotusher
{

/// A monotonic time that goes on while the instance is suspended, so that a
/// lease runs out on time there too.
time_point uptime();

/// The time of day, which may jump.
wall_time time_of_day();

} // namespace bergamotusher
