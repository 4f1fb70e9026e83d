// A child process of a test.
#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace bergamotusher::tests
{

/// A running program; killed with SIGKILL when the object is destroyed.
class child
{
public:
    /// Starts `program`. Its output and error output are appended to the file
    /// `log`. `variables` (NAME=VALUE) are added to the environment of the test
    /// process. Throws std::runtime_error if the program cannot be started.
    child(
        const std::string& program,
        const std::vector<std::string>& arguments,
        const std::string& log,
        std::vector<std::string> variables = {});
    ~child();
    child(child&& other) noexcept;
    child& operator=(child&& other) noexcept;

    /// Sends a signal; no effect if the process has ended.
    void send(int signal);
    /// Sends SIGKILL and waits for the end of the process.
    void kill();
    /// Waits up to `seconds` for the end of the process. Returns its exit code,
    /// or -1 if it still runs or was ended by a signal.
    int wait(double seconds);
    bool running();

    pid_t id() const
    {
        return id_;
    }

private:
    /// -1 once the process has ended.
    pid_t id_ = -1;
    /// As set by waitpid().
    int status_ = -1;
};

} // namespace bergamotusher::tests
