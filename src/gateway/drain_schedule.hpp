// When an entry that was told to stop goes through its steps, and which
// requests it still sends to upstreams.
#pragma once

#include <bergamotusher/time.hpp>

namespace bergamotusher::gateway
{

/// Times since the stop signal, in ascending order.
struct drain_schedule
{
    /// New requests are accepted until then, since callers cache the addresses
    /// of entries for a while.
    duration accepting{};
    /// Requests without an answer get a final one, early enough that its bytes
    /// leave the process.
    duration answering{};
    /// The process ends, before it is killed from outside.
    duration ending{};
};

/// The steps of a process that is killed `grace` after the stop signal.
drain_schedule schedule_drain(duration grace);

} // namespace bergamotusher::gateway
