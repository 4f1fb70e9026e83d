#include "observe/timeline.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace bergamotusher::observe
{

namespace
{

template<class Id>
bool matches_id(const Id& wanted, const Id& value)
{
    return wanted.empty() || wanted == value;
}

} // namespace

void append(timeline& store, event value)
{
    if (store.events.full())
        ++store.overwritten;
    store.events.push_back(std::move(value));
}

bool matches(const event& value, const timeline_query& query)
{
    return (!query.since || value.at > *query.since) &&
           matches_id(query.request, value.request) &&
           matches_id(query.move, value.move) &&
           matches_id(query.target, value.target);
}

bool sorts_before(const event& left, const event& right)
{
    return std::tie(left.at, left.node) < std::tie(right.at, right.node);
}

std::vector<event> select(const timeline& store, const timeline_query& query)
{
    std::vector<event> found;
    std::copy_if(
        store.events.begin(),
        store.events.end(),
        std::back_inserter(found),
        [&query](const event& value) { return matches(value, query); });
    // Worker threads record events concurrently, so the buffer is only nearly
    // sorted.
    std::stable_sort(found.begin(), found.end(), sorts_before);
    if (found.size() <= query.limit)
        return found;
    const auto excess = static_cast<std::ptrdiff_t>(found.size() - query.limit);
    if (query.since)
        found.erase(found.end() - excess, found.end());
    else
        found.erase(found.begin(), found.begin() + excess);
    return found;
}

} // namespace bergamotusher::observe
