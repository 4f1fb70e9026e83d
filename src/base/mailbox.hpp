// A bounded ring from one duty to another that runs an Asio loop.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/lockfree/spsc_queue.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <utility>

namespace bergamotusher
{

/// Joins one sending thread to one receiving loop. `push` never blocks: a full
/// ring refuses the value and counts it, and the sender must hold back.
template<class T>
class mailbox
{
public:
    /// `receive` runs on `loop`, once for each value, in order.
    mailbox(
        boost::asio::io_context& loop,
        std::size_t capacity,
        std::function<void(T&&)> receive)
        : loop_(loop), ring_(capacity), receive_(std::move(receive))
    {
    }

    /// Hands `value` over; false, with `value` untouched, if the ring is full.
    /// Only one thread may push.
    bool push(T&& value)
    {
        if (ring_.write_available() == 0)
        {
            refused_.fetch_add(1, std::memory_order_relaxed);
            return false;
        }
        ring_.push(std::move(value));
        wake();
        return true;
    }

    /// How many values were refused because the ring was full.
    std::uint64_t refused() const
    {
        return refused_.load(std::memory_order_relaxed);
    }

private:
    void wake()
    {
        if (!scheduled_.exchange(true))
            boost::asio::post(loop_, [this] { drain(); });
    }

    void drain()
    {
        scheduled_.store(false);
        T value;
        while (ring_.pop(value))
            receive_(std::move(value));
    }

    boost::asio::io_context& loop_;
    boost::lockfree::spsc_queue<T> ring_;
    std::function<void(T&&)> receive_;
    std::atomic<bool> scheduled_{false};
    std::atomic<std::uint64_t> refused_{0};
};

} // namespace bergamotusher
