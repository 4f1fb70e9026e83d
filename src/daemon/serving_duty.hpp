// The serving duty: feeds the request life cycle with what the other duties
// tell, and carries its actions out. It owns all state of requests and of
// upstreams, so none of it needs a lock.
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

/// The platform is about to reclaim something.
struct reclaim_notice
{
    /// Empty: the whole failure domain.
    std::string instance;
    failure_domain domain;
    time_point deadline;
};

/// The rings that the serving duty writes to.
struct serving_links
{
    mailbox<serving_action>& callers;
    mailbox<serving_action>& upstreams;
    /// Hands a proposal to the control duty; false if it cannot.
    std::function<bool(proposal)> propose;
    peers_sender& peers;
    events_port& events;
    /// The control leader, as far as it is known; any thread.
    std::function<node_id()> leader;
    /// Whether this process holds the leader lease now; any thread.
    std::function<bool(time_point)> leads;
    /// Hands evidence to this process's own moves duty.
    mailbox<entry_evidence>& moves;
    /// Runs once, on the duty's loop, when nothing accepted is left.
    std::function<void()> on_drained;
};

/// What the serving duty shows to other threads.
struct serving_view
{
    std::string upstreams = R"({"upstreams":[]})";
    std::vector<move_upstream> for_moves;
    std::vector<membership::entry_address> entries;
    std::uint64_t open_requests = 0;
    std::uint64_t revision = 0;
    bool ready = false;
    bool draining = false;
    serving::life_cycle_counters counters;
    admission::admission_counters admission;
    std::uint64_t malformed_messages = 0;
    std::uint64_t refused_at_gate = 0;
};

/// The duty's state. Belongs to its loop; only `shown` is for other threads.
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
    void take(control_news&& news);
    void take(incoming_message&& message);
    void take(const reclaim_notice& notice);

    /// Is not handed out to callers from now on, serves those that still hold
    /// its address, then takes no new work, and finishes or hands over what
    /// was accepted. `deadline` is when the instance goes, if known.
    void drain(std::optional<time_point> deadline);

    std::shared_ptr<const serving_view> shown() const;

    struct state_data;

private:
    std::unique_ptr<state_data> state_;
};

} // namespace bergamotusher
