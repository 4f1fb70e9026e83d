// The clocks of the operating system. Decision functions do not read them;
// they get the present time as an argument.
#pragma once

#include <bergamotusher/time.hpp>

namespace bergamotusher
{

/// Monotonic time that includes the time in which the instance was suspended,
/// so that a lease expires on time after a suspension, too.
time_point uptime();

/// The wall time, which may jump.
wall_time time_of_day();

/// Processor time that the calling thread has used.
duration thread_processor_time();
/// Processor time that all threads of the process have used.
duration process_processor_time();

} // namespace bergamotusher
