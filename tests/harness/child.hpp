// A process that a test starts and ends, by its id.
#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace bergamotusher::tests
{

/// Starts `program` with `arguments`; ends it with SIGKILL when destroyed.
class child
{
public:
    /// Output goes to `log`; `variables` are NAME=VALUE, beside those of the
    /// test's own environment.
    child(
        const std::string& program,
        const std::vector<std::string>& arguments,
        const std::string& log,
        std::vector<std::string> variables = {});
    ~child();
    child(child&& other) noexcept;
    child& operator=(child&& other) noexcept;

    /// Sends a signal; does nothing once the process has ended.
    void send(int signal);
    /// Ends it at once and waits for its end.
    void kill();
    /// Waits for its end; its exit code, or -1 after `seconds` or by signal.
    int wait(double seconds);
    /// Whether it still runs.
    bool running();

    pid_t id() const
    {
        return id_;
    }

private:
    pid_t id_ = -1;
    int status_ = -1;
};

} // namespace bergamotusher::tests
