// One daemon process: builds all duties, connects them by mailboxes, and stops
// them in order.
#pragma once

#include "settings/settings.hpp"

#include <bergamotusher/error_kind.hpp>
#include <bergamotusher/time.hpp>

#include <memory>
#include <optional>
#include <variant>

namespace bergamotusher
{

/// The duties of one process, running from construction until `stop`.
class daemon_process
{
public:
    /// Starts all duties. Throws an exception derived from
    /// `std::runtime_error` if an address, a key or token file, or the data
    /// folder cannot be used.
    explicit daemon_process(const settings& values);
    ~daemon_process();

    /// Begins a graceful shutdown: accepted requests are finished or handed
    /// over, and this node leaves the voters. `deadline`: end of the instance,
    /// if known.
    void drain(std::optional<time_point> deadline);

    /// True once no accepted request is left after `drain`.
    bool drained() const;

    /// True once this node is neither the control leader nor a voter.
    bool left() const;

    /// True once a duty has failed or stalled: the process should drain and
    /// exit.
    bool unhealthy() const;

    /// Stops all duties and joins their threads.
    void stop();

private:
    struct components;
    std::unique_ptr<components> components_;
};

/// The first line of the file; a failure (`invalid_setting`) if it cannot be
/// read or is empty. An empty name gives an empty token.
std::variant<std::string, failure>
read_token(const char* flag, const std::string& file);

} // namespace bergamotusher
