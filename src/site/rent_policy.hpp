// How many upstreams of a service are wanted in each failure domain, and how
// they are paid. Orders set a number for one failure domain and market; they
// can be refused, and a whole domain's reclaimable upstreams can go at once.
#pragma once

#include "site/site.hpp"
#include "site/upstream_directory.hpp"

#include <bergamotusher/ids.hpp>
#include <bergamotusher/time.hpp>
#include <bergamotusher/upstream.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace bergamotusher::site
{

/// What an order is about.
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
    /// Requests that one upstream carries at once within target; beyond it
    /// steps slow down and prompts wait for each other.
    double requests_each = 20;
    /// Prompt tokens a second that one upstream reads within target: about
    /// half of the 22,000 that it reads beside other requests' tokens.
    double prompt_tokens_each = 13000;
    /// Upstreams of each service that no reclaim can take.
    std::uint32_t on_demand_least = 2;
    /// Upstreams wanted beyond the demand, as long as cheap ones are to be
    /// had.
    double headroom = 1.25;
    /// How fast the demand that is planned for follows what is reported: part
    /// of the difference that is taken over with each round.
    double demand_follows = 0.25;
    /// What was wanted within this time is still wanted: the load comes in
    /// waves, and what is given back takes its caches along.
    duration memory = 12s;
    /// Nothing is given back before the demand was seen for so long.
    duration settle = 7s;
    /// Reclaimable upstreams must have served for so long before others are
    /// given back in their place: they tend to come back and go again.
    duration trust = 4s;
    /// After a refusal an order is not repeated for so long.
    duration refused_pause = 3s;
    /// An order without an answer is sent again after this.
    duration unanswered_pause = 1500ms;
    /// A standing order is sent again if it is not met after this.
    duration repeat = 5s;
};

struct service_demand
{
    /// Requests at upstreams or waiting, of all entries.
    double requests = 0;
    /// Prompt tokens a second that have to be read.
    double prompt_tokens = 0;
};

/// What was ordered last.
struct rent_order
{
    std::uint32_t count = 0;
    time_point sent_at;
    /// Not to be sent again before.
    time_point quiet_until;
    bool answered = false;
    /// None are to be had there before.
    time_point dry_until;
};

struct rent_state
{
    /// Demand that is planned for, by service, and since when there is any.
    std::map<service_name, service_demand> demand;
    std::map<service_name, time_point> demand_since;
    std::map<rent_key, rent_order> orders;
    /// Upstreams wanted, by service, with the time until which they are.
    std::map<service_name, std::vector<std::pair<time_point, double>>> wanted;
};

struct wanted_count
{
    rent_key key;
    std::uint32_t count = 0;

    bool operator==(const wanted_count&) const = default;
};

/// Orders to send now. An order counts as sent once it is returned.
std::vector<wanted_count> orders_due(
    const rent_options& options,
    rent_state& state,
    const service& service,
    const service_demand& demand,
    const upstream_directory& directory,
    time_point now);

/// The order was refused: none are to be had there.
void note_refused(
    const rent_options& options,
    rent_state& state,
    const rent_key& key,
    time_point now);

void note_accepted(
    const rent_options& options, rent_state& state, const rent_key& key);

} // namespace bergamotusher::site
