#include "site/move_history.hpp"

#include <algorithm>

namespace bergamotusher::site
{

version_move next_move(
    const version_move& before,
    const service_name& service,
    const version_name& target,
    std::int64_t now_ms,
    std::int64_t duration_ms)
{
    version_move next;
    next.service = service;
    next.target = target;
    next.started_ms = now_ms;
    next.duration_ms = duration_ms;
    next.number = before.number + 1;
    next.rejected = before.rejected;
    next.accepted = before.accepted;
    if (before.number != 0)
    {
        if (before.state == move_state::completed)
            next.accepted = before.target;
        else if (!is_in_force(before, before.target))
            next.rejected.push_back(before.target);
    }
    next.rejected.erase(
        std::remove(next.rejected.begin(), next.rejected.end(), target),
        next.rejected.end());
    if (next.rejected.size() > max_rejected_versions)
        next.rejected.erase(next.rejected.begin());
    return next;
}

bool is_rejected(const version_move& move, const version_name& version)
{
    return std::find(move.rejected.begin(), move.rejected.end(), version) !=
           move.rejected.end();
}

bool is_in_force(const version_move& move, const version_name& version)
{
    return !move.accepted.empty() && version == move.accepted;
}

} // namespace bergamotusher::site
