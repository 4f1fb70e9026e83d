#include "site/stated_limits.hpp"

#include "base/hash.hpp"

#include <bit>

namespace bergamotusher::site
{

namespace
{

/// What the statement adds to the digest of a board.
std::uint64_t digest_of(const stated_limit& value)
{
    return value.requests_per_s
               ? mixed_hash(
                     hash_of(value.upstream.value),
                     mixed_hash(
                         static_cast<std::uint64_t>(value.started_ms),
                         std::bit_cast<std::uint64_t>(*value.requests_per_s)))
               : 0;
}

} // namespace

bool merge(limit_board& board, const stated_limit& value)
{
    const auto [found, is_new] = board.limits.try_emplace(value.upstream);
    stated_limit& known = found->second;
    const bool had_limit = !is_new && known.started_ms == value.started_ms;
    const bool is_older =
        !is_new && (value.started_ms < known.started_ms ||
                    (had_limit && value.read_at_ms < known.read_at_ms));
    const bool is_looser = had_limit && value.read_at_ms == known.read_at_ms &&
                           known.requests_per_s &&
                           (!value.requests_per_s ||
                            *value.requests_per_s > *known.requests_per_s);
    if (is_older || is_looser)
        return false;
    const std::optional<double> before =
        had_limit ? known.requests_per_s : std::nullopt;
    const bool is_changed = value.requests_per_s != before;
    board.digest += digest_of(value) - digest_of(known);
    known = value;
    return is_changed;
}

std::optional<double> limit_of(
    const limit_board& board,
    const upstream_id& upstream,
    std::int64_t started_ms)
{
    const auto found = board.limits.find(upstream);
    if (found == board.limits.end() || found->second.started_ms != started_ms)
        return std::nullopt;
    return found->second.requests_per_s;
}

std::vector<stated_limit> statements(const limit_board& board)
{
    std::vector<stated_limit> all;
    all.reserve(board.limits.size());
    for (const auto& [id, each] : board.limits)
        all.push_back(each);
    return all;
}

void drop_obsolete(
    limit_board& board,
    const upstream_directory& directory,
    std::int64_t before_ms)
{
    const auto is_listed = [&](const stated_limit& each)
    {
        const auto found = directory.upstreams.find(each.upstream);
        return found != directory.upstreams.end() &&
               found->second.value.state != upstream_state::gone &&
               found->second.value.started_ms == each.started_ms;
    };
    std::erase_if(
        board.limits,
        [&](const auto& item)
        {
            const stated_limit& each = item.second;
            const bool is_obsolete = each.read_at_ms < before_ms &&
                                     (!each.requests_per_s || !is_listed(each));
            if (is_obsolete)
                board.digest -= digest_of(each);
            return is_obsolete;
        });
}

} // namespace bergamotusher::site
