#include "daemon/events_duty.hpp"

#include "observe/logging.hpp"

#include <chrono>
#include <utility>

namespace bergamotusher
{

namespace
{

// Interval at which files are flushed and counter windows advance.
constexpr auto periodic_work_interval = 500ms;

time_point steady_now()
{
    return std::chrono::time_point_cast<duration>(
        std::chrono::steady_clock::now());
}

} // namespace

events_port::events_port(
    node_id node,
    observe::process_clock& clock,
    boost::asio::io_context& loop,
    std::size_t capacity,
    std::function<void(events_input&&)> receive)
    : node_(std::move(node))
    , clock_(clock)
    , queue_(loop, capacity, std::move(receive))
{
}

bool events_port::record(event value)
{
    value.at = clock_.next();
    value.node = node_;
    return queue_.push(std::move(value));
}

bool events_port::observe(observe::observation value)
{
    return queue_.push(std::move(value));
}

std::uint64_t events_port::dropped_count() const
{
    return queue_.refused();
}

events_duty::events_duty(events_options options, observe::process_clock& clock)
    : options_(std::move(options))
    , clock_(clock)
    , timer_(loop_)
    , timeline_(options_.timeline_capacity)
{
    if (options_.files)
        load_stored_events();
}

events_duty::~events_duty()
{
    stop();
}

void events_duty::load_stored_events()
{
    const auto stored_events = observe::read_newest_events(
        options_.files->folder, options_.timeline_capacity);
    for (const event& value : stored_events)
    {
        clock_.merge(value.at);
        append(timeline_, value);
    }
    files_ = observe::open_event_files(*options_.files);
}

events_port& events_duty::port(const std::string& producer)
{
    const std::lock_guard lock(ports_mutex_);
    auto& port = ports_[producer];
    if (!port)
        port = std::make_unique<events_port>(
            options_.node,
            clock_,
            loop_,
            options_.queue_capacity,
            [this](events_input&& input) { receive(std::move(input)); });
    return *port;
}

void events_duty::start()
{
    if (thread_.joinable())
        return;
    loop_.restart();
    stopping_ = false;
    schedule_periodic_work();
    thread_ = std::thread([this] { run(); });
}

void events_duty::stop()
{
    if (!thread_.joinable())
        return;
    // Once the timer is cancelled, the loop ends when its queues are empty. A
    // timer handler that is already queued cannot be cancelled, so `stopping_`
    // keeps it from setting the timer again.
    boost::asio::post(
        loop_,
        [this]
        {
            stopping_ = true;
            timer_.cancel();
        });
    thread_.join();
    const std::lock_guard lock(mutex_);
    if (files_)
        flush(*files_);
}

void events_duty::run()
{
    loop_.run();
}

void events_duty::schedule_periodic_work()
{
    timer_.expires_after(periodic_work_interval);
    timer_.async_wait(
        [this](const boost::system::error_code& error)
        {
            if (error || stopping_)
                return;
            run_periodic_work();
            schedule_periodic_work();
        });
}

void events_duty::run_periodic_work()
{
    ++heartbeat_count_;
    const std::lock_guard lock(mutex_);
    rotate_windows(counters_, steady_now());
    if (files_)
        flush(*files_);
}

void events_duty::receive(events_input&& input)
{
    const std::lock_guard lock(mutex_);
    if (auto* value = std::get_if<event>(&input))
        store_event(std::move(*value));
    else
        count(counters_, std::get<observe::observation>(input));
}

void events_duty::store_event(event&& value)
{
    count(counters_, value.kind);
    observe::log_event(value);
    if (files_)
        write_event(*files_, value);
    append(timeline_, std::move(value));
}

std::vector<event>
events_duty::timeline(const observe::timeline_query& query) const
{
    const std::lock_guard lock(mutex_);
    return select(timeline_, query);
}

std::string events_duty::metrics() const
{
    return prometheus_text(counters());
}

observe::counters events_duty::counters() const
{
    observe::counters copy;
    {
        const std::lock_guard lock(mutex_);
        copy = counters_;
        copy.events_overwritten = timeline_.overwritten;
        copy.events_not_written = files_ ? files_->failed : 0;
    }
    const std::lock_guard lock(ports_mutex_);
    for (const auto& [producer, port] : ports_)
        copy.queue_rejections["events_from_" + producer] =
            port->dropped_count();
    return copy;
}

std::uint64_t events_duty::heartbeat_count() const
{
    return heartbeat_count_;
}

} // namespace bergamotusher
