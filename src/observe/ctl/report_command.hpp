// `bergamotctl report`: reads the metrics of every entry and prints a report.
#pragma once

#include "observe/ctl/run.hpp"

namespace bergamotusher::ctl
{

/// Prints the report since process start, or over the next `--over` seconds.
/// Entries that do not answer are reported on standard error and omitted.
exit_code run_report(const arguments& args, const command_context& context);

} // namespace bergamotusher::ctl
