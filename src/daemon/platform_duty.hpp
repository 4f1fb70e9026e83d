// Polls the platform's API for notices that instances will be reclaimed.
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

/// Counters of the platform duty; may be read on any thread.
struct platform_counters
{
    std::atomic<std::uint64_t> polls{0};
    std::atomic<std::uint64_t> failed_polls{0};
    std::atomic<std::uint64_t> notices{0};
};

/// Settings of the platform duty.
struct platform_options
{
    endpoint cloud;
    node_id node;
    failure_domain domain;
    /// Called once when a notice concerns the instance of this process;
    /// `deadline` is the end of the instance.
    std::function<void(time_point deadline)> on_own_notice;
};

/// Polls the platform's API and passes each notice to the serving duty once.
/// Used on the thread of `loop`, except for the counters.
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
