// The hybrid logical clock: timestamps near wall time in which an effect never
// sorts before its cause, however the instances' clocks differ.
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
    /// The newest timestamp given or seen.
    hybrid_time last;
};

/// The timestamp of a local event or of a message about to be sent. Later
/// than every timestamp that `clock` gave or saw. `wall_ms` is milliseconds
/// since the Unix epoch and may go back.
hybrid_time next(hybrid_clock& clock, std::int64_t wall_ms);

/// The timestamp of the receipt of a message stamped `remote`; later than
/// `remote` too.
hybrid_time
merge(hybrid_clock& clock, hybrid_time remote, std::int64_t wall_ms);

/// `WALL.LOGICAL`, as queries and tables write it.
std::string to_string(hybrid_time time);

/// Reads `WALL` or `WALL.LOGICAL`; nothing if `text` is neither.
std::optional<hybrid_time> parse_hybrid_time(std::string_view text);

/// Milliseconds since the Unix epoch by the instance's clock.
std::int64_t system_wall_ms();

/// The hybrid clock that all duties of one process share. Thread-safe.
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
