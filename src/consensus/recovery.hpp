// Rebuilds the state of a replica from the records of its log segments.
#pragma once

#include "consensus/segment.hpp"

namespace bergamotusher::consensus
{

/// The state rebuilt so far; records are replayed oldest first.
struct recovery
{
    recovered_state state;
    /// The term of the log's entry at the snapshot's index; 0 if it has none.
    term_number term_at_base = 0;
    /// An entry is missing between two records.
    bool has_gap = false;
};

/// Replays the next record. An entry replaces all entries from its index on.
void replay_record(recovery& recovery, stored_record record);

/// Drops all entries if the log's entry at the snapshot's index has another
/// term than the snapshot.
void finish_recovery(recovery& recovery);

} // namespace bergamotusher::consensus
