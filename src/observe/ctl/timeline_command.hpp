// `bergamotctl timeline`: the events of all processes in one order.
#pragma once

#include "observe/ctl/run.hpp"

#include <bergamotusher/event.hpp>

#include <vector>

namespace bergamotusher::ctl
{

/// Prints the merged time line; with `--follow` until interrupted.
exit_code run_timeline(const arguments& asked, const surroundings& world);

/// The time lines of several processes in one, causes before effects. An
/// event that two of them hold is kept once.
std::vector<event> merge_timelines(std::vector<std::vector<event>> timelines);

} // namespace bergamotusher::ctl
