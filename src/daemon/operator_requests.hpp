// Answers operators' requests from the replicated state: a change becomes a
// proposal; a read waits until everything committed before it is applied here.
// Used on the admin duty's thread only.
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

/// Operators' requests that are not answered yet.
class operator_requests
{
public:
    using reply_function = std::function<void(state::operator_answer)>;

    /// `propose` enqueues a proposal for the control duty; false if its queue
    /// is full.
    operator_requests(
        boost::asio::io_context& loop,
        const state_store& store,
        std::function<bool(proposal)> propose);

    /// Handles a request. `reply` is called once, during the call or later.
    void take(state::operator_request request, reply_function reply);

    /// Handles the answer to a proposal of this object.
    void take(const proposal_answer& answer);

private:
    struct waiting_request
    {
        state::operator_request request;
        reply_function reply;
        /// The proposed change; empty for a read.
        std::optional<state::command> proposed;
    };

    void send(waiting_request waiting);
    void answer_reads();
    void answer_change(
        const waiting_request& waiting, const proposal_answer& answer);
    state::operator_answer
    read_now(const state::operator_request& request) const;

    const state_store& store_;
    std::function<bool(proposal)> propose_;
    boost::asio::steady_timer timer_;
    std::uint64_t next_ticket_ = 1;
    std::map<std::uint64_t, waiting_request> waiting_;
    /// Reads by the log index that must be applied before they are answered.
    std::multimap<std::uint64_t, waiting_request> reads_;
};

} // namespace bergamotusher
