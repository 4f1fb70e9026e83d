// Starts and stops the control duty: opens its data folder, builds the
// consensus replica, and runs the threads.
#include "daemon/control_state.hpp"

#include <boost/asio/post.hpp>

#include <random>

namespace bergamotusher
{

namespace
{

using consensus::role;

constexpr std::size_t storage_queue_capacity = 4096;

consensus::storage_options storage_options_of(const control_options& options)
{
    consensus::storage_options storage;
    storage.folder = options.data_dir;
    storage.node = options.self;
    storage.cluster = options.cluster;
    storage.new_storage_id = random_number() | 1U;
    storage.files = options.files;
    return storage;
}

/// Opens the data folder. If it is damaged and `rejoin_if_damaged` is set,
/// renames its files and opens an empty one; the damage stays in the status.
std::variant<consensus::opened_storage, failure> open_folder(control_duty& duty)
{
    const auto storage = storage_options_of(duty.options);
    auto opened = consensus::open_storage(storage);
    const auto* error = std::get_if<failure>(&opened);
    if (error == nullptr || error->kind != error_kind::storage_corrupt ||
        !duty.options.rejoin_if_damaged)
        return opened;
    {
        const std::lock_guard lock(duty.status_mutex);
        duty.status.failed = *error;
    }
    if (auto rename_error = consensus::rename_damaged_files(storage))
        return *rename_error;
    return consensus::open_storage(storage);
}

consensus::replica_options
replica_options_of(const control_options& options, std::uint64_t storage_id)
{
    consensus::replica_options result;
    result.self = options.self;
    result.nodes = configured_nodes(options);
    result.may_bootstrap_cluster = options.may_bootstrap_cluster;
    result.storage_id = storage_id;
    result.seed = options.seed;
    result.timing = options.timing;
    result.limits = options.limits;
    return result;
}

/// Passes a report to the control thread. The storage thread waits while the
/// queue is full, since a lost report would lose a sync or a failure.
void deliver_report(
    control_duty& duty, std::uint64_t generation, storage_report report)
{
    report.generation = generation;
    for (bool pushed = false; !pushed && !duty.stopping;)
    {
        storage_report copy = report;
        pushed = duty.from_storage.push(std::move(copy));
        if (!pushed)
            std::this_thread::yield();
    }
}

void reset_for_start(control_duty& duty)
{
    ++duty.generation;
    duty.stopping = false;
    duty.loop.restart();
    duty.unsent_writes.clear();
    duty.accepted_remote.clear();
    duty.confirmations.clear();
    duty.orders_allowed = false;
    duty.apply_scheduled = false;
    const std::lock_guard lock(duty.status_mutex);
    duty.status.role = role::follower;
    duty.status.failed.reset();
}

void start_core(control_duty& duty, consensus::opened_storage&& opened)
{
    const consensus::snapshot& base = opened.state.base;
    duty.machine.restore(base.index, base.data ? *base.data : std::string());
    duty.since_snapshot = {
        0, 0, base.data ? base.data->size() : std::size_t{0}};
    duty.core = consensus::make_replica(
        replica_options_of(duty.options, opened.storage.storage_id),
        std::move(opened.state),
        steady_now());
    // Grows once it is known what entries cost.
    duty.core.options.limits.apply_entries = 1;
    {
        const std::lock_guard lock(duty.status_mutex);
        duty.status.term = duty.core.hard.term;
    }
    duty.storage = std::make_unique<storage_duty>(
        std::move(opened.storage),
        storage_queue_capacity,
        [&duty, generation = duty.generation](const storage_report& report)
        { deliver_report(duty, generation, report); });
}

} // namespace

std::uint64_t random_number()
{
    std::random_device device;
    return (std::uint64_t{device()} << 32U) | device();
}

std::vector<consensus::configured_node>
configured_nodes(const control_options& options)
{
    std::vector<consensus::configured_node> nodes;
    nodes.reserve(options.nodes.size());
    for (const peer_address& node : options.nodes)
        nodes.push_back({node.id, node.domain});
    return nodes;
}

std::optional<failure> start(control_duty& duty)
{
    const time_point started_at = steady_now();
    reset_for_start(duty);
    auto opened = open_folder(duty);
    if (auto* error = std::get_if<failure>(&opened))
        return *error;
    start_core(duty, std::move(std::get<consensus::opened_storage>(opened)));
    publish_status(duty);
    {
        const std::lock_guard lock(duty.status_mutex);
        duty.status.open_duration = steady_now() - started_at;
        duty.status.opened_entries = duty.status.log_entries;
        duty.status.opened_bytes = duty.status.log_bytes;
    }
    start(*duty.storage);
    duty.thread = std::thread(
        [&duty]
        {
            const auto guard = boost::asio::make_work_guard(duty.loop);
            on_timer(duty);
            duty.loop.run();
        });
    return std::nullopt;
}

void stop(control_duty& duty)
{
    if (!duty.thread.joinable())
        return;
    boost::asio::post(
        duty.loop,
        [&duty]
        {
            answer_all_proposals(duty);
            if (duty.orders_allowed && duty.machine.on_leadership)
                duty.machine.on_leadership(false, duty.core.hard.term);
            duty.order_until_us = 0;
            duty.timer.cancel();
            duty.loop.stop();
        });
    duty.stopping = true;
    duty.thread.join();
    stop(*duty.storage);
}

} // namespace bergamotusher
