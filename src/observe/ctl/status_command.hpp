// `bergamotctl status`: what every process says of itself, one row each.
#pragma once

#include "observe/ctl/run.hpp"

namespace bergamotusher::ctl
{

/// Asks every address. One that does not answer is named on standard error;
/// the command fails only if none does.
exit_code run_status(const arguments& asked, const surroundings& world);

} // namespace bergamotusher::ctl
