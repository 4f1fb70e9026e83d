#include "daemon/operator_requests.hpp"

#include "daemon/supervisor.hpp"

namespace bergamotusher
{

namespace
{

constexpr duration proposal_timeout = 5s;
constexpr duration applied_poll_interval = 2ms;

state::operator_answer problem_answer(error_kind kind, const char* detail = "")
{
    return state::make_answer(failure{kind, detail});
}

} // namespace

operator_requests::operator_requests(
    boost::asio::io_context& loop,
    const state_store& store,
    std::function<bool(proposal)> propose)
    : store_(store), propose_(std::move(propose)), timer_(loop)
{
}

void operator_requests::take(
    state::operator_request request, reply_function reply)
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

void operator_requests::take(const proposal_answer& answer)
{
    const auto found = waiting_.find(answer.ticket);
    if (found == waiting_.end())
        return;
    waiting_request waiting = std::move(found->second);
    waiting_.erase(found);
    if (waiting.proposed)
        return answer_change(waiting, answer);
    if (answer.outcome != proposal_outcome::committed)
        return waiting.reply(problem_answer(error_kind::no_quorum));
    reads_.emplace(answer.index, std::move(waiting));
    answer_reads();
}

// A read proposes an empty batch: once that is committed and applied here, so
// is everything that was committed before the read began.
void operator_requests::send(waiting_request waiting)
{
    const std::uint64_t ticket = next_ticket_++;
    proposal next{
        ticket,
        waiting.proposed ? state::encode(*waiting.proposed, wall_now())
                         : state::encode_batch({}, wall_now()),
        now() + proposal_timeout};
    const auto inserted = waiting_.emplace(ticket, std::move(waiting)).first;
    if (propose_(std::move(next)))
        return;
    const reply_function reply = std::move(inserted->second.reply);
    waiting_.erase(inserted);
    reply(problem_answer(error_kind::overloaded));
}

void operator_requests::answer_reads()
{
    const std::uint64_t applied = store_.applied();
    while (!reads_.empty() && reads_.begin()->first <= applied)
    {
        const waiting_request waiting = std::move(reads_.begin()->second);
        reads_.erase(reads_.begin());
        waiting.reply(read_now(waiting.request));
    }
    if (reads_.empty())
        return;
    timer_.expires_after(applied_poll_interval);
    timer_.async_wait(
        [this](const boost::system::error_code& error)
        {
            if (!error)
                answer_reads();
        });
}

void operator_requests::answer_change(
    const waiting_request& waiting, const proposal_answer& answer)
{
    if (answer.outcome == proposal_outcome::not_committed)
        return waiting.reply(problem_answer(error_kind::no_quorum));
    if (answer.outcome == proposal_outcome::unknown)
        return waiting.reply(problem_answer(
            error_kind::outcome_unknown,
            "send it again with the same Idempotency-Key"));
    const auto outcome = state::parse_result(answer.result);
    if (!outcome)
        return waiting.reply(problem_answer(error_kind::internal));
    waiting.reply(state::make_answer(*waiting.proposed, *outcome));
}

state::operator_answer
operator_requests::read_now(const state::operator_request& request) const
{
    const auto decision = store_.read(
        [&](const auto& state) { return state::decide(request, state); });
    if (const auto* answer = std::get_if<state::operator_answer>(&decision))
        return *answer;
    return problem_answer(error_kind::method_not_allowed);
}

} // namespace bergamotusher
