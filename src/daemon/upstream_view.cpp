#include "daemon/upstream_view.hpp"

#include "routing/choose.hpp"
#include "routing/subset.hpp"

#include <nlohmann/json.hpp>

namespace bergamotusher
{

namespace
{

event make_event(
    event_kind kind, const upstream_id& id, std::string detail = "")
{
    event result;
    result.kind = kind;
    result.target = id;
    result.detail = std::move(detail);
    return result;
}

// Adds the inputs and events for the current state of an upstream to `changes`.
void report_change(
    upstream_view& view, const upstream_id& id, view_changes& changes)
{
    const auto* entry = membership::find(view.directory, id);
    if (entry == nullptr)
        return;
    const upstream& value = entry->value;
    if (value.state == upstream_state::leaving)
    {
        changes.inputs.push_back(
            upstream_leaves{id, entry->reclaim_at.value_or(time_point::max())});
        changes.events.push_back(make_event(event_kind::upstream_leaving, id));
        return;
    }
    if (value.state == upstream_state::lost)
        return;
    const auto known = view.routing.upstreams.find(id);
    if (known != view.routing.upstreams.end() &&
        known->second.incarnation < value.incarnation)
        changes.inputs.push_back(upstream_gone{id, false});
    routing::on_announced(view.routing, value);
    changes.events.push_back(make_event(
        event_kind::upstream_announced,
        id,
        value.service.value + " " + value.version.value + " in " +
            value.domain.value));
}

void apply_announcement(
    upstream_view& view,
    const upstream& value,
    view_changes& changes,
    time_point now)
{
    using outcome = membership::announce_outcome;
    const outcome announced = membership::announce(view.directory, value, now);
    if (announced == outcome::joined || announced == outcome::changed)
        report_change(view, value.id, changes);
}

void apply_leave(
    upstream_view& view, const upstream_id& id, view_changes& changes)
{
    if (membership::mark_leaving(view.directory, id))
        report_change(view, id, changes);
}

void apply_events(
    upstream_view& view,
    const membership::upstream_events& events,
    time_point now)
{
    if (events.load)
    {
        routing::on_load(view.routing, *events.load, now);
        membership::queue_for_delta(view.directory, *events.load);
    }
    if (events.cache)
    {
        routing::on_cache_events(view.routing, *events.cache);
        membership::queue_for_delta(view.directory, *events.cache);
    }
}

nlohmann::json
upstream_json(const membership::directory_entry& entry, time_point now)
{
    const upstream& value = entry.value;
    return {
        {"instance", value.id.value},
        {"incarnation", value.incarnation},
        {"kind", to_name(value.kind)},
        {"service", value.service.value},
        {"version", value.version.value},
        {"address", value.address},
        {"failure_domain", value.domain.value},
        {"instance_class", value.instance_class},
        {"market", to_name(value.paid_as)},
        {"price_per_hour", value.price_per_hour},
        {"slots", value.slots},
        {"state", to_name(membership::state_of(entry, now))}};
}

} // namespace

view_changes handle_message(
    upstream_view& view, const upstream_message& message, time_point now)
{
    view_changes changes;
    if (const auto* value = std::get_if<upstream>(&message))
        apply_announcement(view, *value, changes, now);
    else if (const auto* left = std::get_if<upstream_left>(&message))
        apply_leave(view, left->id, changes);
    else
        apply_events(view, std::get<membership::upstream_events>(message), now);
    return changes;
}

view_changes merge_delta(
    upstream_view& view,
    const membership::directory_delta& delta,
    const node_id& self,
    std::uint64_t incarnation,
    std::optional<membership::directory_delta>& answer,
    time_point now)
{
    view_changes changes;
    auto merged =
        membership::merge(view.directory, delta, self, incarnation, now);
    for (const upstream_id& id : merged.changed)
        report_change(view, id, changes);
    for (const load_report& load : merged.loads)
        routing::on_load(view.routing, load, now);
    for (const cache_events& cache : merged.caches)
        routing::on_cache_events(view.routing, cache);
    answer = std::move(merged.answer);
    return changes;
}

view_changes apply_reclaim_notice(
    upstream_view& view,
    const upstream_id& instance,
    const failure_domain& domain,
    time_point deadline)
{
    view_changes changes;
    std::vector<upstream_id> leaving;
    if (instance.empty())
        leaving =
            membership::add_reclaim_notice(view.directory, domain, deadline);
    else
    {
        membership::add_reclaim_notice(view.directory, instance, deadline);
        leaving.push_back(instance);
    }
    for (const upstream_id& id : leaving)
        report_change(view, id, changes);
    return changes;
}

view_changes expire_leases(upstream_view& view, time_point now)
{
    view_changes changes;
    for (const upstream_id& id : membership::expire(view.directory, now))
    {
        const auto* entry = membership::find(view.directory, id);
        const bool domain_lost =
            entry != nullptr && membership::is_domain_lost(
                                    view.directory, entry->value.domain, now);
        routing::on_lost(view.routing, id);
        changes.inputs.push_back(upstream_gone{id, domain_lost});
        changes.events.push_back(make_event(event_kind::upstream_lost, id));
    }
    return changes;
}

void refresh_subsets(upstream_view& view, const node_id& self)
{
    const routing::roster& members = view.routing.members;
    if (members.owner != &view.directory ||
        members.generation != view.directory.generation)
        routing::refresh_subsets(view.routing, view.directory, self);
}

choice_result choose_upstream(
    upstream_view& view, const choice_request& request, time_point now)
{
    auto result =
        routing::choose_upstream(view.directory, view.routing, request, now);
    if (const auto* chosen = std::get_if<choice>(&result))
        view.last_choices[chosen->id] = {request, *chosen};
    return result;
}

void record_dispatch(upstream_view& view, const dispatch& sent, time_point now)
{
    view.attempt_targets[sent.attempt] = sent.target;
    const auto found = view.last_choices.find(sent.target);
    if (found == view.last_choices.end())
        return;
    const auto& [request, chosen] = found->second;
    routing::on_dispatch(view.routing, request, chosen, now);
}

void record_observation(
    upstream_view& view, const attempt_observed& observed, time_point now)
{
    routing::on_observed(view.routing, observed, now);
}

void record_cancellation(
    upstream_view& view, const cancel_attempt& cancelled, time_point now)
{
    const auto found = view.attempt_targets.find(cancelled.attempt);
    if (found == view.attempt_targets.end())
        return;
    routing::on_ended(view.routing, found->second, now);
    view.attempt_targets.erase(found);
}

void forget_attempt(upstream_view& view, const attempt_id& attempt)
{
    view.attempt_targets.erase(attempt);
}

double slot_utilisation(
    const upstream_view& view, const upstream& value, time_point now)
{
    const auto found = view.routing.upstreams.find(value.id);
    if (found == view.routing.upstreams.end())
        return 0;
    return routing::estimated_requests(found->second, now) / value.slots;
}

std::string upstreams_json(const upstream_view& view, time_point now)
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto& [id, entry] : view.directory.entries)
        list.push_back(upstream_json(entry, now));
    return nlohmann::json{{"upstreams", list}}.dump();
}

} // namespace bergamotusher
