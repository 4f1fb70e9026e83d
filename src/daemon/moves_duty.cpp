#include "daemon/moves_duty.hpp"

#include "daemon/http_client.hpp"
#include "daemon/supervisor.hpp"
#include "state/commands.hpp"

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <set>

namespace bergamotusher
{

namespace
{

constexpr duration step_interval = 500ms;
constexpr duration proposal_timeout = 3s;
constexpr duration order_timeout = 2s;
/// Age of an entry's last report after which the entry is not counted.
constexpr duration max_report_age = 5s;
/// Time after the end of a move for which it is still processed, so that its
/// final version is loaded on all upstreams.
constexpr duration ended_move_retention = 30min;
constexpr int order_accepted_status = 200;

// The leader's data on one version move, beyond the replicated state.
struct move_work
{
    version_move move;
    /// The move as last recorded on the time line.
    version_move recorded;
    rollout::volatile_move_state memory;
    std::vector<upstream_id> refused;
    std::vector<evidence_sample> samples;
    /// Ticket of the proposal that is not answered yet, and the orders to send
    /// once it is committed.
    std::optional<std::uint64_t> ticket;
    std::vector<rollout::order_load> orders;
};

struct entry_report
{
    time_point received_at;
    std::vector<std::pair<service_name, version_name>> stopped;
};

} // namespace

struct moves_duty::state_data
{
    state_data(boost::asio::io_context& l, moves_links k)
        : loop(l), links(std::move(k)), timer(l)
    {
    }

    boost::asio::io_context& loop;
    moves_links links;
    boost::asio::steady_timer timer;
    rollout::move_policy policy;
    std::map<move_id, move_work> work;
    std::map<node_id, entry_report> entries;
    std::uint64_t next_ticket = 1;
};

namespace
{

using duty_state = moves_duty::state_data;
using state_ptr = std::shared_ptr<duty_state>;

void record(
    duty_state& duty,
    event_kind kind,
    const move_id& move,
    const upstream_id& target,
    std::string detail)
{
    event occurred;
    occurred.kind = kind;
    occurred.move = move;
    occurred.target = target;
    occurred.detail = std::move(detail);
    duty.links.events.record(std::move(occurred));
}

// Moves that have not ended, and those that ended within
// `ended_move_retention`: their final version may still have to be loaded on
// upstreams that run the other one.
std::vector<version_move> active_moves(const duty_state& duty, wall_time wall)
{
    const auto is_active = [wall](const version_move& move)
    {
        return !has_ended(move) || wall.milliseconds - move.ended.milliseconds <
                                       ended_move_retention / 1ms;
    };
    return duty.links.store.read(
        [&](const auto& state)
        {
            std::vector<version_move> active;
            for (const auto& [id, move] : state.moves)
                if (is_active(move))
                    active.push_back(move);
            return active;
        });
}

void count_reporting_entries(
    const duty_state& duty,
    const version_move& move,
    rollout::evidence_view& view,
    time_point at)
{
    const std::pair<service_name, version_name> moved{move.service, move.to};
    for (const auto& [node, report] : duty.entries)
    {
        if (at - report.received_at > max_report_age)
            continue;
        ++view.entries;
        view.entries_stopped += static_cast<std::size_t>(
            std::count(report.stopped.begin(), report.stopped.end(), moved));
    }
}

rollout::evidence_view make_view(
    const duty_state& duty,
    move_work& work,
    const version_move& committed,
    time_point at)
{
    rollout::evidence_view view;
    view.samples.swap(work.samples);
    view.refused.swap(work.refused);
    view.committed_sequence = committed.sequence;
    double busy_slots = 0;
    double slots = 0;
    for (const move_upstream& candidate : duty.links.upstreams())
    {
        if (candidate.value.service != committed.service)
            continue;
        view.upstreams.push_back(
            {candidate.value.id,
             candidate.value.version,
             candidate.value.domain,
             candidate.serving});
        busy_slots += candidate.utilisation * candidate.value.slots;
        slots += candidate.value.slots;
    }
    if (slots > 0)
        view.utilisation = busy_slots / slots;
    count_reporting_entries(duty, committed, view, at);
    return view;
}

std::optional<endpoint>
address_of(const duty_state& duty, const upstream_id& target)
{
    for (const move_upstream& candidate : duty.links.upstreams())
        if (candidate.value.id == target)
            return parse_endpoint(candidate.value.address);
    return std::nullopt;
}

void handle_order_reply(
    duty_state& duty, const rollout::order_load& order, const http_reply& reply)
{
    if (reply.status == order_accepted_status || reply.status == 0)
        return;
    record(
        duty,
        event_kind::order_refused,
        order.move,
        order.target,
        "status " + std::to_string(reply.status));
    const auto found = duty.work.find(order.move);
    if (found != duty.work.end())
        found->second.refused.push_back(order.target);
}

// Reads the fence right before sending. Without a fence this process may no
// longer be the leader, and nothing is sent.
void send_order(const state_ptr& duty, const rollout::order_load& order)
{
    const auto fence_now = duty->links.order_fence(now());
    const auto target = address_of(*duty, order.target);
    if (!fence_now || !target)
        return;
    const nlohmann::json body{
        {"kind", "load_version"},
        {"target", order.version.value},
        {"fence", {{"term", fence_now->term}, {"index", fence_now->index}}}};
    record(
        *duty,
        event_kind::order_sent,
        order.move,
        order.target,
        "load " + order.version.value);
    call_http(
        duty->loop,
        {*target, "POST", "/v1/orders", body.dump(), order_timeout},
        [duty, order](const http_reply& reply)
        { handle_order_reply(*duty, order, reply); });
}

void propose_step(
    duty_state& duty, move_work& work, const rollout::propose_advance& wanted)
{
    const std::uint64_t ticket = duty.next_ticket++;
    work.ticket = ticket;
    const std::string command =
        state::encode(state::advance_move{wanted.next}, wall_now());
    if (!duty.links.propose({ticket, command, now() + proposal_timeout}))
        duty.work.erase(wanted.next.id);
}

void step_move(
    const state_ptr& duty, const version_move& committed, time_point at)
{
    move_work& work = duty->work[committed.id];
    if (work.move.id.empty())
        work.move = work.recorded = committed;
    if (work.ticket)
        return;
    const auto view = make_view(*duty, work, committed, at);
    auto actions = rollout::step(
        work.move, work.memory, view, duty->policy, at, wall_now());
    std::optional<rollout::propose_advance> proposed;
    for (auto& action : actions)
    {
        if (auto* order = std::get_if<rollout::order_load>(&action))
            work.orders.push_back(std::move(*order));
        else
            proposed = std::get<rollout::propose_advance>(std::move(action));
    }
    if (proposed)
        return propose_step(*duty, work, *proposed);
    for (const auto& order : std::exchange(work.orders, {}))
        send_order(duty, order);
}

event_kind event_kind_of(move_phase phase)
{
    if (phase == move_phase::completed)
        return event_kind::move_completed;
    if (phase == move_phase::taken_back)
        return event_kind::move_taken_back;
    return event_kind::move_widened;
}

// Records an event if a committed step changed the phase or the share.
void record_committed_step(duty_state& duty, move_work& work)
{
    const version_move& move = work.move;
    if (move.phase == work.recorded.phase && move.share == work.recorded.share)
        return;
    work.recorded = move;
    record(
        duty,
        event_kind_of(move.phase),
        move.id,
        {},
        std::string(to_name(move.phase)) + " share " +
            std::to_string(move.share) +
            (move.reason.empty() ? "" : ": " + move.reason));
}

void on_tick(const state_ptr& duty)
{
    const time_point at = now();
    if (!duty->links.order_fence(at))
        return duty->work.clear();
    std::set<move_id> running;
    for (const version_move& move : active_moves(*duty, wall_now()))
    {
        running.insert(move.id);
        step_move(duty, move, at);
    }
    for (auto item = duty->work.begin(); item != duty->work.end();)
        item = running.count(item->first) > 0 ? std::next(item)
                                              : duty->work.erase(item);
}

void schedule(const state_ptr& duty)
{
    duty->timer.expires_after(step_interval);
    duty->timer.async_wait(
        [weak = std::weak_ptr<duty_state>(duty)](
            const boost::system::error_code& error)
        {
            const auto self = weak.lock();
            if (!self || error)
                return;
            schedule(self);
            on_tick(self);
        });
}

} // namespace

moves_duty::moves_duty(boost::asio::io_context& loop, moves_links links)
    : state_(std::make_shared<state_data>(loop, std::move(links)))
{
    schedule(state_);
}

moves_duty::~moves_duty() = default;

void moves_duty::take(entry_evidence&& evidence)
{
    state_->entries[evidence.from] = {now(), evidence.report.stopped};
    for (auto& [id, work] : state_->work)
        for (const evidence_sample& sample : evidence.report.samples)
            if (sample.key.service == work.move.service)
                work.samples.push_back(sample);
}

void moves_duty::take(proposal_answer&& answer)
{
    const auto found = std::find_if(
        state_->work.begin(),
        state_->work.end(),
        [&](const auto& item) { return item.second.ticket == answer.ticket; });
    if (found == state_->work.end())
        return;
    const auto outcome = answer.outcome == proposal_outcome::committed
                             ? state::parse_result(answer.result)
                             : std::nullopt;
    if (!outcome || outcome->error)
    {
        // The replicated state tells whether the step was committed: start
        // again from it at the next tick.
        state_->work.erase(found);
        return;
    }
    move_work& work = found->second;
    work.ticket.reset();
    record_committed_step(*state_, work);
    for (const auto& order : std::exchange(work.orders, {}))
        send_order(state_, order);
}

} // namespace bergamotusher
