// One seeded run that checks the promises about the configuration: operators
// change it at random, also at the same time and with invalid content, and
// probes and reads show what each node obeys, while faults are injected.
#pragma once

#include "soak/soak_run.hpp"

namespace soak
{

run_result run_configuration_soak(const run_options& options);

/// Operators send hundreds of large configurations in quick succession, until
/// all processes are killed at once and started again. Control nodes have a
/// share of a processor from then on, or from the start of the run.
run_result run_long_history_soak(const run_options& options);

} // namespace soak
