// What to rent and what to release.
//
// The plan holds enough capacity that the loss of any one failure domain still
// leaves what the demand needs, at the least price. Part of it is on demand,
// so that a wave of reclaims does not take everything. A refused start backs
// off per failure domain, instance class and market; an unanswered one is sent
// again with the same token, so that it starts one instance at most.
#pragma once

#include <bergamotusher/ids.hpp>
#include <bergamotusher/time.hpp>
#include <bergamotusher/upstream.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace bergamotusher::capacity
{

/// The wait after a first refusal; it doubles with each further one.
inline constexpr duration first_backoff = 15s;
inline constexpr duration longest_backoff = 10min;
/// An unanswered start is sent again after this.
inline constexpr duration start_timeout = 10s;
/// Capacity is released only after it was too much for this long.
inline constexpr duration release_delay = 3min;
/// Capacity held beyond the demand before anything is released.
inline constexpr double release_margin = 1.1;
/// Part of the demand that on-demand instances alone should carry.
inline constexpr double on_demand_part = 0.2;

/// What can be rented: one kind of instance in one failure domain.
struct stock_key
{
    failure_domain domain;
    std::string instance_class;
    market paid_as = market::reclaimable;

    bool operator==(const stock_key&) const = default;

    bool operator<(const stock_key& other) const
    {
        return std::tie(domain, instance_class, paid_as) <
               std::tie(other.domain, other.instance_class, other.paid_as);
    }
};

/// The terms of one kind of instance.
struct stock
{
    stock_key key;
    double price_per_hour = 0;
    /// Requests within target that one instance carries at once.
    double capacity = 0;
    /// Reclaims seen for each instance and hour.
    double reclaims_per_hour = 0;
};

/// An instance that is rented now.
struct held_instance
{
    std::string id;
    stock_key key;
    /// Under notice, or being released.
    bool leaving = false;
};

/// A start that was asked for and has not become a held instance.
struct pending_start
{
    stock_key key;
    time_point sent;
};

/// Refusals of one kind of instance.
struct backoff
{
    std::uint32_t refusals = 0;
    time_point until;
};

/// What the planner remembers. To be kept with the replicated state, so that a
/// new leader goes on with the same tokens.
struct planner_state
{
    /// Makes tokens unique over planners.
    std::string name;
    std::uint64_t sequence = 0;
    std::map<std::string, pending_start> pending;
    std::map<stock_key, backoff> backoffs;
    std::optional<time_point> surplus_since;
};

/// Rent one instance. The same token always means the same instance.
struct start_instance
{
    std::string token;
    stock_key key;

    bool operator==(const start_instance&) const = default;
};

/// Give an instance back, once its work is done.
struct release_instance
{
    std::string id;

    bool operator==(const release_instance&) const = default;
};

using plan_action = std::variant<start_instance, release_instance>;

/// Decides what to rent and release now. `needed` is the number of requests
/// that must be carried at once within target.
std::vector<plan_action> plan(
    planner_state& state,
    const std::vector<stock>& offered,
    const std::vector<held_instance>& held,
    double needed,
    time_point now);

/// The platform started the instance: it is among the held ones from now on.
void on_started(planner_state& state, const std::string& token);

/// The platform refused the start.
void on_refused(planner_state& state, const std::string& token, time_point now);

/// Price for one unit of capacity, with what its reclaims cost.
double effective_price(const stock& kind);

/// Capacity that is left in the worst case: all, less that of the one failure
/// domain that holds the most.
double capacity_after_loss(
    const std::vector<stock>& offered, const std::vector<held_instance>& held);

} // namespace bergamotusher::capacity
