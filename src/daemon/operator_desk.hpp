// Answers operators' requests by the replicated state: changes become
// proposals, reads wait until all that was committed before them is applied
// here. Belongs to the admin duty's loop.
#pragma once

#include "daemon/state_store.hpp"
#include "state/operator_api.hpp"

#include <bergamotusher/control.hpp>
#include <bergamotusher/time.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

namespace bergamotusher
{

/// All operators' requests under way.
class operator_desk
{
public:
    using reply_function = std::function<void(state::operator_answer)>;

    /// `propose` hands a proposal to the control duty; false if it cannot.
    operator_desk(
        boost::asio::io_context& loop,
        const state_store& store,
        std::function<bool(proposal)> propose);

    /// Takes a request; `reply` runs once, at once or later.
    void take(state::operator_request request, reply_function reply);

    /// Takes the answer to one of the desk's proposals.
    void take(const proposal_answer& answer);

private:
    struct waiting_request
    {
        state::operator_request request;
        reply_function reply;
        /// Absent for a read.
        std::optional<state::command> proposed;
    };

    void send(waiting_request one);
    void answer_reads();
    void
    answer_change(const waiting_request& one, const proposal_answer& answer);
    state::operator_answer
    read_now(const state::operator_request& request) const;

    const state_store& store_;
    std::function<bool(proposal)> propose_;
    boost::asio::steady_timer timer_;
    std::uint64_t next_ticket_ = 1;
    std::map<std::uint64_t, waiting_request> waiting_;
    /// Reads by the log index that must be applied before their answer.
    std::multimap<std::uint64_t, waiting_request> reads_;
};

} // namespace bergamotusher
