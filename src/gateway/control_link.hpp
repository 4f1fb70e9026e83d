// Updates an entry's view from the messages of the control nodes: the site and
// its lease, upstreams and version moves. Reports the entry's state to the
// control nodes. Runs on the entry's event loop.
#pragma once

#include "base/shared_clock.hpp"
#include "gateway/entry_view.hpp"
#include "gateway/relay.hpp"
#include "observe/decision_log.hpp"

#include <bergamotusher/ids.hpp>
#include <bergamotusher/time.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace bergamotusher::wire::site
{
class entry_report;
class control_report;
} // namespace bergamotusher::wire::site

namespace bergamotusher::gateway
{

struct control_link_options
{
    std::vector<node_id> seeds;
    std::string caller_address;
    failure_domain domain;
    /// Time between two reports to the leader.
    duration report_interval = 400ms;
    /// Reports to the leader for each report to another control node. Every
    /// control node hears of all entries, and has a fraction of a core.
    std::uint64_t leader_reports_per_report = 2;
    /// Time between two rounds of reports while the entry has no site with a
    /// valid lease, and the number of control nodes that get one in a round.
    duration unready_report_interval = 100ms;
    std::size_t unready_reports_at_once = 3;
    /// Requests with a key are accepted for this long after the last moment at
    /// which the site was known to be the newest. Operators bound it.
    duration site_lease = 4400ms;
    /// Minimum time between two reports to the leader while an account's limit
    /// is nearly used up.
    duration min_leader_report_interval = 100ms;
    /// Time between two reports of any entries to the leader, which has a
    /// fraction of a core: the more entries there are, the less often each of
    /// them reports.
    duration leader_time_per_report = 4ms;
    /// The same while a request waits for a grant.
    duration leader_time_per_awaited_grant = 2ms;
    /// Two rounds of reports: callers are not told of entries that have not
    /// reported for 1.5 s.
    duration max_leader_report_interval = 750ms;
    admission::sharing_options limits;
    /// A control node that has not replied for this long is considered lost.
    duration node_timeout = 2s;
    /// Upstreams that no control node has confirmed for this long are removed.
    duration upstream_retention = 60s;
    /// How long it is remembered that an upstream named a limit that it no
    /// longer names.
    duration withdrawn_limit_retention = 30s;
    /// Upstreams that the leader no longer lists are removed unless they were
    /// announced within this time.
    duration unlisted_retention = 5s;
    /// Length of a usage window; the control nodes have the same setting.
    duration usage_window = 5s;
    /// Number of past usage windows included in a report to the leader.
    std::uint64_t usage_windows_reported = 7;
    routing::prefill_speed_options prefill_speed;
    routing::exchange_options exchange;
    site::configuration_parser parse = nullptr;
};

class control_link
{
public:
    using send_function =
        std::function<void(const node_id& to, const std::string& entry_report)>;

    control_link(
        control_link_options options,
        entry_view& view,
        relay& requests,
        observe::decision_log& log,
        send_function send);

    /// Sends the reports that are due, and logs changes of the site's lease and
    /// of the reachability of control nodes.
    void tick(time_point now);

    void on_control_report(const node_id& from, std::string_view bytes);
    void on_directory(const node_id& from, std::string_view bytes);

    /// Whether the entry can serve: it holds a site with a valid lease and does
    /// not drain.
    bool ready(time_point now) const;
    /// Sets the configured control nodes after a reload of the settings.
    void add_seeds(const std::vector<node_id>& seeds);

    /// Starts the shutdown: the entry is no longer ready, and the control nodes
    /// are told at once.
    void drain(time_point now);

private:
    struct control_node
    {
        time_point last_report_at;
        time_point last_reply_at;
        /// Of the limits of upstreams that it knows, by its last reply.
        std::uint64_t limit_digest = 0;
        bool lost = false;
    };

    void send_reports(time_point now);
    void send_leader_report(time_point now);
    std::string encode_report(time_point now, bool to_leader);
    void write_limit_use(wire::site::entry_report& report, time_point now);
    void write_crashes(wire::site::entry_report& report, time_point now) const;
    void read_crashes(const wire::site::control_report& report, time_point now);
    /// The part of a report that lists the limits of upstreams.
    std::string encode_limits() const;
    /// Sends a report, with the limits of upstreams if the node knows others.
    void send_report(const node_id& to, const std::string& report);
    void install_evacuations(
        const node_id& from,
        const wire::site::control_report& report,
        time_point now);
    void read_limits(
        const node_id& from,
        const wire::site::control_report& report,
        time_point now);
    void read_rooms(const wire::site::control_report& report, time_point now);
    /// Moves the shares of requests that may leave the failure domain.
    void step_exchanges(time_point now);
    void install_grants(
        const wire::site::control_report& report, time_point report_sent_at);
    void install_site(
        std::uint64_t version, const std::string& content, time_point now);

    control_link_options options_;
    entry_view& view_;
    relay& relay_;
    observe::decision_log& log_;
    send_function send_;
    std::map<node_id, control_node> nodes_;
    node_id leader_;
    shared_clock clock_;
    time_point started_at_;
    /// Tells this process's reports from those of earlier ones, whatever its
    /// incarnation.
    std::uint64_t run_id_;
    time_point next_report_at_;
    time_point leader_reported_at_;
    time_point crashes_reported_at_;
    time_point limits_reported_at_;
    /// What the last report to the leader asked for.
    admission::account_amounts reported_wanted_;
    std::uint64_t report_round_ = 0;
    /// The next report goes to all control nodes.
    bool reports_to_all_ = true;
    bool draining_ = false;
    bool site_was_valid_ = false;
    /// The previous report to the leader, from which rates are computed.
    time_point rates_since_;
    std::map<service_name, service_counts> rate_baseline_;
};

} // namespace bergamotusher::gateway
