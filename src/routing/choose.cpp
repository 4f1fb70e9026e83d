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

/// Maximum number of upstreams that one choice examines.
constexpr std::size_t max_candidates = 64;
/// Share of the target that a prediction may use; the rest covers what the
/// prediction does not model.
constexpr double first_token_margin = 0.7;
constexpr double gap_margin = 0.9;
/// Candidates that cost at most this factor more than the cheapest are chosen
/// among by latency.
constexpr double cost_tolerance = 2;
/// The same factor among lightly loaded upstreams. These are far from their
/// latency targets, so price alone may decide.
constexpr double idle_cost_tolerance = 1.1;
/// An upstream is lightly loaded if it uses at most these shares of its slots
/// and of the first-token target.
constexpr double max_idle_utilisation = 0.25;
constexpr double max_idle_target_share = 0.1;
/// If a larger share of the candidates is ejected, ejection is ignored.
constexpr double max_ejected_share = 0.34;
/// One request in this many may probe an upstream on probation.
constexpr std::uint64_t requests_per_probe = 8;
constexpr duration min_wait = 5ms;
constexpr duration max_wait = 1s;

struct candidate
{
    const directory_entry* entry = nullptr;
    prediction expected;
    health_state health = health_state::healthy;
    bool avoided = false;
    bool meets_target = false;
    bool lightly_loaded = false;
};

using candidates = boost::container::static_vector<candidate, max_candidates>;

bool all_healthy(const candidates& all)
{
    return std::all_of(
        all.begin(),
        all.end(),
        [](const candidate& one)
        { return one.health == health_state::healthy; });
}

template<class T>
bool contains(const std::vector<T>& list, const T& item)
{
    return std::find(list.begin(), list.end(), item) != list.end();
}

bool is_permitted(const upstream& value, const choice_request& request)
{
    if (!request.versions.empty() && !contains(request.versions, value.version))
        return false;
    if (!request.only.empty() && !contains(request.only, value.id))
        return false;
    return !contains(request.excluded, value.id);
}

/// The estimate for an upstream without observations.
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

/// The estimate if it belongs to the current incarnation of the upstream, else
/// the initial estimate.
const upstream_estimate& estimate_for_incarnation(
    const upstream_estimate* estimate, const upstream& value)
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

bool prediction_meets_target(
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

const std::vector<upstream_id>* usable_upstreams(
    const directory& dir, const routing_state& state, const service_name& name)
{
    if (const auto found = state.subsets.find(name);
        found != state.subsets.end() && !found->second.empty())
        return &found->second;
    const auto found = dir.by_service.find(name);
    return found == dir.by_service.end() ? nullptr : &found->second;
}

/// Calls `visit` for each upstream of the service, within this entry's subset,
/// that may take work.
template<class Visit>
void for_each_available(
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
            if (accepts_new_work(*row.entry, now))
                visit(
                    *row.entry,
                    estimate_for_incarnation(row.estimate, row.entry->value));
        return;
    }
    const auto* ids = usable_upstreams(dir, state, name);
    if (!ids)
        return;
    for (const upstream_id& id : *ids)
        if (const directory_entry* entry = find(dir, id);
            entry && accepts_new_work(*entry, now))
            visit(
                *entry,
                estimate_for_incarnation(
                    find_estimate(state, id), entry->value));
}

/// Calls `visit` for each upstream in `request.only` that may take work, also
/// those outside this entry's subset.
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
            accepts_new_work(*entry, now))
            visit(
                *entry,
                estimate_for_incarnation(
                    find_estimate(state, id), entry->value));
    }
}

/// Fills `found` in place, to avoid copies on the hot path.
void fill_candidate(
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
    found.avoided = contains(request.avoided, entry.value.domain);
    found.meets_target =
        now >= estimate.full_backoff_until &&
        prediction_meets_target(entry.value, found.expected, request);
    found.lightly_loaded =
        found.expected.slot_utilisation <= max_idle_utilisation &&
        found.expected.first_token_seconds <=
            max_idle_target_share * to_seconds(request.target.first_token);
}

candidates collect_candidates(
    const directory& dir,
    const routing_state& state,
    const choice_request& request,
    time_point now)
{
    candidates all;
    const auto consider =
        [&](const directory_entry& entry, const upstream_estimate& estimate)
    {
        if (all.size() < max_candidates && is_permitted(entry.value, request))
            fill_candidate(all.emplace_back(), entry, estimate, request, now);
    };
    if (request.only.empty())
        for_each_available(dir, state, request.service, now, consider);
    else
        for_each_named(dir, state, request, now, consider);
    return all;
}

/// Removes ejected candidates, unless they exceed `max_ejected_share`.
void drop_ejected(candidates& all)
{
    const auto ejected = [](const candidate& one)
    {
        return one.health == health_state::ejected;
    };
    const auto count = std::count_if(all.begin(), all.end(), ejected);
    const auto limit = max_ejected_share * static_cast<double>(all.size());
    if (static_cast<double>(count) > limit)
        return;
    all.erase(std::remove_if(all.begin(), all.end(), ejected), all.end());
}

/// Returns a candidate on probation if this request is to probe it, else null.
/// In the latter case the candidates on probation are removed, unless all are
/// on probation.
const candidate* select_probe(candidates& all, const choice_request& request)
{
    const auto on_probation = [](const candidate& one)
    {
        return one.health == health_state::probation;
    };
    const auto found = std::find_if(all.begin(), all.end(), on_probation);
    if (found == all.end())
        return nullptr;
    if (request.draw % requests_per_probe == 0)
        return &*found;
    if (!std::all_of(all.begin(), all.end(), on_probation))
        all.erase(
            std::remove_if(all.begin(), all.end(), on_probation), all.end());
    return nullptr;
}

bool has_earlier_first_token(const candidate& left, const candidate& right)
{
    return left.expected.first_token_seconds <
           right.expected.first_token_seconds;
}

using selection =
    boost::container::static_vector<const candidate*, max_candidates>;

/// Keeps the candidates that cost at most `factor` times the cheapest.
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

/// Keeps the cheapest of the lightly loaded candidates, if there are any.
void prefer_lightly_loaded(selection& some)
{
    const auto is_lightly_loaded = [](const candidate* one)
    {
        return one->lightly_loaded;
    };
    if (std::none_of(some.begin(), some.end(), is_lightly_loaded))
        return;
    some.erase(
        std::remove_if(
            some.begin(), some.end(), std::not_fn(is_lightly_loaded)),
        some.end());
    keep_cheapest(some, idle_cost_tolerance);
}

/// Of two candidates drawn among the cheapest that meet the target, the one
/// with the lower first-token latency; null if none meets it. `avoided` selects
/// the candidates inside or outside the failure domains to avoid.
const candidate* best_within_target(
    const candidates& all, const choice_request& request, bool avoided)
{
    selection some;
    for (const candidate& one : all)
        if (one.meets_target && one.avoided == avoided)
            some.push_back(&one);
    if (some.empty())
        return nullptr;
    keep_cheapest(some, cost_tolerance);
    prefer_lightly_loaded(some);
    const candidate* first = some[request.draw % some.size()];
    const candidate* second = some[(request.draw >> 32) % some.size()];
    return has_earlier_first_token(*second, *first) ? second : first;
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

/// Used when no upstream meets the target: the candidate with a free slot and
/// the lowest first-token latency, else a wait or a refusal.
choice_result
choose_outside_target(const candidates& all, const choice_request& request)
{
    const candidate* earliest_free = nullptr;
    bool any_in_time = false;
    for (const candidate& one : all)
    {
        any_in_time =
            any_in_time || whole_answer_seconds(one.expected, request) <=
                               to_seconds(request.time_left);
        if (one.expected.slot_utilisation >= 1)
            continue;
        if (!earliest_free || has_earlier_first_token(one, *earliest_free))
            earliest_free = &one;
    }
    if (!any_in_time)
        return no_choice{no_choice_reason::too_late, max_wait};
    if (earliest_free)
        return to_choice(*earliest_free);
    const auto earliest =
        std::min_element(all.begin(), all.end(), has_earlier_first_token);
    const duration excess =
        from_seconds(earliest->expected.first_token_seconds) -
        request.target.first_token;
    return no_choice{
        no_choice_reason::wait, std::clamp(excess, min_wait, max_wait)};
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
    const double expected_cached_share =
        cached_share(estimate.cache, request.prefix_blocks) *
        estimate.cache.confidence;
    expected.recomputed_tokens =
        request.prompt_tokens * (1 - expected_cached_share);
    const double requests =
        now < estimate.full_backoff_until
            ? std::max<double>(value.slots, estimated_requests(estimate, now))
            : estimated_requests(estimate, now);
    expected.slot_utilisation = requests / value.slots;
    expected.gap_seconds =
        token_gap_seconds(speed, (requests + 1) / value.slots);
    const double rate = speed.prompt_tokens_per_second;
    const double backlog_wait_seconds =
        estimated_backlog_tokens(estimate, now) / rate;
    const double prefill_seconds = expected.recomputed_tokens / rate;
    const double decode_seconds =
        expected.gap_seconds * request.expected_tokens;
    const double requests_over_slots =
        std::max(0.0, requests + 1 - value.slots);
    expected.first_token_seconds =
        speed.base_seconds + prefill_seconds +
        std::max(0.0, backlog_wait_seconds + residual_wait_at(speed, now)) +
        requests_over_slots * decode_seconds / value.slots;
    const double full_load_gap_seconds = token_gap_seconds(speed, 1);
    expected.cost =
        value.price_per_hour / 3600 *
        (prefill_seconds +
         full_load_gap_seconds * request.expected_tokens / value.slots);
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
        if (now >= estimate.full_backoff_until)
            slots.free +=
                std::max(0.0, all - estimated_requests(estimate, now));
    };
    for_each_available(dir, state, name, now, count);
    return slots;
}

choice_result choose_upstream(
    const directory& dir,
    const routing_state& state,
    const choice_request& request,
    time_point now)
{
    candidates all = collect_candidates(dir, state, request, now);
    if (all.empty())
        return no_choice{no_choice_reason::none_known, max_wait};
    if (!all_healthy(all))
    {
        drop_ejected(all);
        if (const candidate* chosen = select_probe(all, request))
            return to_choice(*chosen);
    }
    for (const bool avoided : {false, true})
        if (const auto* chosen = best_within_target(all, request, avoided))
            return to_choice(*chosen);
    return choose_outside_target(all, request);
}

} // namespace bergamotusher::routing
