// Worker thread that passes the messages of the other duties to the request
// life cycle and executes the resulting actions. It owns all state of requests
// and upstreams, so that none of it needs a lock.
#pragma once

#include "admission/admission.hpp"
#include "base/mailbox.hpp"
#include "base/published.hpp"
#include "daemon/admin_duty.hpp"
#include "daemon/entry_view.hpp"
#include "daemon/events_duty.hpp"
#include "daemon/moves_duty.hpp"
#include "daemon/peers_duty.hpp"
#include "serving/life_cycle.hpp"
#include "settings/settings.hpp"

#include <bergamotusher/control.hpp>
#include <bergamotusher/serving.hpp>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace bergamotusher
{

/// Notice that the platform will reclaim an instance or a failure domain.
struct reclaim_notice
{
    /// If empty, the whole failure domain is reclaimed.
    std::string instance;
    failure_domain domain;
    time_point deadline;
};

/// Connections of the serving duty to the other duties.
struct serving_links
{
    mailbox<serving_action>& callers;
    mailbox<serving_action>& upstreams;
    /// Passes a proposal to the control duty; returns false if not possible.
    std::function<bool(proposal)> propose;
    peers_sender& peers;
    events_port& events;
    /// Returns the control leader; empty if unknown. Callable from any thread.
    std::function<node_id()> leader;
    /// Returns whether this process holds the leader lease at the given time.
    /// Callable from any thread.
    std::function<bool(time_point)> leads;
    /// Evidence for the moves duty of this process.
    mailbox<entry_evidence>& moves;
    /// Runs once, on the duty's loop, when a drain is complete: no accepted
    /// request is left, and the journal is idle or did not become idle in time.
    std::function<void()> on_drained;
};

/// Snapshot of the serving duty for other threads.
struct serving_snapshot
{
    std::string upstreams = R"({"upstreams":[]})";
    std::vector<move_upstream> move_upstreams;
    std::vector<membership::entry_address> entries;
    std::uint64_t open_requests = 0;
    std::uint64_t revision = 0;
    bool ready = false;
    bool draining = false;
    serving::life_cycle_counters counters;
    admission::admission_counters admission;
    std::uint64_t malformed_messages = 0;
    std::uint64_t rejected_before_start = 0;
};

/// Serving duty of one entry. Use it only on the thread of its loop, except for
/// `snapshot`, which any thread may call.
class serving_duty
{
public:
    serving_duty(
        boost::asio::io_context& loop,
        const settings& values,
        std::uint64_t incarnation,
        serving_links links);
    ~serving_duty();

    void take(serving_input&& input);
    void take(upstream_message&& message);
    void take(control_message&& news);
    void take(incoming_message&& message);
    void take(const reclaim_notice& notice);

    /// Starts a drain. From now on, callers are not given the address of this
    /// entry; callers that still have it are served for as long as the address
    /// is valid. After that the entry rejects new requests, and finishes or
    /// hands over the accepted ones. `deadline` is the time at which the
    /// instance is reclaimed, if known.
    void drain(std::optional<time_point> deadline);

    std::shared_ptr<const serving_snapshot> snapshot() const;

    struct state_data;

private:
    std::unique_ptr<state_data> state_;
};

} // namespace bergamotusher
