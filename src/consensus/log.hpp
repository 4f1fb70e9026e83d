// The part of the log that a replica holds in memory: all entries after the
// last compaction.
#pragma once

#include "consensus/types.hpp"

#include <deque>
#include <optional>

namespace bergamotusher::consensus
{

/// Holds the entries `base_index + 1` to `last_index(log)`; `base_term` is the
/// term of the entry at `base_index`.
struct log
{
    log_index base_index = 0;
    term_number base_term = 0;
    std::deque<entry> entries;
    /// The sum of `size_of` over `entries`.
    std::size_t bytes = 0;
};

/// Bytes that the entry occupies in memory, about as many as on disk.
std::size_t size_of(const entry& value);

/// The index of the newest entry, or of the base if there is none.
log_index last_index(const log& log);
/// The term of the entry at `last_index(log)`.
term_number last_term(const log& log);
/// The term of the entry at `index` or at the base; nothing outside the log.
std::optional<term_number> term_at(const log& log, log_index index);
/// The entry at `index`, which must be in the log.
const entry& entry_at(const log& log, log_index index);
/// Entries from `first` on, in order, until their size reaches `max_bytes`; at
/// least one if there is any.
std::vector<entry>
entries_from(const log& log, log_index first, std::size_t max_bytes);
/// Adds the entry after `last_index(log)`.
void append(log& log, entry value);
/// Removes the entries from `first` on.
void truncate_from(log& log, log_index first);
/// Removes the entries up to `index`, which must be in the log, and makes
/// `index` the base.
void compact_to(log& log, log_index index);

} // namespace bergamotusher::consensus
