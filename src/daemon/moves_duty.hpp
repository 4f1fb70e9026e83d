// Performs version moves while this process is the control leader: collects
// the evidence that entries report, proposes each step of a move, and sends
// upstreams the orders to load versions.
#pragma once

#include "base/mailbox.hpp"
#include "daemon/control_duty.hpp"
#include "daemon/events_duty.hpp"
#include "daemon/state_store.hpp"
#include "rollout/evidence_recorder.hpp"
#include "rollout/version_moves.hpp"

#include <bergamotusher/control.hpp>
#include <bergamotusher/upstream.hpp>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace bergamotusher
{

/// An evidence report and the entry that sent it.
struct entry_evidence
{
    node_id from;
    rollout::evidence_report report;
};

/// An upstream with the properties that version moves depend on.
struct move_upstream
{
    upstream value;
    bool serving = true;
    /// Running requests divided by slots.
    double utilisation = 0;
};

/// Access of the duty to the other parts of the process.
struct moves_links
{
    const state_store& store;
    std::function<std::vector<move_upstream>()> upstreams;
    /// The fence for an order at the given time; empty if this process does not
    /// lead.
    std::function<std::optional<fence>(time_point)> order_fence;
    std::function<bool(proposal)> propose;
    events_port& events;
};

/// Performs all version moves. Used on the thread of `loop` only.
class moves_duty
{
public:
    moves_duty(boost::asio::io_context& loop, moves_links links);
    ~moves_duty();

    /// Handles a report of an entry.
    void take(entry_evidence&& evidence);
    /// Handles the answer to one of the duty's proposals: sends the orders of a
    /// committed step, or discards the data on the move.
    void take(proposal_answer&& answer);

    struct state_data;

private:
    std::shared_ptr<state_data> state_;
};

} // namespace bergamotusher
