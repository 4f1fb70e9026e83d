#include "daemon/storage_duty.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace bergamotusher
{

namespace
{

std::uint64_t token_of(const consensus::storage_write& write)
{
    return std::visit([](const auto& entry) { return entry.token; }, write);
}

void store_batch(storage_duty& duty)
{
    const std::vector<consensus::storage_write> batch =
        std::exchange(duty.batch, {});
    storage_report report;
    report.token = token_of(batch.back());
    report.failed = store(duty.storage, batch);
    report.syncs = duty.storage.syncs;
    report.written_bytes = duty.storage.written_bytes;
    duty.report(report);
}

} // namespace

storage_duty::storage_duty(
    consensus::log_storage opened,
    std::size_t capacity,
    std::function<void(const storage_report&)> report_function)
    : storage(std::move(opened))
    , report(std::move(report_function))
    , inbox(
          loop,
          capacity,
          [this](consensus::storage_write&& write)
          {
              batch.push_back(std::move(write));
              // Posted behind the mailbox's present entries, so that one sync
              // covers all of them.
              if (batch.size() == 1)
                  boost::asio::post(loop, [this] { store_batch(*this); });
          },
          capacity)
{
}

void start(storage_duty& duty)
{
    duty.thread = std::thread(
        [&duty]
        {
            const auto guard = boost::asio::make_work_guard(duty.loop);
            duty.loop.run();
        });
}

void stop(storage_duty& duty)
{
    if (duty.thread.joinable())
    {
        duty.loop.stop();
        duty.thread.join();
    }
    close_storage(duty.storage);
}

} // namespace bergamotusher
