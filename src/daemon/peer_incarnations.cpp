#include "daemon/peer_incarnations.hpp"

#include <charconv>
#include <limits>

namespace bergamotusher
{

namespace
{

/// Minimum time between two notices to one node.
constexpr duration notice_interval = 100ms;

} // namespace

sender_process record_incarnation(
    peer_incarnations& known, const node_id& from, std::uint64_t incarnation)
{
    std::uint64_t& newest = known.newest[from];
    if (incarnation < newest)
        return sender_process::earlier;
    const bool has_restarted = newest != 0 && incarnation > newest;
    newest = incarnation;
    return has_restarted ? sender_process::restarted : sender_process::known;
}

bool should_notify(peer_incarnations& known, const node_id& to, time_point now)
{
    time_point& notified_at = known.notified_at[to];
    if (now - notified_at < notice_interval)
        return false;
    notified_at = now;
    return true;
}

void forget_node(peer_incarnations& known, const node_id& node)
{
    known.newest.erase(node);
    known.notified_at.erase(node);
}

std::optional<std::uint64_t>
incarnation_after_notice(std::uint64_t own, std::string_view body)
{
    std::uint64_t heard = 0;
    const char* const end = body.data() + body.size();
    const auto [parsed_to, error] = std::from_chars(body.data(), end, heard);
    if (error != std::errc() || parsed_to != end ||
        heard == std::numeric_limits<std::uint64_t>::max())
        return std::nullopt;
    // A late message of an earlier process brings a notice of the own one.
    return heard > own ? heard + 1 : own;
}

} // namespace bergamotusher
