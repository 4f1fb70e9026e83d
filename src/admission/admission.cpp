#include "admission/admission.hpp"

#include <algorithm>
#include <cmath>
#include <optional>
#include <tuple>

namespace bergamotusher::admission
{

namespace
{

/// Half-life of an account's peak.
constexpr duration peak_half_life = 5s;
/// An account whose running and waiting requests exceed this many times its
/// share must leave slots free for the other accounts.
constexpr double overload_factor = 2;
/// Weight of the latest holding time in the mean.
constexpr double holding_time_weight = 0.05;
constexpr duration min_retry_after = 50ms;
constexpr duration max_retry_after = 30s;
constexpr double min_account_weight = 0.001;

double running_and_waiting(const account_queue& queue)
{
    return static_cast<double>(queue.running + queue.waiting.size());
}

double decayed_peak(const account_queue& queue, time_point now)
{
    const double age = to_seconds(now - queue.peak_updated_at);
    const double decayed =
        queue.recent_peak * std::exp2(-age / to_seconds(peak_half_life));
    return std::max(decayed, running_and_waiting(queue));
}

void record_activity(account_queue& queue, time_point now)
{
    queue.recent_peak = decayed_peak(queue, now);
    queue.peak_updated_at = now;
    queue.last_active_at = now;
}

bool is_active(const account_queue& queue, time_point now)
{
    return running_and_waiting(queue) > 0 ||
           now < queue.last_active_at + activity_window;
}

/// The account's share of all slots, by weight among the active accounts.
double fair_slots(
    const service_queue& service,
    const account_queue& queue,
    const capacity_view& capacity,
    time_point now)
{
    double weights = 0;
    for (const auto& [id, other] : service.accounts)
        if (is_active(other, now))
            weights += other.weight;
    return weights <= 0 ? capacity.total
                        : capacity.total * queue.weight / weights;
}

/// Slots to keep free for the accounts other than `own` that are below their
/// shares and have recently needed more than they use now.
double reserved_slots(
    const service_queue& service,
    const account_queue& own,
    const capacity_view& capacity,
    time_point now)
{
    double reserved = 0;
    for (const auto& [id, other] : service.accounts)
    {
        if (&other == &own || !is_active(other, now))
            continue;
        const double share = fair_slots(service, other, capacity, now);
        const double needed = std::min(share, decayed_peak(other, now));
        reserved += std::max(0.0, needed - other.running);
    }
    return reserved;
}

/// Whether one more request of the account may run.
bool may_start(
    const service_queue& service,
    const account_queue& queue,
    const capacity_view& capacity,
    double free,
    time_point now)
{
    if (free < 1)
        return false;
    const double share = fair_slots(service, queue, capacity, now);
    if (queue.running + 1 <= share)
        return true;
    if (running_and_waiting(queue) <= overload_factor * share)
        return true;
    return free - 1 >= reserved_slots(service, queue, capacity, now);
}

bool can_meet_deadline(const waiting_request& one, time_point now)
{
    return now + one.info.running_time <= one.info.deadline;
}

/// Sort key within an account: by class, but a request that has waited for half
/// of its target counts as the most urgent class; then by the time at which the
/// target is due.
auto urgency(const waiting_request& one, time_point now)
{
    const duration target = one.info.target.first_token;
    const bool half_of_target_passed = now >= one.since + target / 2;
    const std::uint32_t priority =
        half_of_target_passed ? 0 : one.info.target.priority;
    return std::make_tuple(priority, one.since + target);
}

std::size_t most_urgent(const account_queue& queue, time_point now)
{
    const auto found = std::min_element(
        queue.waiting.begin(),
        queue.waiting.end(),
        [now](const auto& left, const auto& right)
        { return urgency(left, now) < urgency(right, now); });
    return static_cast<std::size_t>(found - queue.waiting.begin());
}

double start_tag(const service_queue& service, const account_queue& queue)
{
    return std::max(service.virtual_time, queue.finish_tag);
}

/// Updates the fair queueing tags and counters for a started request.
void record_start(
    admission_state& state,
    service_queue& service,
    account_queue& queue,
    const request_info& info,
    time_point now)
{
    const double tag = start_tag(service, queue);
    queue.finish_tag = tag + std::max(1.0, info.tokens) / queue.weight;
    service.virtual_time = std::max(service.virtual_time, tag);
    ++queue.running;
    record_activity(queue, now);
    state.running[info.id] = {info.service, info.account, now};
    ++state.counters.admitted;
}

/// The most urgent request of one account, with its start tag.
struct candidate
{
    account_queue* queue = nullptr;
    std::size_t position = 0;
    double tag = 0;
};

std::vector<candidate> startable_candidates(
    service_queue& service,
    const capacity_view& capacity,
    double free,
    time_point now)
{
    std::vector<candidate> all;
    for (auto& [id, queue] : service.accounts)
        if (!queue.waiting.empty() &&
            may_start(service, queue, capacity, free, now))
            all.push_back(
                {&queue, most_urgent(queue, now), start_tag(service, queue)});
    return all;
}

/// Selects the most urgent request among the accounts whose start tags are
/// within `max_priority_lag_tokens` of the lowest.
std::optional<candidate>
select_candidate(const std::vector<candidate>& all, time_point now)
{
    if (all.empty())
        return std::nullopt;
    double least = all.front().tag;
    for (const candidate& one : all)
        least = std::min(least, one.tag);
    std::optional<candidate> best;
    const auto rank = [now](const candidate& one)
    {
        const auto& request = one.queue->waiting[one.position];
        return std::make_tuple(
            std::get<0>(urgency(request, now)), one.tag, request.since);
    };
    for (const candidate& one : all)
    {
        if (one.tag > least + max_priority_lag_tokens / one.queue->weight)
            continue;
        if (!best || rank(one) < rank(*best))
            best = one;
    }
    return best;
}

void drop_unfinishable(
    admission_state& state,
    service_queue& service,
    std::vector<request_id>& dropped,
    time_point now)
{
    for (auto& [id, queue] : service.accounts)
        std::erase_if(
            queue.waiting,
            [&](const waiting_request& one)
            {
                if (can_meet_deadline(one, now))
                    return false;
                dropped.push_back(one.info.id);
                ++state.counters.dropped;
                return true;
            });
}

/// Expected time until a new request of the account would start.
duration expected_wait(
    const service_queue& service,
    const account_queue& queue,
    const capacity_view& capacity,
    time_point now)
{
    const double slots =
        std::max(1.0, fair_slots(service, queue, capacity, now));
    const double ahead = running_and_waiting(queue) + 1 - slots;
    const double waiting = std::max(1.0, std::max(0.0, ahead));
    return from_seconds(waiting * service.holding_seconds / slots);
}

refused refuse(admission_state& state, error_kind kind, duration retry_after)
{
    if (kind == error_kind::rate_limited)
        ++state.counters.rate_limited;
    else
        ++state.counters.overloaded;
    return {
        kind,
        std::clamp<duration>(retry_after, min_retry_after, max_retry_after)};
}

account_budget& find_or_create_budget(
    admission_state& state, const account& limits, time_point now)
{
    const auto found = state.budgets.find(limits.name);
    if (found != state.budgets.end())
        return found->second;
    return state.budgets
        .emplace(limits.name, initial_budget(limits, state.entries, now))
        .first->second;
}

/// Starts or queues a request that the budget allows.
offer_result start_or_queue(
    admission_state& state,
    service_queue& service,
    account_queue& queue,
    const request_info& request,
    const capacity_view& capacity,
    time_point now)
{
    if (queue.waiting.empty() &&
        may_start(service, queue, capacity, capacity.free, now))
    {
        record_start(state, service, queue, request, now);
        return admitted{};
    }
    queue.waiting.push_back({request, now});
    record_activity(queue, now);
    ++state.counters.queued;
    return queued{expected_wait(service, queue, capacity, now)};
}

} // namespace

offer_result offer(
    admission_state& state,
    const account& limits,
    const request_info& request,
    const capacity_view& capacity,
    time_point now)
{
    service_queue& service = state.services[request.service];
    account_queue& queue = service.accounts[request.account];
    queue.weight = std::max(limits.weight, min_account_weight);
    queue.last_active_at = now;
    if (now + request.running_time > request.deadline)
        return refuse(state, error_kind::overloaded, min_retry_after);
    const bool full = queue.waiting.size() >= max_waiting_per_account;
    const duration wait = expected_wait(service, queue, capacity, now);
    const bool starts = queue.waiting.empty() &&
                        may_start(service, queue, capacity, capacity.free, now);
    const bool late = now + wait + request.running_time > request.deadline;
    if (!starts && (full || late))
        return refuse(state, error_kind::overloaded, wait);
    const auto budget_wait = try_spend(
        find_or_create_budget(state, limits, now),
        limits,
        state.entries,
        request.tokens,
        now);
    if (budget_wait)
        return refuse(state, error_kind::rate_limited, *budget_wait);
    return start_or_queue(state, service, queue, request, capacity, now);
}

next_result next(
    admission_state& state,
    const service_name& service,
    const capacity_view& capacity,
    time_point now)
{
    next_result result;
    const auto found = state.services.find(service);
    if (found == state.services.end())
        return result;
    service_queue& queues = found->second;
    drop_unfinishable(state, queues, result.dropped, now);
    double free = capacity.free;
    while (const auto best = select_candidate(
               startable_candidates(queues, capacity, free, now), now))
    {
        const auto at = best->queue->waiting.begin() +
                        static_cast<std::ptrdiff_t>(best->position);
        const request_info info = std::move(at->info);
        best->queue->waiting.erase(at);
        record_start(state, queues, *best->queue, info, now);
        result.started.push_back(info.id);
        free -= 1;
    }
    return result;
}

void finished(admission_state& state, const request_id& id, time_point now)
{
    const auto found = state.running.find(id);
    if (found == state.running.end())
        return;
    const running_request& ended = found->second;
    service_queue& service = state.services[ended.service];
    account_queue& queue = service.accounts[ended.account];
    record_activity(queue, now);
    if (queue.running > 0)
        --queue.running;
    const double held = to_seconds(now - ended.since);
    service.holding_seconds +=
        holding_time_weight * (held - service.holding_seconds);
    state.running.erase(found);
}

bool withdraw(
    admission_state& state, const service_name& service, const request_id& id)
{
    const auto found = state.services.find(service);
    if (found == state.services.end())
        return false;
    for (auto& [account, queue] : found->second.accounts)
    {
        const auto count = std::erase_if(
            queue.waiting,
            [&id](const waiting_request& one) { return one.info.id == id; });
        if (count > 0)
            return true;
    }
    return false;
}

} // namespace bergamotusher::admission
