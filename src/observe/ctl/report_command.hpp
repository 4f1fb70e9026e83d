// `bergamotctl report`: reads every entry's metrics and prints their report.
#pragma once

#include "observe/ctl/run.hpp"

namespace bergamotusher::ctl
{

/// Prints the report since the start, or over `--over` seconds from now.
/// Entries that do not answer are named on standard error and left out.
exit_code run_report(const arguments& asked, const surroundings& world);

} // namespace bergamotusher::ctl
