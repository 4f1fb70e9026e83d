// The events duty: takes events and observations from all other duties, keeps
// the time line and the counters, writes files and log lines.
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

/// How the events duty is set up.
struct events_options
{
    node_id node;
    /// Events that `GET /v1/timeline` can answer from.
    std::size_t timeline_capacity = 16'384;
    /// Events and observations under way from one duty.
    std::size_t ring_capacity = 4'096;
    /// Absent: events are kept in memory only.
    std::optional<observe::event_file_options> files;
};

using events_input = std::variant<event, observe::observation>;

/// One duty's way to the events duty; only one thread may use it. Nothing
/// blocks: what a full ring refuses is lost, and counted.
class events_port
{
public:
    events_port(
        node_id node,
        observe::process_clock& clock,
        boost::asio::io_context& loop,
        std::size_t capacity,
        std::function<void(events_input&&)> receive);

    /// Stamps `value` with this node and the present hybrid time, and sends
    /// it. False if it was lost.
    bool record(event value);

    /// Sends an observation. False if it was lost.
    bool observe(observe::observation value);

    /// Events and observations lost so far.
    std::uint64_t lost() const;

private:
    node_id node_;
    observe::process_clock& clock_;
    mailbox<events_input> ring_;
};

/// The duty itself. The queries may be called from any thread.
class events_duty
{
public:
    /// `clock` is the process's own, which the peers duty shares.
    events_duty(events_options options, observe::process_clock& clock);
    ~events_duty();
    events_duty(const events_duty&) = delete;
    events_duty& operator=(const events_duty&) = delete;

    /// The port of the duty called `producer`; the same one each time. Ports
    /// live as long as this object.
    events_port& port(const std::string& producer);

    /// Starts the thread. Events recorded before are kept.
    void start();

    /// Takes what was recorded so far, writes it out and ends the thread.
    void stop();

    std::vector<event> timeline(const observe::timeline_query& query) const;

    /// All counters, rings included, in the Prometheus text format.
    std::string metrics() const;

    observe::counters counters() const;

    /// Grows while the duty is alive, at least once a second.
    std::uint64_t beats() const;

private:
    void run();
    void beat();
    void schedule_beat();
    void receive(events_input&& input);
    void take(event&& value);
    void restore();

    events_options options_;
    observe::process_clock& clock_;
    boost::asio::io_context loop_;
    boost::asio::steady_timer timer_;
    std::thread thread_;
    /// Belongs to the loop.
    bool stopping_ = false;
    std::atomic<std::uint64_t> beats_{0};

    mutable std::mutex ports_mutex_;
    std::map<std::string, std::unique_ptr<events_port>> ports_;

    mutable std::mutex mutex_;
    observe::timeline timeline_;
    observe::counters counters_;
    std::optional<observe::event_files> files_;
};

} // namespace bergamotusher
