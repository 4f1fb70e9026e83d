// A TCP proxy between two processes that injects network faults: data held back
// in one or both directions, delays, resets, and connections that stay open but
// pass no more data. Only a reset is visible to the two sides as an error.
#pragma once

#include <chrono>
#include <memory>
#include <string>

namespace bergamotusher::tests
{

/// Accepts connections at `from` (IP:PORT) and forwards their data to and from
/// `to` (IP:PORT), on a thread of its own. The near side is the process that
/// connects, the far side is `to`.
class link
{
public:
    link(const std::string& from, const std::string& to);
    ~link();
    link(const link&) = delete;
    link& operator=(const link&) = delete;

    /// Holds back all data until `mend`; connections stay open.
    void cut();
    /// Holds back the data to the far side, or the data from it, until `mend`.
    void cut_one_way(bool to_far_side);
    /// Delays each block of data by this time until `mend`.
    void slow_down(std::chrono::milliseconds by);
    /// Ends cuts and delays; data that was held back is forwarded.
    void mend();
    /// Resets all open connections (TCP RST).
    void reset();
    /// Passes no more data on the connections that are open now, for good. New
    /// connections are not affected.
    void silence();

    struct state;

private:
    std::unique_ptr<state> state_;
};

} // namespace bergamotusher::tests
