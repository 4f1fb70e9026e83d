// An entry's current knowledge: the site and its lease, upstreams, version
// moves and limits. Written by the control link and read by the relay, both on
// one event loop.
#pragma once

#include "admission/shared_limit.hpp"
#include "admission/slot_share.hpp"
#include "gateway/crash_watch.hpp"
#include "gateway/placement.hpp"
#include "gateway/retry_budget.hpp"
#include "site/site_state.hpp"
#include "site/stated_limits.hpp"
#include "site/upstream_directory.hpp"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace bergamotusher::gateway
{

/// Outcomes of the requests to one version on one route.
struct version_tally
{
    std::uint64_t sent = 0;
    std::uint64_t successes = 0;
    std::uint64_t failures = 0;
    /// Number of answers whose latency was measured, and the sum of the natural
    /// logarithms of the latencies in ms.
    std::uint64_t latency_samples = 0;
    double log_latency_sum = 0;
};

struct tally_key
{
    service_name service;
    version_name version;
    std::string route;

    auto operator<=>(const tally_key&) const = default;
};

/// Requests of one service at this entry. `running` and `waiting` are current
/// values; tokens, sent and refused requests are counted since the start.
struct service_counts
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t prefill_tokens = 0;
    std::uint64_t sent = 0;
    std::uint64_t refused_for_limits = 0;
    /// Requests that arrived, counted since the start.
    std::uint64_t arrived = 0;
};

/// Requests sent to another failure domain, and the bytes of their messages,
/// both ways; counted since the start.
struct domain_traffic
{
    std::uint64_t requests = 0;
    std::uint64_t bytes = 0;
};

struct entry_view
{
    std::shared_ptr<const site::indexed_configuration> site;
    /// Requests with a key are accepted until then.
    time_point site_valid_until;
    /// The latest moment at which the site was known to be the newest.
    time_point site_confirmed_at;
    site::upstream_directory directory;
    /// No directory has been received since the start, and one is expected.
    bool awaiting_directory = false;
    /// One for each upstream of the directory whose state is not `gone`.
    std::map<upstream_id, std::unique_ptr<upstream_view>> upstreams;
    /// Without those in evacuated failure domains, which get no request.
    std::map<service_name, std::vector<upstream_view*>> by_service;
    site::evacuations evacuated;
    /// When this entry learned that an evacuation was withdrawn.
    std::map<failure_domain, time_point> evacuation_ended_at;
    std::map<service_name, site::version_move> moves;
    /// Number of entries that share the limits, including this one.
    std::uint32_t entries = 1;
    /// Difference between the true time of day and this process's uptime.
    std::int64_t true_time_offset_ms = 0;
    std::map<account_id, admission::window_usage> limit_usage;
    /// Amount of each account's limit that the leader granted this entry, and
    /// when this entry sent the report that was answered with it.
    admission::account_amounts grants;
    time_point grants_reported_at;
    /// Amounts that did not fit into the grants since the last report to the
    /// leader, and the accounts for which its last answer granted less.
    admission::account_amounts wanted;
    std::set<account_id> exhausted_limits;
    /// The leader should receive a report before the regular one is due.
    bool limits_nearly_used = false;
    /// A request waits for the answer to the next report to the leader.
    bool is_grant_awaited = false;
    /// The limits that upstreams name, and this entry's place among those that
    /// share them.
    site::limit_board upstream_limits;
    admission::entry_seat seat;
    /// Control nodes should hear of `upstream_limits` before the regular
    /// report.
    bool is_limit_report_due = false;
    crash_watch crashes;
    std::map<service_name, retry_budget> retry_budgets;
    part_request_rates rates;
    std::map<tally_key, version_tally> tallies;
    std::map<service_name, service_counts> services;
    /// How much of each service's requests may leave the failure domain.
    std::map<service_name, routing::exchange_state> exchanges;
    std::map<std::pair<service_name, failure_domain>, domain_traffic>
        left_domain;
    /// What first tokens showed of the speed of each service's engines.
    std::map<service_name, routing::prefill_speed> prefill_speeds;
    /// Length of a usage window; windows are aligned to the true time of day.
    duration usage_window = 5s;
    /// Requests whose answer began, by usage window and account.
    std::map<std::uint64_t, std::map<account_id, std::uint64_t>>
        started_requests;
};

/// Upstreams that return from an evacuation are taken to warm up for this long:
/// they may have become cold, and announce it within two intervals of 1.2 s.
inline constexpr duration evacuation_return_time = 2500ms;

/// Replaces the evacuations that are known by newer ones; returns whether they
/// were newer.
bool adopt_evacuations(
    entry_view& view, const site::evacuations& newer, time_point now);

/// The time of day that the nodes agree on, as a span since the Unix epoch.
duration true_time(const entry_view& view, time_point now);

/// The number of the usage window that contains `now`.
std::uint64_t usage_window_at(const entry_view& view, time_point now);

/// Updates `upstreams` and `by_service` from the directory. Returns the
/// addresses that no upstream uses any more.
std::vector<std::string> sync_upstreams(entry_view& view, time_point now);

/// Records a statement on an upstream's limit; true if the limit changed.
bool record_limit(entry_view& view, const site::stated_limit& value);

/// The upstreams to which a request of `service` may be sent. During a version
/// move these are the upstreams of the target version if `draw` (0 to 999) is
/// below the target's share, otherwise those of the old version, which is the
/// last one that was accepted. If that has no upstream, an active target serves
/// all: it is more likely good than bad, and is judged sooner. A rejected
/// version gets nothing even if no other has an upstream: a request that was
/// refused can be sent again, one that a bad version has run can often not.
std::vector<upstream_view*> eligible_upstreams(
    const entry_view& view, const service_name& service, std::uint32_t draw);

} // namespace bergamotusher::gateway
