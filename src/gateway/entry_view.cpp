#include "gateway/entry_view.hpp"

#include "base/hash.hpp"

#include <algorithm>

namespace bergamotusher::gateway
{

std::vector<std::string> follow_directory(entry_view& view, time_point now)
{
    std::set<std::string> held;
    std::set<std::string> known;
    for (const auto& [id, each] : view.upstreams)
        known.insert(each->value.address);
    for (auto i = view.upstreams.begin(); i != view.upstreams.end();)
    {
        const auto found = view.directory.upstreams.find(i->first);
        const bool kept =
            found != view.directory.upstreams.end() &&
            found->second.value.state != site::upstream_state::gone;
        i = kept ? std::next(i) : view.upstreams.erase(i);
    }
    view.by_service.clear();
    for (const auto& [id, each] : view.directory.upstreams)
    {
        if (each.value.state == site::upstream_state::gone)
            continue;
        std::unique_ptr<upstream_view>& own = view.upstreams[id];
        // A new incarnation holds nothing of what the one before it held.
        if (!own || own->value.started_ms != each.value.started_ms)
        {
            own = std::make_unique<upstream_view>();
            own->known_since = now;
        }
        own->value = each.value;
        own->id_hash = hash_of(id.value);
        held.insert(each.value.address);
        view.by_service[each.value.service].push_back(own.get());
    }
    std::vector<std::string> left;
    std::set_difference(
        known.begin(),
        known.end(),
        held.begin(),
        held.end(),
        std::back_inserter(left));
    return left;
}

std::uint64_t usage_window_at(const entry_view& view, time_point now)
{
    const duration true_time =
        now.time_since_epoch() + std::chrono::milliseconds(view.time_offset_ms);
    return static_cast<std::uint64_t>(true_time / view.usage_window);
}

std::vector<upstream_view*> candidates(
    const entry_view& view, const service_name& service, std::uint32_t draw)
{
    const auto found = view.by_service.find(service);
    if (found == view.by_service.end())
        return {};
    const auto move = view.moves.find(service);
    if (move == view.moves.end())
        return found->second;
    const version_name& target = move->second.target;
    bool to_target = false;
    switch (move->second.state)
    {
    case site::move_state::active:
        to_target = draw < move->second.share;
        break;
    case site::move_state::completed:
        to_target = true;
        break;
    case site::move_state::reverted:
        break;
    }
    std::vector<upstream_view*> chosen;
    for (upstream_view* each : found->second)
        if ((each->value.version == target) == to_target)
            chosen.push_back(each);
    // The version that is left is better than none, but for one that was
    // taken back.
    const bool only_other =
        chosen.empty() &&
        (to_target || move->second.state == site::move_state::completed);
    return only_other ? found->second : chosen;
}

} // namespace bergamotusher::gateway
