// `bergamotctl timeline`: prints the events of all processes in one order.
#pragma once

#include "observe/ctl/run.hpp"

#include <bergamotusher/event.hpp>

#include <vector>

namespace bergamotusher::ctl
{

/// Prints the merged time line; with `--follow` it polls for new events until
/// interrupted.
exit_code run_timeline(const arguments& args, const command_context& context);

/// Merges the time lines of several processes, causes before effects. An event
/// that several of them contain is kept once.
std::vector<event> merge_timelines(std::vector<std::vector<event>> timelines);

} // namespace bergamotusher::ctl
