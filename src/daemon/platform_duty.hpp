// Watches the platform's reclaim notices. Belongs to its duty's loop.
#pragma once

#include "base/mailbox.hpp"
#include "daemon/serving_duty.hpp"
#include "settings/settings.hpp"

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>

namespace bergamotusher
{

/// Counts; read from any thread.
struct platform_counters
{
    std::atomic<std::uint64_t> polls{0};
    std::atomic<std::uint64_t> failed_polls{0};
    std::atomic<std::uint64_t> notices{0};
};

/// What the platform duty is told at its start.
struct platform_options
{
    endpoint cloud;
    node_id node;
    failure_domain domain;
    /// This process's own instance will be reclaimed. Runs once.
    std::function<void(time_point deadline)> on_own_notice;
};

/// Polls the cloud API and passes each notice on once.
class platform_duty
{
public:
    platform_duty(
        boost::asio::io_context& loop,
        mailbox<reclaim_notice>& serving,
        platform_options options);
    ~platform_duty();

    const platform_counters& counters() const;

    struct state_data;

private:
    std::shared_ptr<state_data> state_;
};

} // namespace bergamotusher
