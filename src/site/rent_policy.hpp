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
#include <optional>
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
    /// Reclaimable upstreams wanted for each one that the demand needs, counted
    /// without the failure domain that may go next. They cost about a fifth of
    /// the others.
    double headroom = 1.6;
    /// Part of the need that must be left after one more reclaim: what is
    /// missing then is there only after the boot time. Reclaims come in series,
    /// so that more is kept for a while after one.
    double insured_part = 0.5;
    double insured_part_after_reclaim = 0.9;
    duration reclaim_memory = 20s;
    /// A failure domain is taken to be reclaimed if so many of its reclaimable
    /// upstreams, and more than are left, went within this time.
    std::uint32_t reclaimed_least = 2;
    /// Reclaimable upstreams are given back where less than this part of them
    /// is wanted: they are cheap, and may not be to be had again soon.
    double give_back_part = 0.6;
    /// How fast the demand that is planned for follows what is reported: part
    /// of the difference that is taken over with each round.
    double demand_follows = 0.13;
    /// What was wanted within this time is still wanted: the load comes in
    /// waves, and what is given back takes its caches along.
    duration memory = 12s;
    /// Nothing is given back before the demand was seen for so long.
    duration settle = 7s;
    /// Reclaimable upstreams must have served for so long before others are
    /// given back in their place: they tend to come back and go again.
    duration trust = 1500ms;
    /// An upstream that was not heard from for so long has crashed: four
    /// announcements, 1.2 s each.
    duration heard_within = 4800ms;
    /// No fewer on-demand upstreams than are known are ordered before all had
    /// the time to announce themselves: that would take some away.
    duration announced_after = 2500ms;
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
    /// Not to be sent again before, nor to be lowered. More can be ordered once
    /// the order was answered.
    time_point quiet_until;
    bool answered = false;
    /// None are to be had there before.
    time_point dry_until;
};

struct rent_state
{
    /// When orders were first thought of.
    std::optional<time_point> began_at;
    /// Demand that is planned for, by service, and since when there is any.
    std::map<service_name, service_demand> demand;
    std::map<service_name, time_point> demand_since;
    /// On-demand upstreams that a service began with, where no reclaimable one
    /// had been rented yet: the operators' own estimate of the need.
    std::map<service_name, std::uint32_t> began_with;
    std::map<rent_key, rent_order> orders;
    /// What the last orders of a service were decided by, for log lines.
    struct basis
    {
        double need = 0;
        /// Reclaimable upstreams that are trusted.
        std::uint32_t reclaimable = 0;
        std::uint32_t on_demand = 0;
        bool reclaimed = false;
    };
    std::map<service_name, basis> last_basis;
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
