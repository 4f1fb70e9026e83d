#include "site/departure_queue.hpp"

#include <utility>

namespace bergamotusher::site
{

void enqueue(
    departure_queue& queue, const upstream_id& id, const departure& value)
{
    if (!is_recorded(queue.under_way, id, value) &&
        !is_recorded(queue.waiting, id, value))
        queue.waiting[id] = value;
}

departure_map start_change(departure_queue& queue)
{
    if (queue.under_way.empty())
        queue.under_way = std::exchange(queue.waiting, {});
    else
        return {};
    return queue.under_way;
}

void end_change(departure_queue& queue)
{
    queue.under_way.clear();
}

} // namespace bergamotusher::site
