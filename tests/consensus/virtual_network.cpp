#include "consensus/virtual_network.hpp"

#include <algorithm>
#include <functional>

namespace virtual_network
{

namespace
{

constexpr duration tick_length = 5ms;

/// A random number in [0, 1).
double random_fraction(network& net)
{
    return std::uniform_real_distribution<double>(0, 1)(net.random);
}

std::size_t index_of(const network& net, const node_id& id)
{
    for (std::size_t i = 0; i < net.nodes.size(); ++i)
        if (net.nodes[i].id == id)
            return i;
    throw violation("a message was sent to an unknown node");
}

/// Schedules the delivery of a message; it may be dropped or duplicated.
void enqueue_message(network& net, std::size_t from, const send& out)
{
    const std::size_t to = index_of(net, out.to);
    const int copies = random_fraction(net) < net.drop
                           ? 0
                           : (random_fraction(net) < net.duplicate ? 2 : 1);
    for (int i = 0; i < copies; ++i)
    {
        const auto delay = duration(1 + net.random() % net.delay_max.count());
        net.messages.emplace(
            net.now + delay, in_flight_message{from, to, out.content});
    }
}

/// The state digest after applying `value` to the state digest `state`.
std::uint64_t hash_entry(std::uint64_t state, const entry& value)
{
    const std::string key = std::to_string(state) + "/" +
                            std::to_string(value.index) + "/" +
                            std::to_string(value.term) + "/" + value.command;
    return std::hash<std::string>{}(key);
}

/// Checks that all nodes have the same state at an index.
void check_state(network& net, const node& node)
{
    const auto [known, inserted] =
        net.state_by_index.emplace(node.applied, node.state);
    if (!inserted && known->second != node.state)
        throw violation(
            "state-machine safety: two states at index " +
            std::to_string(node.applied));
}

void apply_entry(network& net, node& node, const entry& value)
{
    if (value.index != node.applied + 1)
        throw violation("an entry was applied out of order");
    node.applied = value.index;
    node.state = hash_entry(node.state, value);
    check_state(net, node);
    if (net.committed_terms.emplace(value.index, value.term).second &&
        value.kind == entry_kind::command)
        ++net.applied_commands;
}

void restore_state(network& net, node& node, const snapshot& value)
{
    node.applied = value.index;
    node.state = value.index == 0 ? 0 : std::stoull(*value.data);
    if (value.index > 0)
        check_state(net, node);
}

/// Checks that the term has one leader, which holds every committed entry.
void check_leader(network& net, std::size_t index)
{
    const replica& core = net.nodes[index].core;
    const auto [known, inserted] =
        net.leader_by_term.emplace(core.hard.term, index);
    if (!inserted && known->second != index)
        throw violation("election safety: two leaders in one term");
    for (const auto& [committed_index, term] : net.committed_terms)
        if (committed_index >= core.log.base_index &&
            term_at(core.log, committed_index) != term)
            throw violation(
                "leader completeness: the leader lacks a committed entry");
}

void complete_write(virtual_disk& disk, const persist& write)
{
    disk.stored.hard = write.hard;
    for (const entry& value : write.entries)
    {
        auto& entries = disk.stored.entries;
        const log_index base = disk.stored.base.index;
        if (value.index <= base)
            continue;
        if (value.index > base + entries.size() + 1)
            throw violation("a written entry leaves a gap in the stored log");
        entries.resize(value.index - base - 1);
        entries.push_back(value);
    }
}

void complete_write(virtual_disk& disk, const persist_snapshot& write)
{
    recovered_state& stored = disk.stored;
    const log_index old_base = stored.base.index;
    const log_index end = write.value->index;
    if (write.reset || end > old_base + stored.entries.size())
        stored.entries.clear();
    else
        stored.entries.erase(
            stored.entries.begin(),
            stored.entries.begin() +
                static_cast<std::ptrdiff_t>(end - old_base));
    stored.base = *write.value;
}

void complete_first_write(virtual_disk& disk)
{
    std::visit(
        [&](const auto& write) { complete_write(disk, write); },
        disk.pending.front());
    disk.pending.pop_front();
}

void perform_actions(network& net, std::size_t index, const actions& out);

void finish_syncs(network& net, std::size_t index)
{
    node& node = net.nodes[index];
    virtual_disk& disk = node.disk;
    while (node.running && !disk.pending.empty() && !disk.sync_hung &&
           disk.busy_until <= net.now)
    {
        if (disk.full)
        {
            disk.pending.clear();
            step_node(net, index, storage_broken{});
            return;
        }
        const std::uint64_t token = std::visit(
            [](const auto& write) { return write.token; },
            disk.pending.front());
        complete_first_write(disk);
        disk.busy_until = net.now + disk.sync_time;
        step_node(net, index, storage_synced{token});
    }
}

void take_snapshot_if_due(network& net, std::size_t index)
{
    node& node = net.nodes[index];
    const log_index base = node.core.base ? node.core.base->index : 0;
    if (net.snapshot_every == 0 || node.core.pending_snapshot ||
        node.applied < base + net.snapshot_every)
        return;
    step_node(
        net,
        index,
        snapshot_taken{
            node.applied,
            std::make_shared<const std::string>(std::to_string(node.state))});
}

void report_step(network& net, std::size_t index, work_step step)
{
    if (net.on_step)
        net.on_step(net, index, step);
}

void perform_action(network& net, std::size_t index, const action& action)
{
    node& node = net.nodes[index];
    if (const auto* value = std::get_if<send>(&action))
        enqueue_message(net, index, *value);
    else if (const auto* value = std::get_if<persist>(&action))
        node.disk.pending.emplace_back(*value);
    else if (const auto* value = std::get_if<persist_snapshot>(&action))
        node.disk.pending.emplace_back(*value);
    else if (const auto* value = std::get_if<apply>(&action))
        apply_entry(net, node, value->value);
    else if (const auto* value = std::get_if<restore>(&action))
        restore_state(net, node, *value->value);
    else if (const auto* value = std::get_if<read_ready>(&action))
        node.reads.push_back(*value);
    else if (const auto* value = std::get_if<role_changed>(&action))
        if (value->role == role::leader)
            check_leader(net, index);
}

void report_step_before(network& net, std::size_t index, const action& action)
{
    if (const auto* value = std::get_if<apply>(&action))
        if (value->value.kind == entry_kind::command)
            report_step(net, index, work_step::apply);
}

void report_step_after(network& net, std::size_t index, const action& action)
{
    if (std::holds_alternative<persist_snapshot>(action))
        report_step(net, index, work_step::snapshot);
    if (std::holds_alternative<proposed>(action))
        report_step(net, index, work_step::propose);
    if (const auto* out = std::get_if<send>(&action))
        if (const auto* request = std::get_if<append_request>(&out->content))
            if (!request->entries.empty())
                report_step(net, index, work_step::append);
    if (const auto* out = std::get_if<apply>(&action))
        if (out->value.kind == entry_kind::command &&
            net.nodes[index].core.role == role::leader)
            report_step(net, index, work_step::answer);
    if (const auto* write = std::get_if<persist>(&action))
        for (const entry& value : write->entries)
            report_step(
                net,
                index,
                value.kind == entry_kind::members ? work_step::voter_change
                                                  : work_step::sync);
}

/// Performs actions in order; stops if a fault stops or restarts the node.
void perform_actions(network& net, std::size_t index, const actions& out)
{
    const std::size_t starts = net.nodes[index].start_count;
    const auto still_running = [&]
    {
        return net.nodes[index].running &&
               net.nodes[index].start_count == starts;
    };
    for (const action& action : out)
    {
        report_step_before(net, index, action);
        if (!still_running())
            return;
        perform_action(net, index, action);
        report_step_after(net, index, action);
        if (!still_running())
            return;
    }
}

void report_input_step(network& net, std::size_t index, const input& input)
{
    if (const auto* in = std::get_if<received>(&input))
        if (const auto* request = std::get_if<append_request>(&in->content))
            if (!request->entries.empty())
                report_step(net, index, work_step::append);
}

/// Checks that at most one node holds a lease at a time.
void check_leases(const network& net)
{
    int holders = 0;
    for (const node& node : net.nodes)
    {
        if (!node.running)
            continue;
        const time_point local = local_now(net, node);
        const bool holds = local < lease_until(node.core);
        if (may_act_as_sole_leader(node.core, local) && !holds)
            throw violation("may_order holds without a valid lease");
        holders += holds ? 1 : 0;
    }
    if (holders > 1)
        throw violation("two nodes hold a valid lease at the same time");
}

bool can_reach(const network& net, std::size_t a, std::size_t b)
{
    return net.partition[a] == net.partition[b] &&
           net.cut_links.count(std::minmax(a, b)) == 0;
}

void deliver_due_messages(network& net)
{
    while (!net.messages.empty() && net.messages.begin()->first <= net.now)
    {
        const in_flight_message due = net.messages.begin()->second;
        net.messages.erase(net.messages.begin());
        node& to = net.nodes[due.to];
        if (!to.running || !can_reach(net, due.from, due.to))
            continue;
        if (to.frozen)
            net.messages.emplace(net.now + 20ms, due);
        else
            step_node(
                net, due.to, received{net.nodes[due.from].id, due.content});
    }
}

void tick_nodes(network& net)
{
    for (std::size_t i = 0; i < net.nodes.size(); ++i)
    {
        node& node = net.nodes[i];
        if (!node.running || node.frozen)
            continue;
        finish_syncs(net, i);
        if (next_tick(node.core) <= local_now(net, node))
            step_node(net, i, tick{});
        if (has_unapplied(node.core))
            step_node(net, i, apply_more{});
        take_snapshot_if_due(net, i);
    }
}

} // namespace

std::size_t add_node(network& net, std::vector<node_id> configured)
{
    const std::size_t index = net.nodes.size();
    net.partition.push_back(0);
    node& node = net.nodes.emplace_back();
    node.id = {"n" + std::to_string(index)};
    node.storage_id = net.random() | 1U;
    node.configured = std::move(configured);
    node.may_bootstrap = false;
    const double drift = consensus::timing{}.clock_drift;
    node.clock_rate = 1 + drift * (2 * random_fraction(net) - 1);
    node.clock_offset = duration(net.random() % 1'000'000'000);
    return index;
}

network make_network(std::size_t count, std::uint64_t seed)
{
    network net;
    net.random.seed(seed);
    net.now = time_point(1h);
    for (std::size_t i = 0; i < count; ++i)
        net.nodes[add_node(net, {})].may_bootstrap = true;
    return net;
}

time_point local_now(const network& net, const node& node)
{
    const double real = static_cast<double>(net.now.time_since_epoch().count());
    const auto local = static_cast<std::int64_t>(real * node.clock_rate);
    return time_point(duration(local) + node.clock_offset);
}

void start_node(network& net, std::size_t index)
{
    node& node = net.nodes[index];
    replica_options options;
    options.self = node.id;
    for (const auto& other : net.nodes)
        if (node.configured.empty())
            options.nodes.push_back(
                {other.id, {"domain of " + other.id.value}});
    for (const node_id& id : node.configured)
        options.nodes.push_back({id, {}});
    options.may_bootstrap_cluster = node.may_bootstrap;
    options.storage_id = node.storage_id;
    options.seed = net.random();
    options.limits = net.limits;
    node.running = true;
    ++node.start_count;
    node.frozen = false;
    node.reads.clear();
    restore_state(net, node, node.disk.stored.base);
    node.core = make_replica(options, node.disk.stored, local_now(net, node));
}

void kill_node(network& net, std::size_t index)
{
    node& node = net.nodes[index];
    node.running = false;
    virtual_disk& disk = node.disk;
    const std::size_t written = net.random() % (disk.pending.size() + 1);
    for (std::size_t i = 0; i < written && !disk.full; ++i)
        complete_first_write(disk);
    disk.pending.clear();
}

void replace_disk(network& net, std::size_t index)
{
    kill_node(net, index);
    net.nodes[index].disk = {};
    net.nodes[index].storage_id = net.random() | 1U;
    start_node(net, index);
}

void set_link_down(network& net, std::size_t a, std::size_t b, bool down)
{
    if (down)
        net.cut_links.insert(std::minmax(a, b));
    else
        net.cut_links.erase(std::minmax(a, b));
}

actions step_node(network& net, std::size_t index, const input& input)
{
    node& node = net.nodes[index];
    const std::size_t starts = node.start_count;
    report_input_step(net, index, input);
    if (!node.running || node.start_count != starts)
        return {};
    const log_index commit = node.core.commit;
    actions out = step(node.core, input, local_now(net, node));
    if (node.core.commit > commit)
        report_step(net, index, work_step::commit);
    if (node.running && node.start_count == starts)
        perform_actions(net, index, out);
    return out;
}

void run(network& net, duration span)
{
    const time_point end = net.now + span;
    while (net.now < end)
    {
        net.now += tick_length;
        deliver_due_messages(net);
        tick_nodes(net);
        check_leases(net);
    }
}

std::optional<std::size_t> leader_of(const network& net)
{
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < net.nodes.size(); ++i)
    {
        const node& node = net.nodes[i];
        if (node.running && node.core.role == role::leader &&
            (!best || net.nodes[*best].core.hard.term < node.core.hard.term))
            best = i;
    }
    return best;
}

bool run_until_leader(network& net, duration limit)
{
    const time_point end = net.now + limit;
    while (net.now < end)
    {
        run(net, 10ms);
        for (const node& node : net.nodes)
            if (node.running && !node.frozen &&
                may_act_as_sole_leader(node.core, local_now(net, node)))
                return true;
    }
    return false;
}

void check_log_matching(const network& net)
{
    for (const node& a : net.nodes)
        for (const node& b : net.nodes)
        {
            const log_index low =
                std::max(a.core.log.base_index, b.core.log.base_index);
            log_index index =
                std::min(last_index(a.core.log), last_index(b.core.log));
            while (index > low &&
                   term_at(a.core.log, index) != term_at(b.core.log, index))
                --index;
            for (; index > low; --index)
                if (!(entry_at(a.core.log, index) ==
                      entry_at(b.core.log, index)))
                    throw violation(
                        "log matching: entries below a matching entry differ");
        }
}

} // namespace virtual_network
