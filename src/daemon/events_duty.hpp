// Worker thread that collects events and observations from all other duties,
// keeps the time line and the counters, and writes event files and log lines.
#pragma once

#include "base/mailbox.hpp"
#include "observe/counters.hpp"
#include "observe/event_files.hpp"
#include "observe/hybrid_clock.hpp"
#include "observe/timeline.hpp"

#include <bergamotusher/event.hpp>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <variant>
#include <vector>

namespace bergamotusher
{

/// Settings of the events duty.
struct events_options
{
    node_id node;
    /// Number of events kept for `GET /v1/timeline`.
    std::size_t timeline_capacity = 16'384;
    /// Capacity of the queue from one duty, in events and observations.
    std::size_t queue_capacity = 4'096;
    /// If absent, events are kept in memory only.
    std::optional<observe::event_file_options> files;
};

using events_input = std::variant<event, observe::observation>;

/// Queue from one duty to the events duty; only one thread may write to it.
/// Never blocks: a value that does not fit in the queue is dropped and counted.
class events_port
{
public:
    events_port(
        node_id node,
        observe::process_clock& clock,
        boost::asio::io_context& loop,
        std::size_t capacity,
        std::function<void(events_input&&)> receive);

    /// Stamps `value` with this node and the current hybrid time, and enqueues
    /// it. Returns false if it was dropped.
    bool record(event value);

    /// Enqueues an observation. Returns false if it was dropped.
    bool observe(observe::observation value);

    /// Number of events and observations dropped so far.
    std::uint64_t dropped_count() const;

private:
    node_id node_;
    observe::process_clock& clock_;
    mailbox<events_input> queue_;
};

/// Owns the thread, the queues and the collected data. `timeline`, `metrics`,
/// `counters` and `heartbeat_count` may be called from any thread.
class events_duty
{
public:
    /// `clock` is the clock of the process, shared with the peers duty.
    events_duty(events_options options, observe::process_clock& clock);
    ~events_duty();
    events_duty(const events_duty&) = delete;
    events_duty& operator=(const events_duty&) = delete;

    /// Returns the port of the duty named `producer`, and creates it on the
    /// first call. Ports live as long as this object.
    events_port& port(const std::string& producer);

    /// Starts the thread. Events recorded before the start are kept.
    void start();

    /// Processes all queued events, flushes the files and joins the thread.
    void stop();

    std::vector<event> timeline(const observe::timeline_query& query) const;

    /// Returns all counters, including values dropped by full queues, in the
    /// Prometheus text format.
    std::string metrics() const;

    observe::counters counters() const;

    /// Increases at least once a second while the thread makes progress.
    std::uint64_t heartbeat_count() const;

private:
    void run();
    void run_periodic_work();
    void schedule_periodic_work();
    void receive(events_input&& input);
    void store_event(event&& value);
    void load_stored_events();

    events_options options_;
    observe::process_clock& clock_;
    boost::asio::io_context loop_;
    boost::asio::steady_timer timer_;
    std::thread thread_;
    /// Accessed only on the thread of the loop.
    bool stopping_ = false;
    std::atomic<std::uint64_t> heartbeat_count_{0};

    mutable std::mutex ports_mutex_;
    std::map<std::string, std::unique_ptr<events_port>> ports_;

    mutable std::mutex mutex_;
    observe::timeline timeline_;
    observe::counters counters_;
    std::optional<observe::event_files> files_;
};

} // namespace bergamotusher
