#include "admission/admission.hpp"

#include <algorithm>
#include <cmath>
#include <optional>
#include <tuple>

namespace bergamotusher::admission
{

namespace
{

/// The memory of an account's peak falls by half in this time.
constexpr duration peak_half_life = 5s;
/// An account that runs and waits for more than this many times its share
/// leaves slots free for the others.
constexpr double flood_factor = 2;
/// Weight of a newly seen holding time.
constexpr double holding_weight = 0.05;
constexpr duration shortest_retry = 50ms;
constexpr duration longest_retry = 30s;
constexpr double least_weight = 0.001;

double size_of(const account_queue& queue)
{
    return static_cast<double>(queue.running + queue.waiting.size());
}

double peak_now(const account_queue& queue, time_point now)
{
    const double age = to_seconds(now - queue.peak_at);
    const double faded =
        queue.peak * std::exp2(-age / to_seconds(peak_half_life));
    return std::max(faded, size_of(queue));
}

void note_activity(account_queue& queue, time_point now)
{
    queue.peak = peak_now(queue, now);
    queue.peak_at = now;
    queue.active_at = now;
}

bool is_active(const account_queue& queue, time_point now)
{
    return size_of(queue) > 0 || now < queue.active_at + activity_window;
}

/// Slots that belong to an account while all active ones want them.
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

/// Slots to be left free for the accounts other than `own` that are below
/// their shares and have lately needed more than they use now.
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
        const double needed = std::min(share, peak_now(other, now));
        reserved += std::max(0.0, needed - other.running);
    }
    return reserved;
}

/// Whether one more request of the account may run.
bool has_room(
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
    if (size_of(queue) <= flood_factor * share)
        return true;
    return free - 1 >= reserved_slots(service, queue, capacity, now);
}

bool can_finish(const waiting_request& one, time_point now)
{
    return now + one.info.running_time <= one.info.deadline;
}

/// The order within an account: by class, but what has waited for half of its
/// target counts as the most urgent class; then by the time it is due.
auto urgency(const waiting_request& one, time_point now)
{
    const duration target = one.info.target.first_token;
    const bool pressing = now >= one.since + target / 2;
    const std::uint32_t priority = pressing ? 0 : one.info.target.priority;
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

/// Accounts the start of a request of `tokens`.
void count_start(
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
    note_activity(queue, now);
    state.running[info.id] = {info.service, info.account, now};
    ++state.counters.admitted;
}

/// One account's best request, with what it is compared by.
struct contender
{
    account_queue* queue = nullptr;
    std::size_t position = 0;
    double tag = 0;
};

std::vector<contender> contenders(
    service_queue& service,
    const capacity_view& capacity,
    double free,
    time_point now)
{
    std::vector<contender> all;
    for (auto& [id, queue] : service.accounts)
        if (!queue.waiting.empty() &&
            has_room(service, queue, capacity, free, now))
            all.push_back(
                {&queue, most_urgent(queue, now), start_tag(service, queue)});
    return all;
}

/// Among the accounts that are about level, the most urgent request.
std::optional<contender> pick(const std::vector<contender>& all, time_point now)
{
    if (all.empty())
        return std::nullopt;
    double least = all.front().tag;
    for (const contender& one : all)
        least = std::min(least, one.tag);
    std::optional<contender> best;
    const auto rank = [now](const contender& one)
    {
        const auto& request = one.queue->waiting[one.position];
        return std::make_tuple(
            std::get<0>(urgency(request, now)), one.tag, request.since);
    };
    for (const contender& one : all)
    {
        if (one.tag > least + priority_window / one.queue->weight)
            continue;
        if (!best || rank(one) < rank(*best))
            best = one;
    }
    return best;
}

void drop_late(
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
                if (can_finish(one, now))
                    return false;
                dropped.push_back(one.info.id);
                ++state.counters.dropped;
                return true;
            });
}

/// Time until a new request of the account would start.
duration expected_wait(
    const service_queue& service,
    const account_queue& queue,
    const capacity_view& capacity,
    time_point now)
{
    const double slots =
        std::max(1.0, fair_slots(service, queue, capacity, now));
    const double ahead = size_of(queue) + 1 - slots;
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
        kind, std::clamp<duration>(retry_after, shortest_retry, longest_retry)};
}

account_budget&
budget_of(admission_state& state, const account& limits, time_point now)
{
    const auto found = state.budgets.find(limits.name);
    if (found != state.budgets.end())
        return found->second;
    return state.budgets
        .emplace(limits.name, initial_budget(limits, state.entries, now))
        .first->second;
}

/// Places a request that the budget allows.
offer_result place(
    admission_state& state,
    service_queue& service,
    account_queue& queue,
    const request_info& request,
    const capacity_view& capacity,
    time_point now)
{
    if (queue.waiting.empty() &&
        has_room(service, queue, capacity, capacity.free, now))
    {
        count_start(state, service, queue, request, now);
        return admitted{};
    }
    queue.waiting.push_back({request, now});
    note_activity(queue, now);
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
    queue.weight = std::max(limits.weight, least_weight);
    queue.active_at = now;
    if (now + request.running_time > request.deadline)
        return refuse(state, error_kind::overloaded, shortest_retry);
    const bool full = queue.waiting.size() >= max_waiting;
    const duration wait = expected_wait(service, queue, capacity, now);
    const bool starts = queue.waiting.empty() &&
                        has_room(service, queue, capacity, capacity.free, now);
    const bool late = now + wait + request.running_time > request.deadline;
    if (!starts && (full || late))
        return refuse(state, error_kind::overloaded, wait);
    const auto missing = spend(
        budget_of(state, limits, now),
        limits,
        state.entries,
        request.tokens,
        now);
    if (missing)
        return refuse(state, error_kind::rate_limited, *missing);
    return place(state, service, queue, request, capacity, now);
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
    drop_late(state, queues, result.dropped, now);
    double free = capacity.free;
    while (const auto best = pick(contenders(queues, capacity, free, now), now))
    {
        const auto at = best->queue->waiting.begin() +
                        static_cast<std::ptrdiff_t>(best->position);
        const request_info info = std::move(at->info);
        best->queue->waiting.erase(at);
        count_start(state, queues, *best->queue, info, now);
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
    note_activity(queue, now);
    if (queue.running > 0)
        --queue.running;
    const double held = to_seconds(now - ended.since);
    service.holding_seconds +=
        holding_weight * (held - service.holding_seconds);
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
