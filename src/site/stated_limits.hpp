// The limits that upstreams name in their answers, as read by all entries. An
// entry that has not asked an upstream yet, or has started again, learns them
// from the others.
#pragma once

#include "site/upstream_directory.hpp"

#include <bergamotusher/ids.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace bergamotusher::site
{

/// What an upstream's answer said of its limit.
struct stated_limit
{
    upstream_id upstream;
    /// Start of the incarnation that answered.
    std::int64_t started_ms = 0;
    /// Requests that it takes from all entries together; nothing if it names no
    /// limit any more.
    std::optional<double> requests_per_s;
    /// When an entry read it, by the time of day that the nodes agree on.
    std::int64_t read_at_ms = 0;
};

struct limit_board
{
    std::map<upstream_id, stated_limit> limits;
    /// Equal at nodes that know the same limits.
    std::uint64_t digest = 0;
};

/// Records the newest statement of the newest incarnation; of statements of one
/// moment, the lower limit. True if another limit is in force afterwards.
bool merge(limit_board& board, const stated_limit& value);

/// The limit of an incarnation; nothing if it names none.
std::optional<double> limit_of(
    const limit_board& board,
    const upstream_id& upstream,
    std::int64_t started_ms);

/// Removes, of what was read before `before_ms`, limits of incarnations that
/// the directory does not list as ready or draining, and statements that there
/// is none. These are kept until then, since older statements may be on their
/// way, and a limit may be heard of before its upstream.
void drop_obsolete(
    limit_board& board,
    const upstream_directory& directory,
    std::int64_t before_ms);

/// All statements, withdrawn limits included.
std::vector<stated_limit> statements(const limit_board& board);

} // namespace bergamotusher::site
