// Thread that writes and syncs the log for the control duty: writes all waiting
// entries as one batch and syncs once for the batch. Owned and used by the
// control duty only.
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

/// Result of one batch of writes.
struct storage_report
{
    /// All writes up to this token are synced if `failed` is empty.
    std::uint64_t token = 0;
    /// Number of the start of the control duty that the report belongs to.
    std::uint64_t generation = 0;
    std::optional<failure> failed;
    std::uint64_t syncs = 0;
    std::uint64_t written_bytes = 0;
};

/// The storage thread and its data. `report` is called on this thread, once for
/// each batch.
struct storage_duty
{
    storage_duty(
        consensus::log_storage opened,
        std::size_t capacity,
        std::function<void(const storage_report&)> report_function);

    consensus::log_storage storage;
    std::function<void(const storage_report&)> report;
    boost::asio::io_context loop{1};
    mailbox<consensus::storage_write> inbox;
    std::vector<consensus::storage_write> batch;
    std::thread thread;
};

void start(storage_duty& duty);

/// Ends the thread and closes the files. Writes that were not reported as
/// synced may be lost.
void stop(storage_duty& duty);

} // namespace bergamotusher
