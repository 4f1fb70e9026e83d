// Starting and stopping the control duty: its data folder, its core, its
// threads.
#include "daemon/control_state.hpp"

#include <boost/asio/post.hpp>

#include <random>

namespace bergamotusher
{

namespace
{

using consensus::role;

constexpr std::size_t storage_ring = 4096;

std::uint64_t draw_number()
{
    std::random_device device;
    return (std::uint64_t{device()} << 32U) | device();
}

consensus::storage_options storage_options_of(const control_options& options)
{
    consensus::storage_options storage;
    storage.folder = options.data_dir;
    storage.node = options.self;
    storage.cluster = options.cluster;
    storage.new_storage_id = draw_number() | 1U;
    storage.files = options.files;
    return storage;
}

/// Opens the folder; a damaged one is set aside if that is wanted.
std::variant<consensus::opened_storage, failure> open_folder(control_duty& duty)
{
    const auto storage = storage_options_of(duty.options);
    auto opened = consensus::open_storage(storage);
    const auto* bad = std::get_if<failure>(&opened);
    if (bad == nullptr || bad->kind != error_kind::storage_corrupt ||
        !duty.options.rejoin_if_damaged)
        return opened;
    {
        const std::lock_guard lock(duty.status_mutex);
        duty.status.failed = *bad;
    }
    if (auto worse = consensus::set_aside(storage))
        return *worse;
    return consensus::open_storage(storage);
}

consensus::replica_options
replica_options_of(const control_options& options, std::uint64_t storage_id)
{
    consensus::replica_options made;
    made.self = options.self;
    for (const peer_address& node : options.nodes)
        made.nodes.push_back({node.id, node.domain});
    made.may_found = options.may_found;
    made.storage_id = storage_id;
    made.seed = options.seed;
    made.timing = options.timing;
    made.limits = options.limits;
    return made;
}

/// A report must not be lost: the storage thread waits while the ring is full.
void hand_report(
    control_duty& duty, std::uint64_t generation, storage_report report)
{
    report.generation = generation;
    for (bool taken = false; !taken && !duty.stopping;)
    {
        storage_report copy = report;
        taken = duty.from_storage.push(std::move(copy));
        if (!taken)
            std::this_thread::yield();
    }
}

void reset_for_start(control_duty& duty)
{
    ++duty.generation;
    duty.stopping = false;
    duty.loop.restart();
    duty.unsent_writes.clear();
    duty.taken.clear();
    duty.asking.reset();
    duty.may_order = false;
    const std::lock_guard lock(duty.status_mutex);
    duty.status.role = role::follower;
    duty.status.failed.reset();
}

void start_core(control_duty& duty, consensus::opened_storage&& opened)
{
    const consensus::snapshot& base = opened.state.base;
    duty.machine.restore(base.index, base.data ? *base.data : std::string());
    duty.snapshotted = base.index;
    duty.core = consensus::make_replica(
        replica_options_of(duty.options, opened.storage.storage_id),
        std::move(opened.state),
        steady_now());
    {
        const std::lock_guard lock(duty.status_mutex);
        duty.status.term = duty.core.hard.term;
    }
    duty.storage = std::make_unique<storage_duty>(
        std::move(opened.storage),
        storage_ring,
        [&duty, generation = duty.generation](const storage_report& report)
        { hand_report(duty, generation, report); });
}

} // namespace

std::optional<failure> start(control_duty& duty)
{
    const time_point began = steady_now();
    reset_for_start(duty);
    auto opened = open_folder(duty);
    if (auto* bad = std::get_if<failure>(&opened))
        return *bad;
    start_core(duty, std::move(std::get<consensus::opened_storage>(opened)));
    publish_status(duty);
    {
        const std::lock_guard lock(duty.status_mutex);
        duty.status.opened_in = steady_now() - began;
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
            settle_all(duty);
            if (duty.may_order && duty.machine.on_leadership)
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
