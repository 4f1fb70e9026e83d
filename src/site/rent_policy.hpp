// Decides how many upstreams of a service are rented in each failure domain, on
// demand or reclaimable. An order sets the number for one failure domain and
// market. Orders can be refused, and all reclaimable upstreams of a failure
// domain can be reclaimed at once.
#pragma once

#include "routing/prefill_speed.hpp"
#include "site/site.hpp"
#include "site/upstream_directory.hpp"

#include <bergamotusher/ids.hpp>
#include <bergamotusher/time.hpp>
#include <bergamotusher/upstream.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace bergamotusher::site
{

/// The service, failure domain and market that an order applies to.
struct rent_key
{
    service_name service;
    failure_domain domain;
    market paid_as = market::on_demand;

    bool operator==(const rent_key&) const = default;
    bool operator<(const rent_key& other) const
    {
        return std::tie(service, domain, paid_as) <
               std::tie(other.service, other.domain, other.paid_as);
    }
};

struct rent_options
{
    /// Fraction of an upstream's slots that are used at the planned load;
    /// beyond it decoding steps slow down and prompts queue.
    double slot_utilization = 0.31;
    /// Concurrent requests planned for an upstream that does not tell its
    /// slots.
    double requests_per_upstream = 20;
    /// Fraction of the learned prefill speed that is used at the planned load:
    /// the rest keeps prompts from queueing for each other.
    double prefill_utilization = 0.59;
    routing::prefill_speed_options prefill_speed;
    /// Fractions of the need that reclaimable upstreams must still carry after
    /// all of one failure domain, and of a second one, were reclaimed; reclaims
    /// come in series. They cost about a fifth of on-demand upstreams.
    double left_after_one_reclaim = 1.0;
    double left_after_two_reclaims = 0.8;
    /// Fraction of the need that must remain after one more failure domain is
    /// reclaimed, since replacements take the boot time to arrive. Reclaims
    /// come in series, so that the fraction is higher for a while after one.
    double insured_fraction = 0.5;
    double insured_fraction_after_reclaim = 0.9;
    duration reclaim_window = 20s;
    /// A failure domain counts as reclaimed if at least this many of its
    /// reclaimable upstreams, and more than are left, went within
    /// `reclaim_window`.
    std::uint32_t min_reclaimed = 2;
    /// Reclaimable upstreams are released only where the target is below this
    /// fraction of the live ones: they are cheap and may not be available again
    /// soon.
    double release_threshold = 0.6;
    /// Greatest factor by which the need grows for requests that were refused
    /// since upstreams name limits: those callers come back, and count again.
    double max_growth_for_refused = 4;
    /// Weight of a new demand report in the exponentially smoothed demand, per
    /// round.
    double demand_smoothing = 0.13;
    /// Weight of a new learned speed in the planned one, per round: where it is
    /// higher, and where it is lower. Engines seem slow while they are
    /// overloaded, and planning for that would rent more than is needed.
    double speed_gain_smoothing = 0.13;
    double speed_loss_smoothing = 0.01;
    /// The highest need within this time is planned for: load comes in waves,
    /// and a released upstream loses its caches.
    duration peak_window = 12s;
    /// Nothing is released before the demand has been observed for this long.
    duration settle_time = 7s;
    /// Reclaimable upstreams must have been ready for this long before they
    /// replace others: new ones are often reclaimed again soon.
    duration trust_after = 1500ms;
    /// An upstream without an announcement for this long is taken to have
    /// crashed: four announcement intervals of 1.2 s.
    duration crash_timeout = 4800ms;
    /// Time that all upstreams are given to announce themselves before
    /// on-demand numbers are ordered: an order based on fewer than exist would
    /// release some.
    duration announcement_grace = 2500ms;
    /// A refused order is not repeated for this long.
    duration refusal_backoff = 3s;
    /// An order without an answer is sent again after this time.
    duration answer_timeout = 1500ms;
    /// An accepted order that is not met is sent again after this time.
    duration resend_interval = 5s;
};

struct service_demand
{
    /// Requests running or queued at upstreams, over all entries.
    double requests = 0;
    /// Prompt tokens per second that upstreams must process.
    double prompt_tokens = 0;
    /// How fast one upstream processes prompts, as the entries have learned.
    routing::prefill_speed speed;
    /// A version move is active. The upstreams of both versions are needed
    /// until its verdict, so none is released.
    bool is_moving = false;
    /// Requests sent to upstreams per second, over all entries, and requests
    /// refused since upstreams name limits.
    double request_rate = 0;
    double refused_rate = 0;
    /// Requests per second that arrived, and those that run at upstreams.
    double arrival_rate = 0;
    double running = 0;
    /// Failure domains whose upstreams get no request: nothing is rented or
    /// released there, and the others carry the load.
    std::set<failure_domain> evacuated{};
    /// Requests per second that ready upstreams take at most, of those that
    /// name a limit.
    std::vector<double> limits;
};

/// Reclaimable upstreams to rent in each of `domains` failure domains, for each
/// upstream needed in all.
double reclaimable_per_need(const rent_options& options, std::size_t domains);

/// Prompt tokens per second that one upstream processes at the planned load.
double planned_prompt_rate(
    const rent_options& options, const routing::prefill_speed& speed);

/// The last order for one `rent_key`.
struct rent_order
{
    std::uint32_t count = 0;
    time_point sent_at;
    /// The order is not repeated or lowered before this time, unless it was
    /// fulfilled. It can be raised once it was answered.
    time_point resend_at;
    bool answered = false;
    /// The platform refused the order; nothing is available before this time.
    time_point unavailable_until;
};

struct rent_state
{
    /// When the policy first ran.
    std::optional<time_point> first_round_at;
    /// Smoothed demand by service, and when demand was first seen.
    std::map<service_name, service_demand> planned_demand;
    /// Speed of the engines that is planned with; only known ones.
    std::map<service_name, routing::prefill_speed> planned_speeds;
    std::map<service_name, time_point> demand_since;
    /// On-demand upstreams that a service had before any reclaimable one was
    /// rented: the operators' own estimate of the need.
    std::map<service_name, std::uint32_t> initial_on_demand;
    std::map<rent_key, rent_order> orders;
    /// Inputs of the last orders of a service, for log lines.
    struct basis
    {
        double need = 0;
        /// Live reclaimable upstreams that have been ready for `trust_after`.
        std::uint32_t trusted_reclaimable = 0;
        std::uint32_t on_demand = 0;
        bool reclaimed_lately = false;
    };
    std::map<service_name, basis> last_basis;
    /// Peaks of the need (in upstreams) by service, each with the time at which
    /// it expires; later peaks are lower.
    std::map<service_name, std::vector<std::pair<time_point, double>>>
        recent_peaks;
};

struct target_count
{
    rent_key key;
    std::uint32_t count = 0;

    bool operator==(const target_count&) const = default;
};

/// Orders to send now. Returned orders are recorded as sent.
std::vector<target_count> due_orders(
    const rent_options& options,
    rent_state& state,
    const service& service,
    const service_demand& demand,
    const upstream_directory& directory,
    time_point now);

/// Records that the order was refused because nothing is available.
void record_refusal(
    const rent_options& options,
    rent_state& state,
    const rent_key& key,
    time_point now);

void record_acceptance(
    const rent_options& options, rent_state& state, const rent_key& key);

} // namespace bergamotusher::site
