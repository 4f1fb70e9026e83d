#include "daemon/serving_duty.hpp"

#include "daemon/serving_state.hpp"
#include "daemon/supervisor.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>

namespace bergamotusher
{

namespace
{

using namespace serving_parts;

constexpr duration tick_interval = 10ms;
// For answers that callers got just before this entry left them.
constexpr duration address_margin = 500ms;
// Longest wait, at the end, for the journal to store the last answers.
constexpr duration journal_wait_limit = 3s;

// An entry that cannot confirm its configuration takes no new work.
bool refuse_stale(duty_state& duty, const request_arrived& arrived)
{
    if (now() < duty.may_accept_until)
        return false;
    refuse(
        duty,
        {arrived.request.id,
         arrived.request.id,
         {error_kind::stale_configuration, ""},
         run_claim::not_run,
         duration(1s)});
    return true;
}

void take_arrival(duty_state& duty, request_arrived&& arrived)
{
    auto result = offer(
        duty.gate, duty.view, *duty.config, std::move(arrived.request), now());
    if (auto* start = std::get_if<gate_start>(&result))
        feed(duty, request_arrived{std::move(start->request)});
    else if (auto* refused = std::get_if<answer_error>(&result))
        refuse(duty, std::move(*refused));
}

// Starts what waited at the gate and now has room.
void run_gate(duty_state& duty, time_point at)
{
    auto result = turn(duty.gate, duty.view, at);
    for (caller_request& request : result.started)
        feed(duty, request_arrived{std::move(request)});
    for (answer_error& refused : result.refused)
        refuse(duty, std::move(refused));
}

void start_drain(duty_state& duty, time_point at)
{
    duty.refuse_from.reset();
    for (caller_request& request : release_all(duty.gate))
        feed(duty, request_arrived{std::move(request)});
    feed(duty, drain_started{duty.instance_ends, successors(duty.entries, at)});
}

// Says that nothing is left, once the journal has the last answers.
void check_drained(duty_state& duty, time_point at)
{
    if (!duty.drained_at)
        return;
    if (!is_idle(duty.journal) && at - *duty.drained_at < journal_wait_limit)
        return;
    duty.drained_at.reset();
    duty.links.on_drained();
}

void on_tick(duty_state& duty)
{
    const time_point at = now();
    take_changes(duty, expire(duty.view, at));
    refresh(duty.view, duty.node);
    for (proposal& again : due(duty.journal, at))
        send_proposal(duty, std::move(again));
    send_reports(duty, at);
    run_gate(duty, at);
    if (duty.refuse_from && at >= *duty.refuse_from)
        start_drain(duty, at);
    feed(duty, tick{});
    check_drained(duty, at);
}

void schedule_tick(duty_state& duty)
{
    duty.timer.expires_after(tick_interval);
    duty.timer.async_wait(
        [&duty](const boost::system::error_code& error)
        {
            if (error)
                return;
            schedule_tick(duty);
            on_tick(duty);
        });
}

} // namespace

serving_duty::serving_duty(
    boost::asio::io_context& loop,
    const settings& values,
    std::uint64_t incarnation,
    serving_links links)
    : state_(std::make_unique<state_data>(
          loop, values, incarnation, std::move(links)))
{
    schedule_tick(*state_);
    boost::asio::post(
        loop,
        [duty = state_.get()]
        {
            send_proposal(
                *duty, propose_earlier_lost(duty->journal, wall_now(), now()));
        });
}

serving_duty::~serving_duty() = default;

void serving_duty::take(serving_input&& input)
{
    if (auto* arrived = std::get_if<request_arrived>(&input))
    {
        if (!refuse_stale(*state_, *arrived))
            take_arrival(*state_, std::move(*arrived));
        return;
    }
    if (const auto* gone = std::get_if<caller_gone>(&input))
        if (withdraw(state_->gate, gone->connection))
            return;
    const auto* finished = std::get_if<attempt_finished>(&input);
    const auto* failed = std::get_if<attempt_failed>(&input);
    const bool is_end = finished != nullptr || failed != nullptr;
    if (is_end)
        forget(
            state_->view,
            finished != nullptr ? finished->attempt : failed->attempt);
    feed(*state_, input);
    if (is_end)
        run_gate(*state_, now());
}

void serving_duty::take(upstream_message&& message)
{
    take_changes(*state_, bergamotusher::take(state_->view, message, now()));
}

void serving_duty::take(control_news&& news)
{
    duty_state& duty = *state_;
    if (const auto* applied = std::get_if<configuration_applied>(&news))
    {
        if (applied->value->revision < duty.committed->revision)
            return;
        duty.committed = applied->value;
        duty.config = without_stopped(duty.committed, duty.versions.stopped);
        event happened;
        happened.kind = event_kind::configuration_applied;
        happened.number = duty.committed->revision;
        record(duty, std::move(happened));
    }
    else if (const auto* lease = std::get_if<configuration_lease>(&news))
        duty.may_accept_until = lease->valid_until;
    else
        take_answer(duty, std::get<proposal_answer>(news));
}

void serving_duty::take(incoming_message&& message)
{
    take_message(*state_, message);
}

void serving_duty::take(const reclaim_notice& notice)
{
    take_changes(
        *state_,
        take_notice(
            state_->view, {notice.instance}, notice.domain, notice.deadline));
}

void serving_duty::drain(std::optional<time_point> deadline)
{
    duty_state& duty = *state_;
    if (duty.draining)
        return;
    const time_point at = now();
    duty.draining = true;
    duty.instance_ends = deadline;
    duty.refuse_from = at + membership::entry_ttl + address_margin;
    if (deadline)
        duty.refuse_from =
            std::min(*duty.refuse_from, at + (*deadline - at) / 2);
    report_self(duty, at);
}

std::shared_ptr<const serving_view> serving_duty::shown() const
{
    return state_->shown.load();
}

} // namespace bergamotusher
