#include "dissemination/relay.hpp"

#include <algorithm>
#include <utility>

namespace bergamotusher::dissemination
{

namespace
{

using actions = std::vector<action>;

template<class Action>
void emit(actions& out, Action one)
{
    out.emplace_back(std::in_place_type<Action>, std::move(one));
}

void send_part(
    relay& state, const tree_node& part, time_point now, actions& out)
{
    state.pending[part.id] = {part, false, now + receipt_timeout};
    emit(
        out,
        send_message{
            part.id, spread{state.round, state.after, state.revision, part}});
}

void open_round(relay& state, const spread& news, time_point now, actions& out)
{
    state.round = news.round;
    state.after = news.after;
    state.revision = news.revision;
    state.pending.clear();
    state.result = {};
    state.own_deadline = now + catch_up_timeout;
    state.self_counted = false;
    state.ended = false;
    for (const tree_node& child : news.part.children)
        send_part(state, child, now, out);
}

/// Counts this node once it has the revision, or has been waiting too long.
void count_self(relay& state, time_point now)
{
    if (state.self_counted)
        return;
    const bool applied = state.applied >= state.revision;
    if (!applied && now < state.own_deadline)
        return;
    state.self_counted = true;
    if (applied)
        ++state.result.applied;
    else
        state.result.missing.push_back(state.self);
}

void end_if_complete(relay& state, time_point now, actions& out)
{
    if (state.ended)
        return;
    count_self(state, now);
    if (!state.self_counted || !state.pending.empty())
        return;
    state.ended = true;
    if (state.parent)
        emit(
            out,
            send_message{*state.parent, summary{state.round, state.result}});
    else
        emit(out, round_ended{state.round, state.revision, state.result});
}

/// Takes changes into force that begin no later than where this node stands,
/// and passes them on to those that wait for them.
void apply_changes(
    relay& state, std::uint64_t after, std::uint64_t revision, actions& out)
{
    if (after > state.applied || revision <= state.applied)
        return;
    state.applied = revision;
    emit(out, apply{revision});
    for (const auto& [id, have] : std::exchange(state.wanting, {}))
        emit(out, send_message{id, content{have, revision}});
}

void answer_again(relay& state, const node_id& from, actions& out)
{
    state.parent = from;
    if (state.ended)
        emit(out, send_message{from, summary{state.round, state.result}});
}

void take(
    relay& state,
    const node_id& from,
    const spread& news,
    time_point now,
    actions& out)
{
    if (news.round < state.round)
        return;
    emit(out, send_message{from, receipt{news.round}});
    if (news.round == state.round)
        return answer_again(state, from, out);
    state.parent = from;
    apply_changes(state, news.after, news.revision, out);
    open_round(state, news, now, out);
    if (state.applied < news.revision)
        emit(out, send_message{from, pull{state.applied}});
}

void take(
    relay& state,
    const node_id& from,
    const receipt& got,
    time_point now,
    actions&)
{
    const auto child = state.pending.find(from);
    if (got.round != state.round || child == state.pending.end())
        return;
    child->second.received = true;
    child->second.deadline =
        now + summary_timeout(height_of(child->second.part));
}

void take(
    relay& state, const node_id& from, const summary& sum, time_point, actions&)
{
    if (sum.round != state.round || state.pending.erase(from) == 0)
        return;
    state.result.applied += sum.result.applied;
    auto& missing = state.result.missing;
    missing.insert(
        missing.end(), sum.result.missing.begin(), sum.result.missing.end());
}

void take(
    relay& state,
    const node_id& from,
    const pull& wanted,
    time_point,
    actions& out)
{
    if (state.applied > wanted.have)
        emit(out, send_message{from, content{wanted.have, state.applied}});
    else
        state.wanting[from] = wanted.have;
}

void take(
    relay& state,
    const node_id&,
    const content& changes,
    time_point,
    actions& out)
{
    apply_changes(state, changes.after, changes.revision, out);
}

/// Gives a silent child up, and sends to its children in its place.
void go_round(relay& state, const node_id& child, time_point now, actions& out)
{
    const tree_node part = std::move(state.pending[child].part);
    state.pending.erase(child);
    state.result.missing.push_back(child);
    for (const tree_node& grandchild : part.children)
        send_part(state, grandchild, now, out);
}

} // namespace

duration summary_timeout(std::size_t height)
{
    // Each level below may wait for a receipt in vain, and once more.
    const auto waits = static_cast<int>(2 * height + 1);
    return catch_up_timeout + receipt_timeout * waits;
}

std::vector<action>
start_round(relay& state, const spread& news, time_point now)
{
    actions out;
    state.parent.reset();
    state.applied = std::max(state.applied, news.revision);
    open_round(state, news, now, out);
    end_if_complete(state, now, out);
    return out;
}

std::vector<action> on_message(
    relay& state, const node_id& from, const message& value, time_point now)
{
    actions out;
    std::visit(
        [&](const auto& one) { take(state, from, one, now, out); }, value);
    end_if_complete(state, now, out);
    return out;
}

std::vector<action> on_tick(relay& state, time_point now)
{
    actions out;
    std::vector<node_id> silent;
    for (const auto& [id, child] : state.pending)
        if (now >= child.deadline)
            silent.push_back(id);
    for (const node_id& id : silent)
        go_round(state, id, now, out);
    end_if_complete(state, now, out);
    return out;
}

} // namespace bergamotusher::dissemination
