#include "rollout/upstream_plan.hpp"

#include <algorithm>
#include <cmath>
#include <map>

namespace bergamotusher::rollout
{

namespace
{

/// A trial at a service with fewer upstreams than this uses one of them, else
/// two.
constexpr std::uint32_t small_service_size = 6;
constexpr std::uint32_t max_doublings = 6;

std::int64_t milliseconds(duration span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

wall_time after(wall_time at, duration span)
{
    return {at.milliseconds + milliseconds(span)};
}

template<class Ids>
bool contains(const Ids& ids, const upstream_id& id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

bool is_ordered(
    const std::vector<load_order>& orders, const upstream_id& target)
{
    return std::any_of(
        orders.begin(),
        orders.end(),
        [&](const load_order& order) { return order.target == target; });
}

const upstream_view* find(const evidence_view& view, const upstream_id& id)
{
    for (const upstream_view& each : view.upstreams)
        if (each.id == id)
            return &each;
    return nullptr;
}

duration retry_after(std::uint32_t tries, const move_policy& policy)
{
    const auto doublings = std::min(tries, max_doublings);
    return std::min(
        policy.min_retry_delay * (1 << doublings), policy.max_retry_delay);
}

bool sent_recently(
    const std::vector<load_order>& orders, wall_time wall, duration gap)
{
    return std::any_of(
        orders.begin(),
        orders.end(),
        [&](const load_order& order) { return wall < after(order.sent, gap); });
}

/// A refused or unanswered order whose retry time has come, or null.
load_order* find_due_retry(std::vector<load_order>& orders, wall_time wall)
{
    for (load_order& order : orders)
        if (wall >= order.retry_at)
            return &order;
    return nullptr;
}

const upstream_view* next_to_load(
    const version_move& move,
    const std::vector<load_order>& orders,
    const std::vector<upstream_view>& others)
{
    for (const upstream_view& each : others)
        if (!is_ordered(orders, each.id) && !contains(move.control, each.id))
            return &each;
    for (const upstream_view& each : others)
        if (!is_ordered(orders, each.id))
            return &each;
    return nullptr;
}

load_order* append_order(
    std::vector<load_order>& orders,
    const upstream_id& target,
    const version_name& version)
{
    load_order added;
    added.target = target;
    added.version = version;
    orders.push_back(std::move(added));
    return &orders.back();
}

/// A suspect that runs the new version, if the service lacks upstreams that
/// carry traffic. It is given its old version back before another upstream
/// loads the new one.
const upstream_view*
suspect_to_restore(const version_move& move, const evidence_view& view)
{
    const std::size_t carrying =
        serving_upstreams(move, view, move.from).size() +
        serving_upstreams(move, view, move.to).size();
    if (has_ended(move) || carrying >= move.base)
        return nullptr;
    for (const upstream_view& each : view.upstreams)
        if (each.serving && each.version == move.to &&
            contains(move.suspects, each.id))
            return &each;
    return nullptr;
}

load_order* add_order(
    const version_move& move,
    std::vector<load_order>& orders,
    const evidence_view& view,
    const move_policy& policy,
    const version_name& version,
    std::size_t wanted,
    std::size_t reserve)
{
    if (const auto* suspect = suspect_to_restore(move, view))
        return is_ordered(orders, suspect->id)
                   ? nullptr
                   : append_order(orders, suspect->id, move.from);
    std::vector<upstream_view> others;
    std::size_t left = 0;
    for (const upstream_view& each : view.upstreams)
    {
        if (!each.serving || each.version == version)
            continue;
        ++left;
        if (has_ended(move) || !contains(move.suspects, each.id))
            others.push_back(each);
    }
    const std::size_t have =
        serving_upstreams(move, view, version).size() + orders.size();
    if (have >= wanted || orders.size() >= policy.max_concurrent_loads ||
        left <= reserve + orders.size())
        return nullptr;
    const upstream_view* next = next_to_load(move, orders, others);
    return next == nullptr ? nullptr : append_order(orders, next->id, version);
}

} // namespace

std::vector<upstream_view> serving_upstreams(
    const version_move& move,
    const evidence_view& view,
    const version_name& version)
{
    std::vector<upstream_view> found;
    for (const upstream_view& each : view.upstreams)
        if (each.serving && each.version == version &&
            (version != move.to || !contains(move.suspects, each.id)))
            found.push_back(each);
    return found;
}

std::size_t trial_size(const version_move& move)
{
    return move.base >= small_service_size ? 2 : 1;
}

std::size_t upstreams_needed(
    const version_move& move, const move_policy& policy, double share)
{
    const auto reserve = static_cast<std::size_t>(
        std::max(1.0, std::round(policy.old_version_reserve * move.base)));
    const std::size_t most = std::max<std::size_t>(
        1, move.base - std::min<std::size_t>(reserve, move.base));
    const auto needed = static_cast<std::size_t>(std::ceil(share * move.base));
    return std::clamp<std::size_t>(needed, 1, most);
}

std::vector<upstream_id> pick_across_domains(
    const version_move& move,
    const evidence_view& view,
    const version_name& version,
    std::size_t count,
    const std::vector<upstream_id>& kept)
{
    std::vector<upstream_id> picked;
    std::map<failure_domain, std::size_t> used;
    auto left = serving_upstreams(move, view, version);
    const auto pick = [&](std::vector<upstream_view>::iterator at)
    {
        picked.push_back(at->id);
        ++used[at->domain];
        left.erase(at);
    };
    for (const upstream_id& id : kept)
    {
        const auto at = std::find_if(
            left.begin(),
            left.end(),
            [&](const upstream_view& each) { return each.id == id; });
        if (at != left.end() && picked.size() < count)
            pick(at);
    }
    while (picked.size() < count && !left.empty())
        pick(std::min_element(
            left.begin(),
            left.end(),
            [&](const upstream_view& a, const upstream_view& b)
            { return used[a.domain] < used[b.domain]; }));
    return picked;
}

bool update_orders(
    std::vector<load_order>& orders,
    const evidence_view& view,
    const move_policy& policy,
    wall_time wall)
{
    bool changed = false;
    for (load_order& order : orders)
        if (contains(view.refused, order.target))
        {
            order.retry_at = after(wall, retry_after(order.tries, policy));
            changed = true;
        }
    const auto is_done = [&](const load_order& order)
    {
        const upstream_view* target = find(view, order.target);
        return target == nullptr || !target->serving ||
               target->version == order.version;
    };
    const auto done = std::remove_if(orders.begin(), orders.end(), is_done);
    changed |= done != orders.end();
    orders.erase(done, orders.end());
    return changed;
}

std::vector<order_load> plan_orders(
    const version_move& move,
    std::vector<load_order>& orders,
    const evidence_view& view,
    const move_policy& policy,
    const version_name& version,
    std::size_t wanted,
    std::size_t reserve,
    wall_time wall)
{
    if (sent_recently(orders, wall, policy.order_interval))
        return {};
    load_order* order = find_due_retry(orders, wall);
    if (order == nullptr)
        order = add_order(move, orders, view, policy, version, wanted, reserve);
    if (order == nullptr)
        return {};
    order->sent = wall;
    ++order->tries;
    order->retry_at = after(wall, policy.load_timeout);
    return {{move.id, order->target, order->version}};
}

} // namespace bergamotusher::rollout
