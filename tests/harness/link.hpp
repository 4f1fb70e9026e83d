// A TCP link between two processes that a test can harm: cut both ways or one,
// slowed, reset, or with its open connections silent for good. Neither side is
// told, but by a reset.
#pragma once

#include <chrono>
#include <memory>
#include <string>

namespace bergamotusher::tests
{

/// Forwards connections to `from` on to `to`, on a thread of its own.
class link
{
public:
    link(const std::string& from, const std::string& to);
    ~link();
    link(const link&) = delete;
    link& operator=(const link&) = delete;

    /// Holds back everything until `mend`.
    void cut();
    /// Holds back what goes to the far side, or what comes from it.
    void cut_one_way(bool to_far_side);
    /// Holds each piece back for so long.
    void slow_down(std::chrono::milliseconds by);
    /// Ends cuts and delays.
    void mend();
    /// Resets all open connections.
    void reset();
    /// Nothing passes any more on the connections that are open now.
    void silence();

    struct state;

private:
    std::unique_ptr<state> state_;
};

} // namespace bergamotusher::tests
