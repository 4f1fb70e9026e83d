#include "harness/memory.hpp"

#include <fstream>
#include <stdexcept>
#include <string>
#include <sys/resource.h>

namespace bergamotusher::tests
{

void limit_memory(pid_t process)
{
    constexpr rlim_t limit = rlim_t{2} << 30;
    const rlimit bounds{limit, limit};
    if (::prlimit(process, RLIMIT_DATA, &bounds, nullptr) != 0)
        throw std::runtime_error("cannot limit the memory of a process");
}

std::size_t peak_memory(pid_t process)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    std::string name;
    while (status >> name)
    {
        std::size_t kilobytes = 0;
        if (name == "VmHWM:" && status >> kilobytes)
            return kilobytes * 1024;
        std::getline(status, name);
    }
    throw std::runtime_error("cannot read the memory of a process");
}

} // namespace bergamotusher::tests
