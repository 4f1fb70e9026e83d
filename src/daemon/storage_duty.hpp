// The thread that writes and syncs for the control duty. It takes all that
// waits, writes it, and syncs once for the whole batch.
//
// Wiring: the control duty owns it; nobody else talks to it.
#pragma once

#include "base/mailbox.hpp"
#include "consensus/log_storage.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <optional>
#include <thread>
#include <vector>

namespace bergamotusher
{

/// What became of a batch.
struct storage_report
{
    /// Everything up to this token is synced, if `failed` is empty.
    std::uint64_t token = 0;
    /// Tells reports of an earlier start apart.
    std::uint64_t generation = 0;
    std::optional<failure> failed;
    std::uint64_t syncs = 0;
    std::uint64_t written_bytes = 0;
};

/// The duty. `report` runs on its thread, once for each batch.
struct storage_duty
{
    storage_duty(
        consensus::log_storage opened,
        std::size_t capacity,
        std::function<void(const storage_report&)> report_to);

    consensus::log_storage storage;
    std::function<void(const storage_report&)> report;
    boost::asio::io_context loop{1};
    mailbox<consensus::storage_write> inbox;
    std::vector<consensus::storage_write> batch;
    std::thread thread;
};

void start(storage_duty& duty);

/// Ends the thread and closes the files. What was not reported as synced must
/// not be taken as stored.
void stop(storage_duty& duty);

} // namespace bergamotusher
