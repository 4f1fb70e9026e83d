#include "dissemination/relay.hpp"

#include <algorithm>
#include <utility>

namespace bergamotusher::dissemination
{

namespace
{

using actions = std::vector<action>;

template<class Action>
void add_action(actions& out, Action value)
{
    out.emplace_back(std::in_place_type<Action>, std::move(value));
}

void send_to_child(
    relay_state& state, const tree_node& subtree, time_point now, actions& out)
{
    state.pending[subtree.id] = {subtree, false, now + receipt_timeout};
    add_action(
        out,
        send_message{
            subtree.id,
            round_message{
                state.round, state.base_revision, state.revision, subtree}});
}

void begin_round(
    relay_state& state,
    const round_message& update,
    time_point now,
    actions& out)
{
    state.round = update.round;
    state.base_revision = update.base_revision;
    state.revision = update.revision;
    state.pending.clear();
    state.result = {};
    state.catch_up_deadline = now + catch_up_timeout;
    state.self_counted = false;
    state.ended = false;
    for (const tree_node& child : update.subtree.children)
        send_to_child(state, child, now, out);
}

/// Counts this node in the result once it has applied the revision or its
/// deadline for this has passed.
void count_self(relay_state& state, time_point now)
{
    if (state.self_counted)
        return;
    const bool applied = state.applied >= state.revision;
    if (!applied && now < state.catch_up_deadline)
        return;
    state.self_counted = true;
    if (applied)
        ++state.result.applied;
    else
        state.result.missing.push_back(state.self);
}

void end_if_complete(relay_state& state, time_point now, actions& out)
{
    if (state.ended)
        return;
    count_self(state, now);
    if (!state.self_counted || !state.pending.empty())
        return;
    state.ended = true;
    if (state.parent)
        add_action(
            out,
            send_message{
                *state.parent, round_summary{state.round, state.result}});
    else
        add_action(out, round_ended{state.round, state.revision, state.result});
}

/// Applies changes if they follow on the applied revision without a gap, and
/// sends them to the nodes that have requested them.
void apply_changes(
    relay_state& state,
    std::uint64_t base_revision,
    std::uint64_t revision,
    actions& out)
{
    if (base_revision > state.applied || revision <= state.applied)
        return;
    state.applied = revision;
    add_action(out, apply{revision});
    for (const auto& [id, known_revision] :
         std::exchange(state.waiting_requests, {}))
        add_action(
            out, send_message{id, changes_message{known_revision, revision}});
}

void resend_summary(relay_state& state, const node_id& from, actions& out)
{
    state.parent = from;
    if (state.ended)
        add_action(
            out, send_message{from, round_summary{state.round, state.result}});
}

void handle(
    relay_state& state,
    const node_id& from,
    const round_message& update,
    time_point now,
    actions& out)
{
    if (update.round < state.round)
        return;
    add_action(out, send_message{from, round_receipt{update.round}});
    if (update.round == state.round)
        return resend_summary(state, from, out);
    state.parent = from;
    apply_changes(state, update.base_revision, update.revision, out);
    begin_round(state, update, now, out);
    if (state.applied < update.revision)
        add_action(out, send_message{from, changes_request{state.applied}});
}

void handle(
    relay_state& state,
    const node_id& from,
    const round_receipt& receipt,
    time_point now,
    actions&)
{
    const auto child = state.pending.find(from);
    if (receipt.round != state.round || child == state.pending.end())
        return;
    child->second.received = true;
    child->second.deadline =
        now + summary_timeout(height_of(child->second.subtree));
}

void handle(
    relay_state& state,
    const node_id& from,
    const round_summary& child_summary,
    time_point,
    actions&)
{
    if (child_summary.round != state.round || state.pending.erase(from) == 0)
        return;
    state.result.applied += child_summary.result.applied;
    auto& missing = state.result.missing;
    missing.insert(
        missing.end(),
        child_summary.result.missing.begin(),
        child_summary.result.missing.end());
}

void handle(
    relay_state& state,
    const node_id& from,
    const changes_request& request,
    time_point,
    actions& out)
{
    if (state.applied > request.have)
        add_action(
            out,
            send_message{from, changes_message{request.have, state.applied}});
    else
        state.waiting_requests[from] = request.have;
}

void handle(
    relay_state& state,
    const node_id&,
    const changes_message& changes,
    time_point,
    actions& out)
{
    apply_changes(state, changes.base_revision, changes.revision, out);
}

/// Counts a child that did not answer as missing and sends the round to its
/// children directly.
void bypass_child(
    relay_state& state, const node_id& child, time_point now, actions& out)
{
    const tree_node subtree = std::move(state.pending[child].subtree);
    state.pending.erase(child);
    state.result.missing.push_back(child);
    for (const tree_node& grandchild : subtree.children)
        send_to_child(state, grandchild, now, out);
}

} // namespace

duration summary_timeout(std::size_t height)
{
    // Two receipt timeouts for each level below, since a child that does not
    // answer is bypassed only after its timeout, and one more.
    const auto waits = static_cast<int>(2 * height + 1);
    return catch_up_timeout + receipt_timeout * waits;
}

std::vector<action>
start_round(relay_state& state, const round_message& update, time_point now)
{
    actions out;
    state.parent.reset();
    state.applied = std::max(state.applied, update.revision);
    begin_round(state, update, now, out);
    end_if_complete(state, now, out);
    return out;
}

std::vector<action> on_message(
    relay_state& state,
    const node_id& from,
    const message& value,
    time_point now)
{
    actions out;
    std::visit(
        [&](const auto& body) { handle(state, from, body, now, out); }, value);
    end_if_complete(state, now, out);
    return out;
}

std::vector<action> on_tick(relay_state& state, time_point now)
{
    actions out;
    std::vector<node_id> silent;
    for (const auto& [id, child] : state.pending)
        if (now >= child.deadline)
            silent.push_back(id);
    for (const node_id& id : silent)
        bypass_child(state, id, now, out);
    end_if_complete(state, now, out);
    return out;
}

} // namespace bergamotusher::dissemination
