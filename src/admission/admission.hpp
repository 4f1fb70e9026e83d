// Which requests start, which wait, and which are refused at once.
//
// Each service has a queue at each entry. Accounts share its slots fairly by
// weight (start-time fair queueing over the tokens of their requests); among
// accounts that are about level, the more urgent class goes first. An account
// far above its share leaves free the slots that the others have lately needed,
// so that a flood delays nobody else. What cannot be done in time is refused
// before it waits, and the refusal tells when to come back.
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

/// Most requests of one account that wait for one service.
inline constexpr std::size_t max_waiting = 256;
/// An account counts as active for this long after its last request.
inline constexpr duration activity_window = 30s;
/// Tokens by which an account may be behind another one and still let the
/// other's more urgent request go first.
inline constexpr double priority_window = 4'000;

/// A request that wants to start.
struct request_info
{
    request_id id;
    account_id account;
    service_name service;
    work_class target;
    /// Tokens of prompt and answer, as estimated; counts against the budget.
    double tokens = 0;
    /// How long it will run once started, as estimated.
    duration running_time{};
    /// When its answer must be whole.
    time_point deadline;
};

/// How many requests of a service may run, as this entry sees it.
struct capacity_view
{
    /// Slots of all upstreams that serve.
    double total = 0;
    /// Slots free now.
    double free = 0;
};

/// It starts now.
struct admitted
{
};

/// It waits; `next` will name it.
struct queued
{
    duration expected_wait{};
};

/// It will not run; the claim `not_run` is true.
struct refused
{
    error_kind kind = error_kind::overloaded;
    duration retry_after{};
};

using offer_result = std::variant<admitted, queued, refused>;

/// A request that waits.
struct waiting_request
{
    request_info info;
    time_point since;
};

/// One account at one service.
struct account_queue
{
    double weight = 1;
    std::vector<waiting_request> waiting;
    std::uint32_t running = 0;
    /// Virtual time at which its next request may start.
    double finish_tag = 0;
    /// The most it has lately had running and waiting, fading away.
    double peak = 0;
    time_point peak_at;
    time_point active_at;
};

/// One service at this entry.
struct service_queue
{
    double virtual_time = 0;
    std::map<account_id, account_queue> accounts;
    /// Mean time that a request holds a slot, in seconds.
    double holding_seconds = 2;
};

/// Where a running request is counted.
struct running_request
{
    service_name service;
    account_id account;
    time_point since;
};

/// Counts of what became of requests.
struct admission_counters
{
    std::uint64_t admitted = 0;
    std::uint64_t queued = 0;
    std::uint64_t rate_limited = 0;
    std::uint64_t overloaded = 0;
    std::uint64_t dropped = 0;
};

/// All of this entry's admission.
struct admission_state
{
    /// Entries that share the accounts' limits.
    std::size_t entries = 1;
    std::map<account_id, account_budget> budgets;
    std::map<service_name, service_queue> services;
    std::unordered_map<request_id, running_request> running;
    admission_counters counters;
};

/// What `next` decided.
struct next_result
{
    std::vector<request_id> started;
    /// Waited in vain: they can no longer finish in time and were not run.
    std::vector<request_id> dropped;
};

/// Offers a request. An account must be told of its limits each time, since
/// the configuration can have changed.
offer_result offer(
    admission_state& state,
    const account& limits,
    const request_info& request,
    const capacity_view& capacity,
    time_point now);

/// Starts requests of `service` that wait, while there is room. To be called
/// when a request has finished or the capacity has changed, and at each tick.
next_result next(
    admission_state& state,
    const service_name& service,
    const capacity_view& capacity,
    time_point now);

/// A request that was started has ended, in whatever way.
void finished(admission_state& state, const request_id& id, time_point now);

/// A request's caller is gone before it started; false if it is not waiting.
bool withdraw(
    admission_state& state, const service_name& service, const request_id& id);

} // namespace bergamotusher::admission
