// Planner that decides which instances to rent and to release.
//
// It keeps enough capacity, at the lowest price, that the demand is still met
// after the loss of any one failure domain. Part of the capacity is on demand,
// so that a wave of reclaims cannot take all of it. A refused start backs off
// per failure domain, instance class and market. An unanswered start is sent
// again with the same token, so that it starts at most one instance.
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

/// Back-off after the first refusal; doubles with each further one.
inline constexpr duration first_backoff = 15s;
inline constexpr duration longest_backoff = 10min;
/// An unanswered start request is repeated after this time.
inline constexpr duration start_timeout = 10s;
/// Capacity is released only after it was in surplus for this long.
inline constexpr duration release_delay = 3min;
/// Factor on the demand that must stay covered when an instance is released;
/// the margin prevents oscillation between releases and starts.
inline constexpr double release_margin = 1.1;
/// Share of the demand that on-demand instances alone should cover.
inline constexpr double on_demand_share = 0.2;

/// Key of an offer: one instance class in one failure domain and market.
struct offer_key
{
    failure_domain domain;
    std::string instance_class;
    market paid_as = market::reclaimable;

    bool operator==(const offer_key&) const = default;

    bool operator<(const offer_key& other) const
    {
        return std::tie(domain, instance_class, paid_as) <
               std::tie(other.domain, other.instance_class, other.paid_as);
    }
};

/// Price, capacity and reliability of one kind of instance.
struct instance_offer
{
    offer_key key;
    double price_per_hour = 0;
    /// Concurrent requests that one instance can run within target.
    double capacity = 0;
    /// Observed reclaims per instance and hour.
    double reclaims_per_hour = 0;
};

/// A currently rented instance.
struct held_instance
{
    std::string id;
    offer_key key;
    /// It has a reclaim notice or is being released, and does not count as
    /// capacity.
    bool leaving = false;
};

/// A start request that is not yet answered.
struct pending_start
{
    offer_key key;
    time_point sent;
};

/// Back-off state of one kind of instance.
struct backoff
{
    std::uint32_t refusals = 0;
    time_point until;
};

/// Persistent state of the planner. Keep it with the replicated state, so that
/// a new leader continues with the same tokens.
struct planner_state
{
    /// Prefix that makes tokens unique across planners.
    std::string name;
    std::uint64_t sequence = 0;
    std::map<std::string, pending_start> pending;
    std::map<offer_key, backoff> backoffs;
    std::optional<time_point> surplus_since;
};

/// Action: rent one instance. Requests with the same token refer to the same
/// instance.
struct start_instance
{
    std::string token;
    offer_key key;

    bool operator==(const start_instance&) const = default;
};

/// Action: release an instance once its requests have finished.
struct release_instance
{
    std::string id;

    bool operator==(const release_instance&) const = default;
};

using plan_action = std::variant<start_instance, release_instance>;

/// Returns the instances to rent and to release now. `needed` is the number of
/// concurrent requests that must be served within target.
std::vector<plan_action> plan(
    planner_state& state,
    const std::vector<instance_offer>& offered,
    const std::vector<held_instance>& held,
    double needed,
    time_point now);

/// Records that the platform started the instance; the caller lists it in
/// `held` from now on.
void on_started(planner_state& state, const std::string& token);

/// Records that the platform refused the start.
void on_refused(planner_state& state, const std::string& token, time_point now);

/// Price per hour and unit of capacity, including the time wasted by reclaims.
double effective_price(const instance_offer& kind);

/// Worst-case capacity: the total less that of the largest failure domain.
double capacity_after_loss(
    const std::vector<instance_offer>& offered,
    const std::vector<held_instance>& held);

} // namespace bergamotusher::capacity
