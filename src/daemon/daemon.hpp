// One daemon process: builds all duties, joins them by rings, and ends them
// in order.
#pragma once

#include "settings/settings.hpp"

#include <bergamotusher/error_kind.hpp>
#include <bergamotusher/time.hpp>

#include <memory>
#include <optional>
#include <variant>

namespace bergamotusher
{

/// A running process of the system.
class daemon_process
{
public:
    /// Starts all duties. Throws `std::system_error` if an address or the
    /// data folder cannot be used.
    explicit daemon_process(const settings& values);
    ~daemon_process();

    /// Begins a shutdown that cuts off nothing; `deadline` is when the
    /// instance goes, if known.
    void drain(std::optional<time_point> deadline);

    /// True once nothing accepted is left after `drain`.
    bool drained() const;

    /// True once this process is no voter that the others would miss.
    bool left() const;

    /// True once a duty has failed or stalled: the process should drain and
    /// exit.
    bool unhealthy() const;

    /// Ends all duties.
    void stop();

private:
    struct parts;
    std::unique_ptr<parts> parts_;
};

/// The first line of the file; a failure (`invalid_setting`) if it cannot be
/// read or is empty. An empty name gives an empty token.
std::variant<std::string, failure>
read_token(const char* flag, const std::string& file);

} // namespace bergamotusher
