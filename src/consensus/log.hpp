// The part of the log that a replica holds in memory: every entry after the
// newest snapshot that was compacted away.
#pragma once

#include "consensus/types.hpp"

#include <deque>
#include <optional>

namespace bergamotusher::consensus
{

/// Entries `base_index + 1` to `last_index(log)`.
struct log
{
    log_index base_index = 0;
    term_number base_term = 0;
    std::deque<entry> entries;
};

/// The index of the newest entry, or of the base if there is none.
log_index last_index(const log& log);
/// The term of the entry `last_index(log)`.
term_number last_term(const log& log);
/// The term of the entry at `index`; nothing if it is not held.
std::optional<term_number> term_at(const log& log, log_index index);
/// The entry at `index`, which must be held.
const entry& entry_at(const log& log, log_index index);
/// Entries from `first` on, until `max_bytes` of commands are taken.
std::vector<entry>
entries_from(const log& log, log_index first, std::size_t max_bytes);
/// Removes the entries from `first` on.
void truncate_from(log& log, log_index first);
/// Forgets the entries up to `index`, which must be held.
void compact_to(log& log, log_index index);

} // namespace bergamotusher::consensus
