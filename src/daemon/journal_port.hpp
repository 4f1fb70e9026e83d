// Turns the life cycle's journal actions into proposals, and the answers to
// these back into inputs. Belongs to the serving duty.
#pragma once

#include <bergamotusher/control.hpp>
#include <bergamotusher/serving.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bergamotusher
{

/// A journal command that waits for its answer.
struct journal_wait
{
    /// Empty for a finish or a release.
    request_id request;
    attempt_id attempt;
    /// A finish or release is proposed again until it is committed.
    std::string command;
    event_kind done = event_kind::journal_begun;
};

/// Journal commands under way.
struct journal_port
{
    node_id node;
    std::uint64_t incarnation = 0;
    std::uint64_t next_ticket = 1;
    std::map<std::uint64_t, journal_wait> waiting;
    /// Finishes and releases to propose again, by time.
    std::multimap<time_point, journal_wait> again;
};

/// What came of an answer.
struct journal_news
{
    std::optional<journal_answered> input;
    std::optional<event> event_to_record;
};

/// The proposal for an action.
proposal propose(
    journal_port& port,
    const journal_begin& action,
    wall_time wall,
    time_point now);
proposal propose(
    journal_port& port,
    const journal_finish& action,
    wall_time wall,
    time_point now);
proposal propose(
    journal_port& port,
    const journal_release& action,
    wall_time wall,
    time_point now);

/// The proposal that marks as unknown what earlier starts of this process had
/// in flight. Proposed again until it is committed.
proposal
propose_earlier_lost(journal_port& port, wall_time wall, time_point now);

/// Takes the answer to a proposal; answers to others' tickets are ignored.
journal_news
take(journal_port& port, const proposal_answer& answer, time_point now);

/// Whether no command is under way.
bool is_idle(const journal_port& port);

/// Proposals to make again now.
std::vector<proposal> due(journal_port& port, time_point now);

} // namespace bergamotusher
