#include "routing/routing_state.hpp"

#include <algorithm>

namespace bergamotusher::routing
{

namespace
{

/// Expected times are raised to this value before a ratio is taken, in seconds.
constexpr double min_expected_seconds = 0.002;
/// Upper bound of a sample in the group's mean, as a multiple of the expected
/// time.
constexpr double max_learned_slowness = 1.2;
/// Load reports with fewer running requests say little about the time per
/// token.
constexpr std::uint32_t min_running_to_compare = 2;
/// Minimum weight of the group's load reports before an upstream is compared
/// with them.
constexpr double min_group_weight_to_compare = 10;

/// The combined speed estimate of a peer group; created if missing.
speed_estimate& group_speed(routing_state& state, const std::string& name)
{
    return state.peer_group_speeds.try_emplace(name, initial_speed())
        .first->second;
}

upstream_estimate* find_estimate(routing_state& state, const upstream_id& id)
{
    const auto found = state.upstreams.find(id);
    return found == state.upstreams.end() ? nullptr : &found->second;
}

void drop_before(std::deque<time_point>& times, time_point limit)
{
    while (!times.empty() && times.front() < limit)
        times.pop_front();
}

void drop_expired_dispatches(upstream_estimate& estimate, time_point now)
{
    std::erase_if(
        estimate.in_flight,
        [now](const pending_dispatch& one)
        { return one.sent + dispatch_lifetime < now; });
}

/// Removes the pending dispatch that was sent closest to `sent`, records its
/// end and returns it.
pending_dispatch
remove_dispatch(upstream_estimate& estimate, time_point sent, time_point now)
{
    if (estimate.in_flight.empty())
        return {sent};
    const auto distance = [sent](const pending_dispatch& one)
    {
        return one.sent < sent ? sent - one.sent : one.sent - sent;
    };
    const auto found = std::min_element(
        estimate.in_flight.begin(),
        estimate.in_flight.end(),
        [&distance](const auto& left, const auto& right)
        { return distance(left) < distance(right); });
    const pending_dispatch ended = *found;
    estimate.in_flight.erase(found);
    estimate.end_times.push_back(now);
    drop_before(estimate.end_times, now - load_report_lifetime);
    return ended;
}

/// Derives the send time of the attempt from its end and its latencies.
time_point estimated_send_time(const attempt_observed& seen, time_point now)
{
    const duration first = seen.first_token.value_or(duration::zero());
    const duration gap = seen.mean_gap.value_or(duration::zero());
    return now - first - gap * seen.answered_tokens;
}

double slot_utilisation(const upstream_estimate& estimate, time_point now)
{
    return estimated_requests(estimate, now) / std::max(1U, estimate.slots);
}

/// The answer's latency divided by that expected from the peer group.
double slowness_ratio(
    const speed_estimate& group, const attempt_observed& seen, double used)
{
    if (seen.mean_gap)
        return to_seconds(*seen.mean_gap) /
               std::max(token_gap_seconds(group, used), min_expected_seconds);
    if (seen.first_token && group.median_answer_seconds > 0)
        return to_seconds(*seen.first_token) /
               std::max(group.median_answer_seconds, min_expected_seconds);
    return 1;
}

/// Updates the peer group's speed. Samples are capped at `max_learned_slowness`
/// times the expected value, so that one slow upstream in a small group does
/// not shift the baseline of the others.
void learn_group_speed(
    speed_estimate& group, const attempt_observed& seen, double used)
{
    if (!seen.mean_gap)
    {
        if (seen.first_token)
            learn_answer_time(group, *seen.first_token);
        return;
    }
    const duration most =
        from_seconds(max_learned_slowness * token_gap_seconds(group, used));
    learn_token_gap(group, std::min(*seen.mean_gap, most), used);
}

/// Compares the time per token in the latest load report with the peer group's,
/// and then adds it to the group's.
void learn_reported_token_time(
    speed_estimate& group, upstream_estimate& estimate, time_point now)
{
    const load_report& load = estimate.load;
    if (load.running < min_running_to_compare || load.tokens_per_second <= 0)
        return;
    const double used =
        static_cast<double>(load.running) / std::max(1U, estimate.slots);
    const double seen = load.running / load.tokens_per_second;
    const double expected = value_at(group.reported_token_time, used);
    if (group.reported_token_time.weight >= min_group_weight_to_compare)
        record_reported_slowness(estimate.health, seen / expected, now);
    const bool group_has_reports = group.reported_token_time.weight > 0;
    add(group.reported_token_time,
        used,
        group_has_reports ? std::min(seen, max_learned_slowness * expected)
                          : seen);
}

/// Whether the failure counts against the upstream's health; a refusal by a
/// full queue does not.
bool is_upstream_fault(attempt_failure reason)
{
    return reason != attempt_failure::refused;
}

void learn_from_success(
    routing_state& state,
    upstream_estimate& estimate,
    const attempt_observed& seen,
    const pending_dispatch& sent,
    time_point now)
{
    const double used = slot_utilisation(estimate, now);
    speed_estimate& group = group_speed(state, estimate.peer_group);
    record_success(estimate.health, slowness_ratio(group, seen, used), now);
    if (seen.first_token)
    {
        const double tokens = seen.recomputed_tokens;
        const double wait = sent.backlog_wait_seconds;
        learn_first_token(estimate.speed, *seen.first_token, tokens, wait, now);
        learn_first_token(group, *seen.first_token, tokens, wait, now);
    }
    if (seen.mean_gap)
        learn_token_gap(estimate.speed, *seen.mean_gap, used);
    learn_group_speed(group, seen, used);
    update_confidence(estimate.cache, sent.cached_tokens, seen.cached_tokens);
}

} // namespace

void on_announced(routing_state& state, const upstream& value)
{
    upstream_estimate& estimate = state.upstreams[value.id];
    const std::string group = value.service.value + '/' + value.instance_class;
    const bool fresh =
        estimate.peer_group.empty() || value.incarnation > estimate.incarnation;
    if (fresh)
    {
        state.members = {};
        estimate = {};
        estimate.incarnation = value.incarnation;
        estimate.speed = group_speed(state, group);
        estimate.speed.residual_wait_seconds = 0;
    }
    estimate.peer_group = group;
    estimate.slots = value.slots;
}

void on_dispatch(
    routing_state& state,
    const choice_request& request,
    const choice& made,
    time_point now)
{
    upstream_estimate* estimate = find_estimate(state, made.id);
    if (!estimate)
        return;
    drop_expired_dispatches(*estimate, now);
    drop_before(estimate->dispatch_times, now - load_report_lifetime);
    const double backlog = estimated_backlog_tokens(*estimate, now);
    const double share = cached_share(estimate->cache, request.prefix_blocks);
    estimate->in_flight.push_back(
        {now,
         backlog / estimate->speed.prompt_tokens_per_second,
         share * request.prompt_tokens});
    estimate->dispatch_times.push_back(now);
    estimate->backlog_tokens = backlog + made.recomputed_tokens;
    estimate->backlog_updated_at = now;
    add_prompt(estimate->cache, request.prefix_blocks);
}

void on_observed(
    routing_state& state, const attempt_observed& seen, time_point now)
{
    upstream_estimate* estimate = find_estimate(state, seen.target);
    if (!estimate)
        return;
    const pending_dispatch sent =
        remove_dispatch(*estimate, estimated_send_time(seen, now), now);
    if (!seen.failure)
        learn_from_success(state, *estimate, seen, sent, now);
    else if (is_upstream_fault(*seen.failure))
        record_failure(estimate->health, now);
    else
        estimate->full_backoff_until = now + full_upstream_backoff;
}

void on_ended(routing_state& state, const upstream_id& id, time_point now)
{
    if (upstream_estimate* estimate = find_estimate(state, id))
        remove_dispatch(*estimate, now, now);
}

void on_load(routing_state& state, const load_report& load, time_point now)
{
    upstream_estimate* estimate = find_estimate(state, load.id);
    if (!estimate || load.sequence <= estimate->load.sequence)
        return;
    estimate->load = load;
    estimate->load_received_at = now;
    learn_reported_token_time(
        group_speed(state, estimate->peer_group), *estimate, now);
    drop_before(estimate->dispatch_times, now - assumed_load_report_age);
    drop_before(estimate->end_times, now - assumed_load_report_age);
}

void on_cache_events(routing_state& state, const cache_events& events)
{
    if (upstream_estimate* estimate = find_estimate(state, events.id))
        apply_events(estimate->cache, events);
}

void on_bad_input(routing_state& state, const upstream_id& id, time_point now)
{
    upstream_estimate* estimate = find_estimate(state, id);
    if (!estimate)
        return;
    ++estimate->health.unreadable_messages;
    record_failure(estimate->health, now);
}

void on_lost(routing_state& state, const upstream_id& id)
{
    state.members = {};
    state.upstreams.erase(id);
}

double estimated_requests(const upstream_estimate& estimate, time_point now)
{
    const auto own = static_cast<double>(estimate.in_flight.size());
    const bool reported =
        estimate.load.sequence != 0 &&
        now < estimate.load_received_at + load_report_lifetime;
    if (!reported)
        return own;
    const double then =
        static_cast<double>(estimate.load.running) + estimate.load.queued;
    const double since = static_cast<double>(estimate.dispatch_times.size()) -
                         static_cast<double>(estimate.end_times.size());
    return std::max(own, then + since);
}

double
estimated_backlog_tokens(const upstream_estimate& estimate, time_point now)
{
    const double computed = to_seconds(now - estimate.backlog_updated_at) *
                            estimate.speed.prompt_tokens_per_second;
    return std::max(0.0, estimate.backlog_tokens - computed);
}

} // namespace bergamotusher::routing
