#include "consensus/recovery.hpp"

namespace bergamotusher::consensus
{

namespace
{

void replay_entry(recovery& recovery, entry entry)
{
    recovered_state& state = recovery.state;
    const log_index base = state.base.index;
    if (entry.index <= base)
    {
        state.entries.clear();
        recovery.term_at_base = entry.index == base ? entry.term : 0;
        return;
    }
    const log_index last = base + state.entries.size();
    if (entry.index > last + 1)
    {
        recovery.has_gap = true;
        return;
    }
    state.entries.resize(entry.index - base - 1);
    state.entries.push_back(std::move(entry));
}

} // namespace

void replay_record(recovery& recovery, stored_record record)
{
    recovery.state.hard = record.hard;
    for (entry& entry : record.entries)
        replay_entry(recovery, std::move(entry));
}

void finish_recovery(recovery& recovery)
{
    const snapshot& base = recovery.state.base;
    if (recovery.term_at_base != 0 && recovery.term_at_base != base.term)
        recovery.state.entries.clear();
}

} // namespace bergamotusher::consensus
