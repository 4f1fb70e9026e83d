// Sending side of a mailbox for a duty that must not lose values.
#pragma once

#include "base/mailbox.hpp"

#include <bergamotusher/time.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <utility>

namespace bergamotusher
{

/// Keeps values that do not fit in the mailbox and tries again until they do.
/// The sending duty applies back-pressure by accepting no new work while the
/// outbox is congested.
template<class T>
class outbox
{
public:
    /// `loop` is the loop of the sending duty.
    outbox(boost::asio::io_context& loop, mailbox<T>& target)
        : target_(target), timer_(loop)
    {
    }

    void send(T value)
    {
        waiting_.push_back(std::move(value));
        if (!scheduled_)
            retry();
    }

    /// Returns whether values wait for room in the mailbox.
    bool congested() const
    {
        return !waiting_.empty();
    }

private:
    static constexpr duration retry_interval = 1ms;

    void retry_later()
    {
        if (scheduled_)
            return;
        scheduled_ = true;
        timer_.expires_after(retry_interval);
        timer_.async_wait(
            [this](const boost::system::error_code& error)
            {
                scheduled_ = false;
                if (!error)
                    retry();
            });
    }

    void retry()
    {
        while (!waiting_.empty() && target_.push(std::move(waiting_.front())))
            waiting_.pop_front();
        if (!waiting_.empty())
            retry_later();
    }

    mailbox<T>& target_;
    boost::asio::steady_timer timer_;
    std::deque<T> waiting_;
    bool scheduled_ = false;
};

} // namespace bergamotusher
