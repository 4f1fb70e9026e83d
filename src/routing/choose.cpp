#include "routing/choose.hpp"

#include <boost/container/static_vector.hpp>

#include <algorithm>
#include <array>
#include <functional>

namespace bergamotusher::routing
{

namespace
{

using membership::directory;
using membership::directory_entry;

/// Most upstreams of a service that one choice looks at.
constexpr std::size_t most_candidates = 64;
/// Share of the target that a prediction may use up; the rest is for what
/// the prediction cannot see.
constexpr double first_token_margin = 0.7;
constexpr double gap_margin = 0.9;
/// Costs within this factor of the least are near equals.
constexpr double near_equal = 2;
/// The same among upstreams at ease: these are far from their targets, so that
/// the price alone may decide.
constexpr double near_equal_at_ease = 1.1;
/// An upstream at ease uses up no more than these shares of its slots and of
/// the first token's target.
constexpr double slots_at_ease = 0.25;
constexpr double first_token_at_ease = 0.1;
/// Most of a service's upstreams that may be ejected at once.
constexpr double most_ejected = 0.34;
/// One request in so many may probe an upstream on probation.
constexpr std::uint64_t probe_period = 8;
constexpr duration shortest_wait = 5ms;
constexpr duration longest_wait = 1s;

struct candidate
{
    const directory_entry* entry = nullptr;
    prediction expected;
    health_state health = health_state::healthy;
    bool avoided = false;
    bool meets_target = false;
    bool at_ease = false;
};

using candidates = boost::container::static_vector<candidate, most_candidates>;

bool all_healthy(const candidates& all)
{
    return std::all_of(
        all.begin(),
        all.end(),
        [](const candidate& one)
        { return one.health == health_state::healthy; });
}

template<class T>
bool holds(const std::vector<T>& list, const T& item)
{
    return std::find(list.begin(), list.end(), item) != list.end();
}

bool permitted(const upstream& value, const choice_request& request)
{
    if (!request.versions.empty() && !holds(request.versions, value.version))
        return false;
    if (!request.only.empty() && !holds(request.only, value.id))
        return false;
    return !holds(request.excluded, value.id);
}

/// What an upstream is judged by that nothing is known of yet.
const upstream_estimate& unknown_estimate()
{
    static const upstream_estimate value = []
    {
        upstream_estimate estimate;
        estimate.speed = initial_speed();
        return estimate;
    }();
    return value;
}

const upstream_estimate*
find_estimate(const routing_state& state, const upstream_id& id)
{
    const auto found = state.upstreams.find(id);
    return found == state.upstreams.end() ? nullptr : &found->second;
}

/// What is known of this start of the upstream.
const upstream_estimate&
current(const upstream_estimate* estimate, const upstream& value)
{
    return estimate && estimate->incarnation == value.incarnation
               ? *estimate
               : unknown_estimate();
}

double
whole_answer_seconds(const prediction& expected, const choice_request& request)
{
    return expected.first_token_seconds +
           expected.gap_seconds * request.expected_tokens;
}

bool meets(
    const upstream& value,
    const prediction& expected,
    const choice_request& request)
{
    if (expected.first_token_seconds >
        first_token_margin * to_seconds(request.target.first_token))
        return false;
    if (value.kind == upstream_kind::engine &&
        expected.gap_seconds >
            gap_margin * to_seconds(request.target.token_gap))
        return false;
    return whole_answer_seconds(expected, request) <=
           to_seconds(request.time_left);
}

const std::vector<upstream_id>* members(
    const directory& dir, const routing_state& state, const service_name& name)
{
    if (const auto found = state.subsets.find(name);
        found != state.subsets.end() && !found->second.empty())
        return &found->second;
    const auto found = dir.by_service.find(name);
    return found == dir.by_service.end() ? nullptr : &found->second;
}

/// Calls `visit` with each upstream of the service that may take work.
template<class Visit>
void for_each_open(
    const directory& dir,
    const routing_state& state,
    const service_name& name,
    time_point now,
    Visit visit)
{
    const roster& rows = state.members;
    if (rows.owner == &dir && rows.generation == dir.generation)
    {
        const auto found = rows.services.find(name);
        if (found == rows.services.end())
            return;
        for (const roster_row& row : found->second)
            if (may_take_work(*row.entry, now))
                visit(*row.entry, current(row.estimate, row.entry->value));
        return;
    }
    const auto* ids = members(dir, state, name);
    if (!ids)
        return;
    for (const upstream_id& id : *ids)
        if (const directory_entry* entry = find(dir, id);
            entry && may_take_work(*entry, now))
            visit(*entry, current(find_estimate(state, id), entry->value));
}

/// The same for the upstreams that the request names, which need not be in
/// this entry's subset.
template<class Visit>
void for_each_named(
    const directory& dir,
    const routing_state& state,
    const choice_request& request,
    time_point now,
    Visit visit)
{
    for (const upstream_id& id : request.only)
    {
        const directory_entry* entry = find(dir, id);
        if (entry && entry->value.service == request.service &&
            may_take_work(*entry, now))
            visit(*entry, current(find_estimate(state, id), entry->value));
    }
}

/// Fills `found` in place: a choice looks at many.
void examine(
    candidate& found,
    const directory_entry& entry,
    const upstream_estimate& estimate,
    const choice_request& request,
    time_point now)
{
    found.entry = &entry;
    found.expected = predict(entry.value, estimate, request, now);
    found.health = state_at(estimate.health, now);
    if (found.health == health_state::probation && !estimate.in_flight.empty())
        found.health = health_state::ejected;
    found.avoided = holds(request.avoided, entry.value.domain);
    found.meets_target = now >= estimate.full_until &&
                         meets(entry.value, found.expected, request);
    found.at_ease =
        found.expected.used_share <= slots_at_ease &&
        found.expected.first_token_seconds <=
            first_token_at_ease * to_seconds(request.target.first_token);
}

candidates gather(
    const directory& dir,
    const routing_state& state,
    const choice_request& request,
    time_point now)
{
    candidates all;
    const auto consider =
        [&](const directory_entry& entry, const upstream_estimate& estimate)
    {
        if (all.size() < most_candidates && permitted(entry.value, request))
            examine(all.emplace_back(), entry, estimate, request, now);
    };
    if (request.only.empty())
        for_each_open(dir, state, request.service, now, consider);
    else
        for_each_named(dir, state, request, now, consider);
    return all;
}

/// Drops the ejected ones, unless these are too many to do without.
void drop_ejected(candidates& all)
{
    const auto ejected = [](const candidate& one)
    {
        return one.health == health_state::ejected;
    };
    const auto count = std::count_if(all.begin(), all.end(), ejected);
    const auto limit = most_ejected * static_cast<double>(all.size());
    if (static_cast<double>(count) > limit)
        return;
    all.erase(std::remove_if(all.begin(), all.end(), ejected), all.end());
}

/// An upstream on probation whose turn it is, else null; the others on
/// probation are dropped.
const candidate* probe(candidates& all, const choice_request& request)
{
    const auto on_probation = [](const candidate& one)
    {
        return one.health == health_state::probation;
    };
    const auto found = std::find_if(all.begin(), all.end(), on_probation);
    if (found == all.end())
        return nullptr;
    if (request.draw % probe_period == 0)
        return &*found;
    if (!std::all_of(all.begin(), all.end(), on_probation))
        all.erase(
            std::remove_if(all.begin(), all.end(), on_probation), all.end());
    return nullptr;
}

bool sooner(const candidate& left, const candidate& right)
{
    return left.expected.first_token_seconds <
           right.expected.first_token_seconds;
}

using selection =
    boost::container::static_vector<const candidate*, most_candidates>;

/// Keeps those that cost at most `factor` times the least.
void keep_cheapest(selection& some, double factor)
{
    double least = some.front()->expected.cost;
    for (const candidate* one : some)
        least = std::min(least, one->expected.cost);
    some.erase(
        std::remove_if(
            some.begin(),
            some.end(),
            [least, factor](const candidate* one)
            { return one->expected.cost > least * factor; }),
        some.end());
}

/// Keeps those at ease, if there are any.
void prefer_at_ease(selection& some)
{
    const auto at_ease = [](const candidate* one)
    {
        return one->at_ease;
    };
    if (std::none_of(some.begin(), some.end(), at_ease))
        return;
    some.erase(
        std::remove_if(some.begin(), some.end(), std::not_fn(at_ease)),
        some.end());
    keep_cheapest(some, near_equal_at_ease);
}

/// The best upstream that meets the target, or null: of two drawn among the
/// near equals, the sooner one.
const candidate* best_within_target(
    const candidates& all, const choice_request& request, bool avoided)
{
    selection some;
    for (const candidate& one : all)
        if (one.meets_target && one.avoided == avoided)
            some.push_back(&one);
    if (some.empty())
        return nullptr;
    keep_cheapest(some, near_equal);
    prefer_at_ease(some);
    const candidate* first = some[request.draw % some.size()];
    const candidate* second = some[(request.draw >> 32) % some.size()];
    return sooner(*second, *first) ? second : first;
}

choice to_choice(const candidate& chosen)
{
    const upstream& value = chosen.entry->value;
    choice made;
    made.id = value.id;
    made.version = value.version;
    made.address = value.address;
    made.domain = value.domain;
    made.first_token = from_seconds(chosen.expected.first_token_seconds);
    made.token_gap = from_seconds(chosen.expected.gap_seconds);
    made.recomputed_tokens =
        static_cast<std::uint32_t>(chosen.expected.recomputed_tokens);
    return made;
}

/// No upstream meets the target: the soonest with a free slot, or a wait.
choice_result fall_back(const candidates& all, const choice_request& request)
{
    const candidate* soonest = nullptr;
    bool in_time = false;
    for (const candidate& one : all)
    {
        in_time = in_time || whole_answer_seconds(one.expected, request) <=
                                 to_seconds(request.time_left);
        if (one.expected.used_share >= 1)
            continue;
        if (!soonest || sooner(one, *soonest))
            soonest = &one;
    }
    if (!in_time)
        return no_choice{no_choice_reason::too_late, longest_wait};
    if (soonest)
        return to_choice(*soonest);
    const auto least = std::min_element(all.begin(), all.end(), sooner);
    const duration over = from_seconds(least->expected.first_token_seconds) -
                          request.target.first_token;
    return no_choice{
        no_choice_reason::wait, std::clamp(over, shortest_wait, longest_wait)};
}

} // namespace

prediction predict(
    const upstream& value,
    const upstream_estimate& estimate,
    const choice_request& request,
    time_point now)
{
    prediction expected;
    const speed_estimate& speed = estimate.speed;
    const double held = cached_share(estimate.cache, request.prefix_blocks) *
                        estimate.cache.confidence;
    expected.recomputed_tokens = request.prompt_tokens * (1 - held);
    const double requests =
        now < estimate.full_until
            ? std::max<double>(value.slots, requests_at(estimate, now))
            : requests_at(estimate, now);
    expected.used_share = requests / value.slots;
    expected.gap_seconds = gap_at(speed, (requests + 1) / value.slots);
    const double rate = speed.prompt_tokens_per_second;
    const double own_wait = backlog_at(estimate, now) / rate;
    const double computing = expected.recomputed_tokens / rate;
    const double answering = expected.gap_seconds * request.expected_tokens;
    const double over = std::max(0.0, requests + 1 - value.slots);
    expected.first_token_seconds =
        speed.base_seconds + computing +
        std::max(0.0, own_wait + wait_at(speed, now)) +
        over * answering / value.slots;
    const double full_gap = gap_at(speed, 1);
    expected.cost =
        value.price_per_hour / 3600 *
        (computing + full_gap * request.expected_tokens / value.slots);
    return expected;
}

slot_count count_slots(
    const directory& dir,
    const routing_state& state,
    const service_name& name,
    time_point now)
{
    slot_count slots;
    const auto count =
        [&slots,
         now](const directory_entry& entry, const upstream_estimate& estimate)
    {
        if (state_at(estimate.health, now) == health_state::ejected)
            return;
        const double all = entry.value.slots;
        slots.total += all;
        if (now >= estimate.full_until)
            slots.free += std::max(0.0, all - requests_at(estimate, now));
    };
    for_each_open(dir, state, name, now, count);
    return slots;
}

choice_result choose_upstream(
    const directory& dir,
    const routing_state& state,
    const choice_request& request,
    time_point now)
{
    candidates all = gather(dir, state, request, now);
    if (all.empty())
        return no_choice{no_choice_reason::none_known, longest_wait};
    if (!all_healthy(all))
    {
        drop_ejected(all);
        if (const candidate* chosen = probe(all, request))
            return to_choice(*chosen);
    }
    for (const bool avoided : {false, true})
        if (const auto* chosen = best_within_target(all, request, avoided))
            return to_choice(*chosen);
    return fall_back(all, request);
}

} // namespace bergamotusher::routing
