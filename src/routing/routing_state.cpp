#include "routing/routing_state.hpp"

#include <algorithm>

namespace bergamotusher::routing
{

namespace
{

/// Times below this are not compared, in seconds.
constexpr double least_seconds = 0.002;
/// What a slow answer counts for at most, in usual ones.
constexpr double most_unusual = 1.2;
/// Reports of fewer requests say little of the pace.
constexpr std::uint32_t least_running = 2;
/// Weight of the group's reports before any upstream is compared with them.
constexpr double least_reports = 10;

/// What the upstreams of a group have shown together.
speed_estimate& group_speed(routing_state& state, const std::string& name)
{
    return state.classes.try_emplace(name, initial_speed()).first->second;
}

upstream_estimate* known(routing_state& state, const upstream_id& id)
{
    const auto found = state.upstreams.find(id);
    return found == state.upstreams.end() ? nullptr : &found->second;
}

void drop_before(std::deque<time_point>& times, time_point limit)
{
    while (!times.empty() && times.front() < limit)
        times.pop_front();
}

void drop_unseen(upstream_estimate& estimate, time_point now)
{
    std::erase_if(
        estimate.in_flight,
        [now](const own_dispatch& one)
        { return one.sent + dispatch_lifetime < now; });
}

/// Counts the end of the own dispatch that was sent closest to `sent`.
own_dispatch
count_end(upstream_estimate& estimate, time_point sent, time_point now)
{
    if (estimate.in_flight.empty())
        return {sent};
    const auto distance = [sent](const own_dispatch& one)
    {
        return one.sent < sent ? sent - one.sent : one.sent - sent;
    };
    const auto found = std::min_element(
        estimate.in_flight.begin(),
        estimate.in_flight.end(),
        [&distance](const auto& left, const auto& right)
        { return distance(left) < distance(right); });
    const own_dispatch ended = *found;
    estimate.in_flight.erase(found);
    estimate.ended.push_back(now);
    drop_before(estimate.ended, now - load_lifetime);
    return ended;
}

/// When the attempt must have been sent, by the times that it shows.
time_point sent_at(const attempt_observed& seen, time_point now)
{
    const duration first = seen.first_token.value_or(duration::zero());
    const duration gap = seen.mean_gap.value_or(duration::zero());
    return now - first - gap * seen.answered_tokens;
}

double used_share(const upstream_estimate& estimate, time_point now)
{
    return requests_at(estimate, now) / std::max(1U, estimate.slots);
}

/// How many times slower the answer was than those of the group are.
double slowness_of(
    const speed_estimate& usual, const attempt_observed& seen, double used)
{
    if (seen.mean_gap)
        return to_seconds(*seen.mean_gap) /
               std::max(gap_at(usual, used), least_seconds);
    if (seen.first_token && usual.whole_seconds > 0)
        return to_seconds(*seen.first_token) /
               std::max(usual.whole_seconds, least_seconds);
    return 1;
}

/// Learns what is usual in the group. A slow answer counts for little more
/// than a usual one, so that one slow upstream among few does not become the
/// measure of the others.
void learn_usual(
    speed_estimate& usual, const attempt_observed& seen, double used)
{
    if (!seen.mean_gap)
    {
        if (seen.first_token)
            learn_whole_answer(usual, *seen.first_token);
        return;
    }
    const duration most = from_seconds(most_unusual * gap_at(usual, used));
    learn_gap(usual, std::min(*seen.mean_gap, most), used);
}

/// Compares the reported time for a token with that of the group.
void judge_pace(
    speed_estimate& usual, upstream_estimate& estimate, time_point now)
{
    const load_report& load = estimate.load;
    if (load.running < least_running || load.tokens_per_second <= 0)
        return;
    const double used =
        static_cast<double>(load.running) / std::max(1U, estimate.slots);
    const double seen = load.running / load.tokens_per_second;
    const double expected = value_at(usual.pace, used);
    if (usual.pace.weight >= least_reports)
        note_pace(estimate.health, seen / expected, now);
    const bool known = usual.pace.weight > 0;
    add(usual.pace,
        used,
        known ? std::min(seen, most_unusual * expected) : seen);
}

/// The upstream's own failure, as against a full queue.
bool is_fault(attempt_failure reason)
{
    return reason != attempt_failure::refused;
}

void learn(
    routing_state& state,
    upstream_estimate& estimate,
    const attempt_observed& seen,
    const own_dispatch& sent,
    time_point now)
{
    const double used = used_share(estimate, now);
    speed_estimate& usual = group_speed(state, estimate.peer_group);
    note_success(estimate.health, slowness_of(usual, seen, used), now);
    if (seen.first_token)
    {
        const double tokens = seen.recomputed_tokens;
        const double wait = sent.own_wait;
        learn_first_token(estimate.speed, *seen.first_token, tokens, wait, now);
        learn_first_token(usual, *seen.first_token, tokens, wait, now);
    }
    if (seen.mean_gap)
        learn_gap(estimate.speed, *seen.mean_gap, used);
    learn_usual(usual, seen, used);
    confirm(estimate.cache, sent.cached_tokens, seen.cached_tokens);
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
        estimate.speed.unexplained_wait = 0;
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
    upstream_estimate* estimate = known(state, made.id);
    if (!estimate)
        return;
    drop_unseen(*estimate, now);
    drop_before(estimate->dispatched, now - load_lifetime);
    const double backlog = backlog_at(*estimate, now);
    const double share = cached_share(estimate->cache, request.prefix_blocks);
    estimate->in_flight.push_back(
        {now,
         backlog / estimate->speed.prompt_tokens_per_second,
         share * request.prompt_tokens});
    estimate->dispatched.push_back(now);
    estimate->backlog_tokens = backlog + made.recomputed_tokens;
    estimate->backlog_at = now;
    remember(estimate->cache, request.prefix_blocks);
}

void on_observed(
    routing_state& state, const attempt_observed& seen, time_point now)
{
    upstream_estimate* estimate = known(state, seen.target);
    if (!estimate)
        return;
    const own_dispatch sent = count_end(*estimate, sent_at(seen, now), now);
    if (!seen.failure)
        learn(state, *estimate, seen, sent, now);
    else if (is_fault(*seen.failure))
        note_failure(estimate->health, now);
    else
        estimate->full_until = now + full_pause;
}

void on_ended(routing_state& state, const upstream_id& id, time_point now)
{
    if (upstream_estimate* estimate = known(state, id))
        count_end(*estimate, now, now);
}

void on_load(routing_state& state, const load_report& load, time_point now)
{
    upstream_estimate* estimate = known(state, load.id);
    if (!estimate || load.sequence <= estimate->load.sequence)
        return;
    estimate->load = load;
    estimate->load_at = now;
    judge_pace(group_speed(state, estimate->peer_group), *estimate, now);
    drop_before(estimate->dispatched, now - assumed_load_lag);
    drop_before(estimate->ended, now - assumed_load_lag);
}

void on_cache_events(routing_state& state, const cache_events& events)
{
    if (upstream_estimate* estimate = known(state, events.id))
        apply(estimate->cache, events);
}

void on_bad_input(routing_state& state, const upstream_id& id, time_point now)
{
    upstream_estimate* estimate = known(state, id);
    if (!estimate)
        return;
    ++estimate->health.bad_input;
    note_failure(estimate->health, now);
}

void on_lost(routing_state& state, const upstream_id& id)
{
    state.members = {};
    state.upstreams.erase(id);
}

double requests_at(const upstream_estimate& estimate, time_point now)
{
    const auto own = static_cast<double>(estimate.in_flight.size());
    const bool reported =
        estimate.load.sequence != 0 && now < estimate.load_at + load_lifetime;
    if (!reported)
        return own;
    const double then =
        static_cast<double>(estimate.load.running) + estimate.load.queued;
    const double since = static_cast<double>(estimate.dispatched.size()) -
                         static_cast<double>(estimate.ended.size());
    return std::max(own, then + since);
}

double backlog_at(const upstream_estimate& estimate, time_point now)
{
    const double computed = to_seconds(now - estimate.backlog_at) *
                            estimate.speed.prompt_tokens_per_second;
    return std::max(0.0, estimate.backlog_tokens - computed);
}

} // namespace bergamotusher::routing
