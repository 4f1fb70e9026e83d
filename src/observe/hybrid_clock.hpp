// Hybrid logical clock: timestamps close to wall time, in which an effect is
// always later than its cause, however far the instances' clocks differ.
#pragma once

#include <bergamotusher/event.hpp>

#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace bergamotusher::observe
{

/// The state of one process's hybrid logical clock.
struct hybrid_clock
{
    /// The latest timestamp that the clock issued or received.
    hybrid_time last;
};

/// Issues the timestamp of a local event or of a message about to be sent. It
/// is later than every timestamp that `clock` issued or received. `wall_ms` is
/// in milliseconds since the Unix epoch and may go back.
hybrid_time next(hybrid_clock& clock, std::int64_t wall_ms);

/// Issues the timestamp of the receipt of a message with timestamp `remote`;
/// it is later than `remote` too.
hybrid_time
merge(hybrid_clock& clock, hybrid_time remote, std::int64_t wall_ms);

/// Formats `time` as `WALL.LOGICAL`, as used in time line queries.
std::string to_string(hybrid_time time);

/// Parses `WALL` or `WALL.LOGICAL`; `std::nullopt` if `text` is neither.
std::optional<hybrid_time> parse_hybrid_time(std::string_view text);

/// Milliseconds since the Unix epoch by the system clock.
std::int64_t system_wall_ms();

/// The hybrid clock that all worker threads of a process share. Thread-safe.
class process_clock
{
public:
    explicit process_clock(
        std::function<std::int64_t()> wall_ms = system_wall_ms);

    /// See `observe::next`.
    hybrid_time next();
    /// See `observe::merge`; called for each message from a peer.
    hybrid_time merge(hybrid_time remote);

private:
    std::function<std::int64_t()> wall_ms_;
    std::mutex mutex_;
    hybrid_clock clock_;
};

} // namespace bergamotusher::observe
