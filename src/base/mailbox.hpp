// A bounded queue from one thread to a thread that runs an Asio event loop.
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

/// Single-producer, single-consumer queue from a sending thread to an event
/// loop. `push` never blocks: if the queue is full, the value is refused and
/// counted, and the sender must slow down.
template<class T>
class mailbox
{
public:
    /// Values received in one step of the loop; others wait behind the timers
    /// and handlers that are due by then.
    static constexpr std::size_t default_values_per_step = 16;

    /// `receive` is called on `loop` for each value, in order.
    mailbox(
        boost::asio::io_context& loop,
        std::size_t capacity,
        std::function<void(T&&)> receive,
        std::size_t values_per_step = default_values_per_step)
        : loop_(loop)
        , queue_(capacity)
        , receive_(std::move(receive))
        , values_per_step_(values_per_step)
    {
    }

    /// Sends `value`. Returns false and leaves `value` unchanged if the queue
    /// is full. Only one thread may call this.
    bool push(T&& value)
    {
        if (queue_.write_available() == 0)
        {
            refused_.fetch_add(1, std::memory_order_relaxed);
            return false;
        }
        queue_.push(std::move(value));
        schedule_drain();
        return true;
    }

    /// Number of values that were refused because the queue was full.
    std::uint64_t refused() const
    {
        return refused_.load(std::memory_order_relaxed);
    }

private:
    void schedule_drain()
    {
        if (!scheduled_.exchange(true))
            boost::asio::post(loop_, [this] { drain(); });
    }

    void drain()
    {
        scheduled_.store(false);
        T value;
        for (std::size_t i = 0; i < values_per_step_ && queue_.pop(value); ++i)
            receive_(std::move(value));
        if (queue_.read_available() > 0)
            schedule_drain();
    }

    boost::asio::io_context& loop_;
    boost::lockfree::spsc_queue<T> queue_;
    std::function<void(T&&)> receive_;
    const std::size_t values_per_step_;
    std::atomic<bool> scheduled_{false};
    std::atomic<std::uint64_t> refused_{0};
};

} // namespace bergamotusher
