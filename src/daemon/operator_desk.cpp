#include "daemon/operator_desk.hpp"

#include "daemon/supervisor.hpp"

namespace bergamotusher
{

namespace
{

constexpr duration proposal_limit = 5s;
constexpr duration apply_poll = 2ms;

state::operator_answer refusal(error_kind kind, const char* detail = "")
{
    return state::answer_to(failure{kind, detail});
}

} // namespace

operator_desk::operator_desk(
    boost::asio::io_context& loop,
    const state_store& store,
    std::function<bool(proposal)> propose)
    : store_(store), propose_(std::move(propose)), timer_(loop)
{
}

void operator_desk::take(state::operator_request request, reply_function reply)
{
    if (request.method == "GET")
        return send({std::move(request), std::move(reply), std::nullopt});
    auto decision = store_.read([&](const auto& state)
                                { return state::decide(request, state); });
    if (auto* answer = std::get_if<state::operator_answer>(&decision))
        return reply(std::move(*answer));
    send(
        {std::move(request),
         std::move(reply),
         std::get<state::command>(std::move(decision))});
}

void operator_desk::take(const proposal_answer& answer)
{
    const auto found = waiting_.find(answer.ticket);
    if (found == waiting_.end())
        return;
    waiting_request one = std::move(found->second);
    waiting_.erase(found);
    if (one.proposed)
        return answer_change(one, answer);
    if (answer.outcome != proposal_outcome::committed)
        return one.reply(refusal(error_kind::no_quorum));
    reads_.emplace(answer.index, std::move(one));
    answer_reads();
}

// A read commits an empty batch: once that is applied here, so is everything
// that was committed before the read began.
void operator_desk::send(waiting_request one)
{
    const std::uint64_t ticket = next_ticket_++;
    proposal wanted{
        ticket,
        one.proposed ? state::encode(*one.proposed, wall_now())
                     : state::encode_batch({}, wall_now()),
        now() + proposal_limit};
    const auto placed = waiting_.emplace(ticket, std::move(one)).first;
    if (propose_(std::move(wanted)))
        return;
    const reply_function reply = std::move(placed->second.reply);
    waiting_.erase(placed);
    reply(refusal(error_kind::overloaded));
}

void operator_desk::answer_reads()
{
    const std::uint64_t applied = store_.applied();
    while (!reads_.empty() && reads_.begin()->first <= applied)
    {
        const waiting_request one = std::move(reads_.begin()->second);
        reads_.erase(reads_.begin());
        one.reply(read_now(one.request));
    }
    if (reads_.empty())
        return;
    timer_.expires_after(apply_poll);
    timer_.async_wait(
        [this](const boost::system::error_code& error)
        {
            if (!error)
                answer_reads();
        });
}

void operator_desk::answer_change(
    const waiting_request& one, const proposal_answer& answer)
{
    if (answer.outcome == proposal_outcome::not_committed)
        return one.reply(refusal(error_kind::no_quorum));
    if (answer.outcome == proposal_outcome::unknown)
        return one.reply(refusal(
            error_kind::outcome_unknown,
            "send it again with the same Idempotency-Key"));
    const auto outcome = state::parse_result(answer.result);
    if (!outcome)
        return one.reply(refusal(error_kind::internal));
    one.reply(state::answer_to(*one.proposed, *outcome));
}

state::operator_answer
operator_desk::read_now(const state::operator_request& request) const
{
    const auto decision = store_.read(
        [&](const auto& state) { return state::decide(request, state); });
    if (const auto* answer = std::get_if<state::operator_answer>(&decision))
        return *answer;
    return refusal(error_kind::method_not_allowed);
}

} // namespace bergamotusher
