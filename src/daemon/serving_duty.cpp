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
// Added to the validity of entry addresses, for responses that callers received
// just before this entry was left out of them.
constexpr duration address_use_margin = 500ms;
// Maximum wait at the end of a drain for the journal to store the last answers.
constexpr duration journal_wait_limit = 3s;

// Rejects a request if the lease on the configuration has expired, since the
// entry cannot know whether the configuration is still in force.
bool reject_if_stale(duty_state& duty, const request_arrived& arrived)
{
    if (now() < duty.configuration_valid_until)
        return false;
    reject_request(
        duty,
        {arrived.request.id,
         arrived.request.id,
         {error_kind::stale_configuration, ""},
         run_claim::not_run,
         duration(1s)});
    return true;
}

void handle_arrival(duty_state& duty, request_arrived&& arrived)
{
    auto result = offer(
        duty.gate,
        duty.view,
        *duty.effective_config,
        std::move(arrived.request),
        now());
    if (auto* start = std::get_if<gate_admitted>(&result))
        step_life_cycle(duty, request_arrived{std::move(start->request)});
    else if (auto* refused = std::get_if<answer_error>(&result))
        reject_request(duty, std::move(*refused));
}

// Starts the requests queued for admission that can run now, and rejects those
// that can no longer be admitted.
void run_admission(duty_state& duty, time_point at)
{
    auto result = start_waiting(duty.gate, duty.view, at);
    for (caller_request& request : result.started)
        step_life_cycle(duty, request_arrived{std::move(request)});
    for (answer_error& refused : result.refused)
        reject_request(duty, std::move(refused));
}

void start_drain(duty_state& duty, time_point at)
{
    duty.reject_from.reset();
    for (caller_request& request : remove_all_waiting(duty.gate))
        step_life_cycle(duty, request_arrived{std::move(request)});
    step_life_cycle(
        duty,
        drain_started{
            duty.instance_deadline, find_successors(duty.entries, at)});
}

// Reports the end of the drain once the journal has stored the last answers or
// the wait for it has timed out.
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
    apply_view_changes(duty, expire_leases(duty.view, at));
    refresh_subsets(duty.view, duty.node);
    for (proposal& retried : due_retries(duty.journal, at))
        send_proposal(duty, std::move(retried));
    send_reports(duty, at);
    run_admission(duty, at);
    if (duty.reject_from && at >= *duty.reject_from)
        start_drain(duty, at);
    step_life_cycle(duty, tick{});
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
                *duty,
                propose_lose_earlier_runs(duty->journal, wall_now(), now()));
        });
}

serving_duty::~serving_duty() = default;

void serving_duty::take(serving_input&& input)
{
    if (auto* arrived = std::get_if<request_arrived>(&input))
    {
        if (!reject_if_stale(*state_, *arrived))
            handle_arrival(*state_, std::move(*arrived));
        return;
    }
    if (const auto* gone = std::get_if<caller_disconnected>(&input))
        if (withdraw(state_->gate, gone->connection))
            return;
    const auto* finished = std::get_if<attempt_finished>(&input);
    const auto* failed = std::get_if<attempt_failed>(&input);
    const bool attempt_ended = finished != nullptr || failed != nullptr;
    if (attempt_ended)
        forget_attempt(
            state_->view,
            finished != nullptr ? finished->attempt : failed->attempt);
    step_life_cycle(*state_, input);
    if (attempt_ended)
        run_admission(*state_, now());
}

void serving_duty::take(upstream_message&& message)
{
    apply_view_changes(
        *state_, bergamotusher::handle_message(state_->view, message, now()));
}

void serving_duty::take(control_message&& news)
{
    duty_state& duty = *state_;
    if (const auto* applied = std::get_if<configuration_applied>(&news))
    {
        if (applied->value->revision < duty.committed_config->revision)
            return;
        duty.committed_config = applied->value;
        duty.effective_config =
            without_stopped(duty.committed_config, duty.versions.stopped);
        event happened;
        happened.kind = event_kind::configuration_applied;
        happened.number = duty.committed_config->revision;
        record(duty, std::move(happened));
    }
    else if (const auto* lease = std::get_if<configuration_lease>(&news))
        duty.configuration_valid_until = lease->valid_until;
    else
        handle_proposal_answer(duty, std::get<proposal_answer>(news));
}

void serving_duty::take(incoming_message&& message)
{
    handle_peer_message(*state_, message);
}

void serving_duty::take(const reclaim_notice& notice)
{
    apply_view_changes(
        *state_,
        apply_reclaim_notice(
            state_->view, {notice.instance}, notice.domain, notice.deadline));
}

void serving_duty::drain(std::optional<time_point> deadline)
{
    duty_state& duty = *state_;
    if (duty.draining)
        return;
    const time_point at = now();
    duty.draining = true;
    duty.instance_deadline = deadline;
    duty.reject_from = at + membership::entry_ttl + address_use_margin;
    if (deadline)
        duty.reject_from =
            std::min(*duty.reject_from, at + (*deadline - at) / 2);
    report_self(duty, at);
}

std::shared_ptr<const serving_snapshot> serving_duty::snapshot() const
{
    return state_->shown.load();
}

} // namespace bergamotusher
