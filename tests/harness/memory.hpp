// Memory of a process that a test started.
#pragma once

#include <cstddef>
#include <sys/types.h>

namespace bergamotusher::tests
{

/// Memory of the smallest entry instance of the users' deployments, in bytes.
inline constexpr std::size_t entry_memory = std::size_t{389} << 20;

/// Limits the data of the process to an amount that a faulty one exceeds before
/// it troubles the machine.
void limit_memory(pid_t process);

/// The largest resident memory that the process has had, in bytes.
std::size_t peak_memory(pid_t process);

} // namespace bergamotusher::tests
