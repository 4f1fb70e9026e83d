// `bergamotctl status`: prints the status of every process, one row each.
#pragma once

#include "observe/ctl/run.hpp"

namespace bergamotusher::ctl
{

/// Requests the status from every address. Reports one that fails on standard
/// error; the command fails only if all do.
exit_code run_status(const arguments& args, const command_context& context);

} // namespace bergamotusher::ctl
