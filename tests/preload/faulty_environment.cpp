// A library that tests preload into a process to make its disk and its time of
// day faulty on demand. It looks at files whose names begin with the value of
// FAULTY_ENVIRONMENT_FLAGS:
//
//   full      while it exists, writes below the folder FAULTY_ENVIRONMENT_DISK
//             store half of their bytes and fail with ENOSPC
//   stalled   while it exists, writes and syncs below that folder wait
//   clock     milliseconds that are added to the time of day
#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <dlfcn.h>
#include <fcntl.h>
#include <string>
#include <sys/stat.h>
#include <thread>
#include <unistd.h>

namespace
{

constexpr int max_tracked_files = 4096;
constexpr std::int64_t clock_poll_interval_ns = 50'000'000;
constexpr std::int64_t ns_per_s = 1'000'000'000;
constexpr std::int64_t ns_per_ms = 1'000'000;

std::array<std::atomic<bool>, max_tracked_files> is_on_disk;
std::atomic<std::int64_t> clock_read_at_ns{0};
std::atomic<std::int64_t> clock_offset_ns{0};

template<class Function>
Function next(const char* name)
{
    return reinterpret_cast<Function>(::dlsym(RTLD_NEXT, name));
}

std::string flag_path(const char* flag)
{
    const char* prefix = std::getenv("FAULTY_ENVIRONMENT_FLAGS");
    return prefix == nullptr ? std::string() : std::string(prefix) + flag;
}

bool is_set(const char* flag)
{
    const std::string path = flag_path(flag);
    return !path.empty() && ::access(path.c_str(), F_OK) == 0;
}

void wait_while_stalled()
{
    while (is_set("stalled"))
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
}

bool is_below_disk(const char* path)
{
    const char* folder = std::getenv("FAULTY_ENVIRONMENT_DISK");
    return folder != nullptr &&
           std::strncmp(path, folder, std::strlen(folder)) == 0;
}

bool is_tracked(int file)
{
    return file >= 0 && file < max_tracked_files && is_on_disk[file];
}

/// Reads the offset at most every `clock_poll_interval_ns`.
std::int64_t clock_offset(std::int64_t steady_ns)
{
    if (steady_ns - clock_read_at_ns < clock_poll_interval_ns)
        return clock_offset_ns;
    clock_read_at_ns = steady_ns;
    long long milliseconds = 0;
    if (std::FILE* file = std::fopen(flag_path("clock").c_str(), "re"))
    {
        if (std::fscanf(file, "%lld", &milliseconds) != 1)
            milliseconds = 0;
        std::fclose(file);
    }
    clock_offset_ns = milliseconds * ns_per_ms;
    return clock_offset_ns;
}

} // namespace

extern "C"
{

    int open(const char* path, int flags, ...)
    {
        static const auto real =
            next<int (*)(const char*, int, mode_t)>("open");
        mode_t mode = 0;
        if ((flags & (O_CREAT | O_TMPFILE)) != 0)
        {
            va_list arguments;
            va_start(arguments, flags);
            mode = va_arg(arguments, mode_t);
            va_end(arguments);
        }
        const int file = real(path, flags, mode);
        if (file >= 0 && file < max_tracked_files)
            is_on_disk[file] =
                (flags & O_ACCMODE) != O_RDONLY && is_below_disk(path);
        return file;
    }

    int close(int file)
    {
        static const auto real = next<int (*)(int)>("close");
        if (file >= 0 && file < max_tracked_files)
            is_on_disk[file] = false;
        return real(file);
    }

    ssize_t write(int file, const void* bytes, size_t size)
    {
        static const auto real =
            next<ssize_t (*)(int, const void*, size_t)>("write");
        if (!is_tracked(file))
            return real(file, bytes, size);
        wait_while_stalled();
        if (!is_set("full"))
            return real(file, bytes, size);
        // As on a real disk, the room that is left is filled first.
        if (size / 2 > 0)
            real(file, bytes, size / 2);
        errno = ENOSPC;
        return -1;
    }

    int fdatasync(int file)
    {
        static const auto real = next<int (*)(int)>("fdatasync");
        if (is_tracked(file))
            wait_while_stalled();
        return real(file);
    }

    int fsync(int file)
    {
        static const auto real = next<int (*)(int)>("fsync");
        if (is_tracked(file))
            wait_while_stalled();
        return real(file);
    }

    int clock_gettime(clockid_t clock, struct timespec* value)
    {
        static const auto real =
            next<int (*)(clockid_t, struct timespec*)>("clock_gettime");
        const int result = real(clock, value);
        if (result != 0 || clock != CLOCK_REALTIME)
            return result;
        struct timespec steady
        {
        };
        real(CLOCK_MONOTONIC, &steady);
        const std::int64_t now =
            value->tv_sec * ns_per_s + value->tv_nsec +
            clock_offset(steady.tv_sec * ns_per_s + steady.tv_nsec);
        value->tv_sec = now / ns_per_s;
        value->tv_nsec = now % ns_per_s;
        return 0;
    }

} // extern "C"
