// Runs version moves while this process is the control leader: gathers the
// entries' evidence, takes each move on step by step, and sends the orders to
// load versions.
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

/// One entry's report, with its sender.
struct entry_evidence
{
    node_id from;
    rollout::evidence_report report;
};

/// An upstream as moves need it.
struct move_upstream
{
    upstream value;
    bool serving = true;
    /// Running requests over slots.
    double utilisation = 0;
};

/// What the duty needs from the rest of the process.
struct moves_links
{
    const state_store& store;
    std::function<std::vector<move_upstream>()> upstreams;
    /// The fence to order with now, if this process leads.
    std::function<std::optional<fence>(time_point)> order_fence;
    std::function<bool(proposal)> propose;
    events_port& events;
};

/// All moves of the leader. Belongs to its duty's loop.
class moves_duty
{
public:
    moves_duty(boost::asio::io_context& loop, moves_links links);
    ~moves_duty();

    void take(entry_evidence&& evidence);
    void take(proposal_answer&& answer);

    struct state_data;

private:
    std::shared_ptr<state_data> state_;
};

} // namespace bergamotusher
