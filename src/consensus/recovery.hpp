// Puts the state of a replica together from the records of its log segments.
#pragma once

#include "consensus/segment.hpp"

namespace bergamotusher::consensus
{

/// The state while records are read, oldest first.
struct recovery
{
    recovered_state state;
    /// The term of the entry at the snapshot's index, if the log had one.
    term_number term_at_base = 0;
    /// An entry is missing.
    bool gap = false;
};

/// Takes the next record. An entry replaces those at its index and above.
void replay(recovery& recovery, stored_record record);

/// Drops entries that conflict with the snapshot.
void finish(recovery& recovery);

} // namespace bergamotusher::consensus
