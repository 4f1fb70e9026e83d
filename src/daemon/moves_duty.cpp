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
constexpr duration proposal_limit = 3s;
constexpr duration order_limit = 2s;
/// An entry that has not reported for this long is not counted.
constexpr duration report_lifetime = 5s;
/// Time after a move's end in which its version is loaded everywhere.
constexpr duration settling_time = 30min;
constexpr int order_done = 200;

// The leader's working copy of one move.
struct move_work
{
    version_move move;
    /// As it was last shown on the time line.
    version_move shown;
    rollout::move_memory memory;
    std::vector<upstream_id> refused;
    std::vector<evidence_sample> samples;
    /// The proposal under way, and what waits for its commit.
    std::optional<std::uint64_t> ticket;
    std::vector<rollout::order_load> orders;
};

struct entry_report
{
    time_point heard;
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
    event happened;
    happened.kind = kind;
    happened.move = move;
    happened.target = target;
    happened.detail = std::move(detail);
    duty.links.events.record(std::move(happened));
}

// Moves under way, and those that ended lately: the version that won is still
// to be loaded where the other one was.
std::vector<version_move> live_moves(const duty_state& duty, wall_time wall)
{
    const auto is_live = [wall](const version_move& move)
    {
        return !has_ended(move) || wall.milliseconds - move.ended.milliseconds <
                                       settling_time / 1ms;
    };
    return duty.links.store.read(
        [&](const auto& state)
        {
            std::vector<version_move> live;
            for (const auto& [id, move] : state.moves)
                if (is_live(move))
                    live.push_back(move);
            return live;
        });
}

void count_entries(
    const duty_state& duty,
    const version_move& move,
    rollout::evidence_view& view,
    time_point at)
{
    const std::pair<service_name, version_name> moved{move.service, move.to};
    for (const auto& [node, report] : duty.entries)
    {
        if (at - report.heard > report_lifetime)
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
    double used = 0;
    double slots = 0;
    for (const move_upstream& one : duty.links.upstreams())
    {
        if (one.value.service != committed.service)
            continue;
        view.upstreams.push_back(
            {one.value.id, one.value.version, one.value.domain, one.serving});
        used += one.utilisation * one.value.slots;
        slots += one.value.slots;
    }
    if (slots > 0)
        view.utilisation = used / slots;
    count_entries(duty, committed, view, at);
    return view;
}

std::optional<endpoint>
address_of(const duty_state& duty, const upstream_id& target)
{
    for (const move_upstream& one : duty.links.upstreams())
        if (one.value.id == target)
            return parse_endpoint(one.value.address);
    return std::nullopt;
}

void take_order_reply(
    duty_state& duty, const rollout::order_load& order, const http_reply& reply)
{
    if (reply.status == order_done || reply.status == 0)
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

// The fence is taken at the moment of sending: without one, this process may
// not lead any more, and nothing is sent.
void send_order(const state_ptr& duty, const rollout::order_load& order)
{
    const auto number = duty->links.order_fence(now());
    const auto target = address_of(*duty, order.target);
    if (!number || !target)
        return;
    const nlohmann::json body{
        {"kind", "load_version"},
        {"target", order.version.value},
        {"fence", {{"term", number->term}, {"index", number->index}}}};
    record(
        *duty,
        event_kind::order_sent,
        order.move,
        order.target,
        "load " + order.version.value);
    call_http(
        duty->loop,
        {*target, "POST", "/v1/orders", body.dump(), order_limit},
        [duty, order](const http_reply& reply)
        { take_order_reply(*duty, order, reply); });
}

void propose_step(
    duty_state& duty, move_work& work, const rollout::propose_advance& wanted)
{
    const std::uint64_t ticket = duty.next_ticket++;
    work.ticket = ticket;
    const std::string command =
        state::encode(state::advance_move{wanted.next}, wall_now());
    if (!duty.links.propose({ticket, command, now() + proposal_limit}))
        duty.work.erase(wanted.next.id);
}

void step_move(
    const state_ptr& duty, const version_move& committed, time_point at)
{
    move_work& work = duty->work[committed.id];
    if (work.move.id.empty())
        work.move = work.shown = committed;
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

event_kind kind_of_phase(move_phase phase)
{
    if (phase == move_phase::completed)
        return event_kind::move_completed;
    if (phase == move_phase::taken_back)
        return event_kind::move_taken_back;
    return event_kind::move_widened;
}

// Records what a committed step changed for operators to see.
void record_step(duty_state& duty, move_work& work)
{
    const version_move& move = work.move;
    if (move.phase == work.shown.phase && move.share == work.shown.share)
        return;
    work.shown = move;
    record(
        duty,
        kind_of_phase(move.phase),
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
    for (const version_move& move : live_moves(*duty, wall_now()))
    {
        running.insert(move.id);
        step_move(duty, move, at);
    }
    for (auto one = duty->work.begin(); one != duty->work.end();)
        one = running.count(one->first) > 0 ? std::next(one)
                                            : duty->work.erase(one);
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
        [&](const auto& one) { return one.second.ticket == answer.ticket; });
    if (found == state_->work.end())
        return;
    const auto outcome = answer.outcome == proposal_outcome::committed
                             ? state::parse_result(answer.result)
                             : std::nullopt;
    if (!outcome || outcome->error)
    {
        // The replicated state tells what was committed; begin from there.
        state_->work.erase(found);
        return;
    }
    move_work& work = found->second;
    work.ticket.reset();
    record_step(*state_, work);
    for (const auto& order : std::exchange(work.orders, {}))
        send_order(state_, order);
}

} // namespace bergamotusher
