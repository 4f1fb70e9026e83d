// A TCP link between two processes that a test can cut: while it is cut,
// nothing passes, and neither side is told.
#pragma once

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
    void mend();

    struct state;

private:
    std::unique_ptr<state> state_;
};

} // namespace bergamotusher::tests
