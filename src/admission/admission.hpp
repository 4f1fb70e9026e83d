// Admission control: which requests start, which are queued, and which are
// rejected at once.
//
// Each entry has one queue per service. Accounts share the service's slots by
// weight (start-time fair queueing over the tokens of their requests); among
// accounts with about equal service so far, the more urgent class of work goes
// first. An account far above its share must leave free the slots that other
// accounts have recently needed, so that a flood of its requests does not delay
// theirs. A request that cannot finish in time is rejected before it is queued,
// with the time after which to retry.
#pragma once

#include "admission/budget.hpp"

#include <bergamotusher/configuration.hpp>
#include <bergamotusher/error_kind.hpp>
#include <bergamotusher/ids.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace bergamotusher::admission
{

/// Maximum number of queued requests per account and service.
inline constexpr std::size_t max_waiting_per_account = 256;
/// An account counts as active for this long after its last request.
inline constexpr duration activity_window = 30s;
/// An account's more urgent request goes first even if the account is ahead of
/// another one by up to this many tokens.
inline constexpr double max_priority_lag_tokens = 4'000;

/// A request to be admitted.
struct request_info
{
    request_id id;
    account_id account;
    service_name service;
    work_class target;
    /// Estimated tokens of prompt and answer; counts against the account's
    /// budget.
    double tokens = 0;
    /// Estimated running time once started.
    duration running_time{};
    /// The answer must be complete by then.
    time_point deadline;
};

/// Slots of a service, as this entry sees them.
struct capacity_view
{
    /// Slots of all serving upstreams.
    double total = 0;
    /// Slots free now.
    double free = 0;
};

/// The request starts now.
struct admitted
{
};

/// The request is queued; `next` will return its id.
struct queued
{
    duration expected_wait{};
};

/// The request is rejected and will not run; the error answer may claim
/// `not_run`.
struct refused
{
    error_kind kind = error_kind::overloaded;
    duration retry_after{};
};

using offer_result = std::variant<admitted, queued, refused>;

/// A queued request.
struct waiting_request
{
    request_info info;
    time_point since;
};

/// Queue of one account at one service.
struct account_queue
{
    double weight = 1;
    std::vector<waiting_request> waiting;
    std::uint32_t running = 0;
    /// Virtual time at which the account's next request may start.
    double finish_tag = 0;
    /// Peak of the running and waiting requests, decaying with time.
    double recent_peak = 0;
    time_point peak_updated_at;
    time_point last_active_at;
};

/// Queues of one service at this entry.
struct service_queue
{
    double virtual_time = 0;
    std::map<account_id, account_queue> accounts;
    /// Mean time that a request holds a slot, in seconds.
    double holding_seconds = 2;
};

/// Service and account that a running request is counted for.
struct running_request
{
    service_name service;
    account_id account;
    time_point since;
};

/// Counts of admission decisions.
struct admission_counters
{
    std::uint64_t admitted = 0;
    std::uint64_t queued = 0;
    std::uint64_t rate_limited = 0;
    std::uint64_t overloaded = 0;
    std::uint64_t dropped = 0;
};

/// Admission state of one entry.
struct admission_state
{
    /// Number of entries that share the accounts' limits.
    std::size_t entries = 1;
    std::map<account_id, account_budget> budgets;
    std::map<service_name, service_queue> services;
    std::unordered_map<request_id, running_request> running;
    admission_counters counters;
};

/// Result of `next`.
struct next_result
{
    std::vector<request_id> started;
    /// Removed from the queue without being run, since they can no longer
    /// finish in time.
    std::vector<request_id> dropped;
};

/// Admits, queues or rejects a request. `limits` is passed on each call, since
/// the configuration may have changed.
offer_result offer(
    admission_state& state,
    const account& limits,
    const request_info& request,
    const capacity_view& capacity,
    time_point now);

/// Starts queued requests of `service` while there are free slots. Call it when
/// a request has finished, when the capacity has changed, and at each tick.
next_result next(
    admission_state& state,
    const service_name& service,
    const capacity_view& capacity,
    time_point now);

/// Records that a started request has ended, with any result.
void finished(admission_state& state, const request_id& id, time_point now);

/// Removes a queued request whose caller has disconnected; false if it is not
/// queued.
bool withdraw(
    admission_state& state, const service_name& service, const request_id& id);

} // namespace bergamotusher::admission
