#include "state/transitions.hpp"

#include <algorithm>
#include <utility>

namespace bergamotusher::state
{

namespace
{

using entry_iterator = std::map<journal_key, journal_entry>::iterator;

void drop_body(journal& requests, journal_entry& entry)
{
    auto& answer = entry.record.answer;
    if (answer.body.empty())
        return;
    requests.body_bytes -= answer.body.size();
    requests.bodies.erase({entry.changed, entry.record.key});
    answer.body.clear();
    answer.body.shrink_to_fit();
    answer.truncated = true;
}

/// Sets the time of the record's last change. The state's clock may lag behind
/// the proposer's, and the record must outlive every duplicate of its command,
/// so the later of the two times is used, at most one window ahead.
void set_change_time(
    replicated_state& state, journal_entry& entry, wall_time proposed)
{
    auto& ages = state.requests.by_age;
    ages.erase({entry.changed, entry.record.key});
    const std::int64_t clock = state.clock.milliseconds;
    const std::int64_t at = std::clamp(
        proposed.milliseconds, clock, clock + state.bounds.journal_window_ms);
    entry.changed = std::max(entry.changed, wall_time{at});
    ages.insert({entry.changed, entry.record.key});
}

journal_entry&
insert(replicated_state& state, const journal_key& key, wall_time proposed)
{
    journal_entry& entry = state.requests.entries[key];
    entry.record.key = key;
    set_change_time(state, entry, proposed);
    return entry;
}

void erase(journal& requests, entry_iterator found)
{
    drop_body(requests, found->second);
    requests.by_age.erase({found->second.changed, found->first});
    requests.entries.erase(found);
}

template<class Request>
bool is_same_attempt(const journal_record& record, const Request& request)
{
    return record.owner == request.owner &&
           record.owner_incarnation == request.owner_incarnation &&
           record.attempt == request.attempt;
}

command_outcome
make_begin_outcome(begin_outcome outcome, const journal_record& record)
{
    command_outcome result;
    result.begin = begin_result{outcome, record};
    return result;
}

begin_outcome outcome_for_existing(
    const journal_record& existing, const journal_record& requested)
{
    if (existing.fingerprint != requested.fingerprint)
        return begin_outcome::conflict;
    if (existing.state == journal_state::finished)
        return begin_outcome::finished;
    if (existing.state == journal_state::unknown)
        return begin_outcome::unknown;
    return is_same_attempt(existing, requested) ? begin_outcome::begun
                                                : begin_outcome::in_flight;
}

void store_body(replicated_state& state, journal_entry& entry)
{
    auto& requests = state.requests;
    auto& answer = entry.record.answer;
    if (answer.body.size() > state.bounds.max_answer_body_bytes)
    {
        answer.body.clear();
        answer.truncated = true;
    }
    if (answer.body.empty())
        return;
    requests.body_bytes += answer.body.size();
    requests.bodies.insert({entry.changed, entry.record.key});
    while (requests.body_bytes > state.bounds.max_stored_answer_bytes)
        drop_body(
            requests, requests.entries.at(requests.bodies.begin()->second));
}

bool is_too_old(const replicated_state& state, wall_time at)
{
    return at.milliseconds <
           state.clock.milliseconds - state.bounds.journal_window_ms;
}

command_outcome begin_new(
    replicated_state& state,
    wall_time proposed,
    const journal_record& requested)
{
    journal_entry& entry = insert(state, requested.key, proposed);
    entry.record = requested;
    entry.record.state = journal_state::in_flight;
    entry.record.answer = {};
    entry.released = false;
    return make_begin_outcome(begin_outcome::begun, entry.record);
}

} // namespace

command_outcome apply_begin(
    replicated_state& state, wall_time proposed, const begin_request& request)
{
    const journal_record& requested = request.record;
    auto& entries = state.requests.entries;
    if (requested.key.key.empty())
        return refused_outcome(
            state, error_kind::missing_idempotency_key, "the key is empty");
    if (is_too_old(state, proposed))
        return refused_outcome(
            state,
            error_kind::deadline_passed,
            "the request is older than the deduplication window");
    const auto found = entries.find(requested.key);
    if (found == entries.end())
    {
        if (entries.size() >= state.bounds.max_journal_records)
            return refused_outcome(
                state, error_kind::overloaded, "the journal is full");
        return begin_new(state, proposed, requested);
    }
    const journal_entry& existing = found->second;
    if (!existing.released)
        return make_begin_outcome(
            outcome_for_existing(existing.record, requested), existing.record);
    // A delayed duplicate of the released attempt must not run.
    if (is_same_attempt(existing.record, requested))
        return make_begin_outcome(begin_outcome::unknown, existing.record);
    return begin_new(state, proposed, requested);
}

command_outcome apply_finish(
    replicated_state& state, wall_time proposed, const finish_request& request)
{
    auto& entries = state.requests.entries;
    const auto found = entries.find(request.key);
    if (found == entries.end() || found->second.released ||
        !is_same_attempt(found->second.record, request))
        return refused_outcome(
            state,
            error_kind::unknown_request,
            "the journal holds no such attempt");
    journal_entry& entry = found->second;
    if (entry.record.state == journal_state::finished)
        return {};
    set_change_time(state, entry, proposed);
    entry.record.state = journal_state::finished;
    entry.record.answer = request.answer;
    store_body(state, entry);
    return {};
}

command_outcome apply_release(
    replicated_state& state, wall_time proposed, const release_request& request)
{
    auto& entries = state.requests.entries;
    const auto found = entries.find(request.key);
    if (found == entries.end())
    {
        // The `begin_request` may still arrive; it must find this release and
        // not run.
        if (entries.size() >= state.bounds.max_journal_records)
            return refused_outcome(
                state, error_kind::overloaded, "the journal is full");
        journal_entry& entry = insert(state, request.key, proposed);
        entry.record.owner = request.owner;
        entry.record.owner_incarnation = request.owner_incarnation;
        entry.record.attempt = request.attempt;
        entry.released = true;
        return {};
    }
    journal_entry& entry = found->second;
    if (!is_same_attempt(entry.record, request) ||
        entry.record.state == journal_state::finished)
        return refused_outcome(
            state,
            error_kind::forbidden,
            "only the owner of the attempt in flight may release it");
    set_change_time(state, entry, proposed);
    entry.released = true;
    return {};
}

command_outcome
apply_owner_lost(replicated_state& state, const mark_owner_lost& request)
{
    for (auto& [key, entry] : state.requests.entries)
    {
        journal_record& record = entry.record;
        if (record.owner != request.owner ||
            record.owner_incarnation > request.incarnation ||
            record.state != journal_state::in_flight || entry.released)
            continue;
        record.state = journal_state::unknown;
        set_change_time(state, entry, state.clock);
    }
    return {};
}

void expire_records(replicated_state& state)
{
    auto& requests = state.requests;
    while (!requests.by_age.empty() &&
           is_too_old(state, requests.by_age.begin()->first))
    {
        const auto found =
            requests.entries.find(requests.by_age.begin()->second);
        journal_entry& entry = found->second;
        if (entry.record.state == journal_state::in_flight && !entry.released)
        {
            entry.record.state = journal_state::unknown;
            set_change_time(state, entry, state.clock);
        }
        else
        {
            erase(requests, found);
        }
    }
}

void rebuild_indexes(journal& requests)
{
    for (const auto& [key, entry] : requests.entries)
    {
        requests.by_age.insert({entry.changed, key});
        if (entry.record.answer.body.empty())
            continue;
        requests.body_bytes += entry.record.answer.body.size();
        requests.bodies.insert({entry.changed, key});
    }
}

std::optional<journal_record>
find(const replicated_state& state, const journal_key& key)
{
    const auto found = state.requests.entries.find(key);
    if (found == state.requests.entries.end() || found->second.released)
        return std::nullopt;
    return found->second.record;
}

} // namespace bergamotusher::state
