// Decides how much of the requests that arrive in a failure domain may be
// served in each other one, per service.
//
// It rests on arrivals and not on where requests run, so that what is decided
// does not change its own inputs: old reports delay it, but do not make it
// swing. What a domain takes from others is at most what its own arrivals
// leave, so that it need not send on, and domains that are full exchange
// nothing.
#pragma once

#include <bergamotusher/ids.hpp>
#include <bergamotusher/time.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace bergamotusher::routing
{

/// What an answer from another failure domain costs beside one from the own.
struct transfer_terms
{
    /// Connection and way, in ms.
    double distance_ms = 12;
    /// Bytes of a request and of its answer.
    double bytes_sent = 0;
    double bytes_received = 0;
    /// Time that a request may take longer to save a transferred megabyte; 0 if
    /// the deployment names no price.
    double price_ms_per_mb = 0;
};

double transfer_cost_ms(const transfer_terms& terms);

struct exchange_options
{
    /// Part of a domain's capacity that its arrivals may use before it counts
    /// as full.
    double usable_capacity = 0.9;
    /// Shares change by at most `step`, once in `step_interval`, and not at all
    /// for differences below `min_change`.
    double step = 0.15;
    duration step_interval = 500ms;
    double min_change = 0.03;
    /// Reports are used for this long; afterwards nothing is bounded.
    duration max_age = 3s;
    /// A request beyond the share pays the transfer this many times: it leaves
    /// if its own domain is full, or clearly later.
    double beyond_share_factor = 5;
    /// Time constant in which requests are held against a share.
    duration use_decay_time = 1s;
};

/// Requests per second that arrive in a domain, and that its upstreams take.
struct domain_state
{
    failure_domain domain;
    double arrival_rate = 0;
    double capacity = 0;
};

/// Part of the arrivals that may leave, by receiving domain.
using leaving_shares = std::map<failure_domain, double>;

/// The shares for arrivals in `own`: its part of what each other domain has
/// left, first for what domains cannot take themselves, and the rest in
/// proportion to arrivals. Empty if nothing is known of `own`.
leaving_shares target_shares(
    const exchange_options& options,
    const std::vector<domain_state>& domains,
    const failure_domain& own);

/// What an entry keeps for one service.
struct exchange_state
{
    std::vector<domain_state> domains;
    /// When the leader's report arrived; nothing before the first.
    std::optional<time_point> heard_at;
    /// Receivers without a share are not bounded.
    leaving_shares shares;
    time_point stepped_at;
    /// Requests sent lately, in all and by receiver; they decay.
    double sent = 0;
    std::map<failure_domain, double> sent_to;
    time_point sent_at;
};

/// A share that changed by a step.
struct share_change
{
    failure_domain to;
    double before = 1;
    double share = 1;
};

/// Records a report of the leader.
void record_domains(
    exchange_state& state, std::vector<domain_state> domains, time_point now);

/// Moves the shares by a step if one is due. Without a recent report the shares
/// are dropped, and nothing is bounded.
std::vector<share_change> step_shares(
    const exchange_options& options,
    exchange_state& state,
    const failure_domain& own,
    time_point now);

/// Counts a request that was sent to an upstream in `to`.
void record_sent(
    const exchange_options& options,
    exchange_state& state,
    const failure_domain& to,
    time_point now);

/// Surcharge in ms for an upstream in the other domain `to`.
double surcharge_ms(
    const exchange_options& options,
    const exchange_state& state,
    const failure_domain& to,
    double transfer_ms);

} // namespace bergamotusher::routing
