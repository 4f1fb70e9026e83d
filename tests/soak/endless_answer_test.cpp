// Guards against upstreams that send bytes without end: the entry kept all of
// them until it ran out of memory, and the requests of other callers ended with
// it.
#include "common/endless_answer.hpp"
#include "harness/memory.hpp"
#include "soak/fake_cloud_api.hpp"
#include "soak/fault_schedule.hpp"
#include "soak/http.hpp"
#include "soak/run_history.hpp"
#include "soak/test_cluster.hpp"
#include "soak/upstream_set.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <cstdlib>
#include <filesystem>
#include <mutex>
#include <thread>
#include <unistd.h>

using namespace soak;
using std::chrono::milliseconds;

namespace
{

constexpr unsigned seed = 92;
constexpr unsigned callers_per_kind = 10;
constexpr unsigned sound_callers = 6;
/// More than the timeout of the routes.
constexpr double patience_s = 8;

http_request make_request(
    request_kind kind,
    const std::string& attempt,
    const std::string& suffix,
    const std::string& key)
{
    http_request request;
    request.version(11);
    request.method_string(request_method(kind));
    request.target(request_path(kind) + suffix);
    request.set(boost::beast::http::field::host, "soak.example");
    request.set("Bergamotusher-Attempt-Id", attempt);
    request.set("Bergamotusher-Deadline-Ms", "4000");
    request.set(boost::beast::http::field::authorization, "Bearer " + key);
    request.body() = request_body(kind, attempt);
    request.prepare_payload();
    return request;
}

} // namespace

TEST_CASE("upstreams that send bytes without end do not end an entry or the "
          "requests of its other callers")
{
    run_history history;
    fake_cloud_api cloud_api(address_plan(seed, {}).cloud_api(), history);
    const std::string folder =
        std::filesystem::temp_directory_path() /
        ("endless-answers-" + std::to_string(::getpid()));
    test_cluster cluster(seed, folder);
    upstream_set upstreams(
        cluster, history, seed, [](const execution_record&) {});
    REQUIRE(wait_until(
        [&]
        {
            return send_once(
                       cluster.control_address(0),
                       "POST",
                       "/Config.Replace",
                       make_configuration(1, {}))
                       .status == 200;
        },
        milliseconds(10'000)));
    REQUIRE(wait_until(
        [&] { return cluster.all_entries_ready(); }, milliseconds(10'000)));
    const unsigned entry = cluster.entries().front();
    const std::string address = cluster.entry_address(entry);
    const pid_t process = cluster.process(entry).id();
    bergamotusher::tests::limit_memory(process);

    std::mutex mutex;
    std::vector<std::string> faults;
    std::atomic<unsigned> endless_open{0};
    std::atomic<unsigned> sound_answers{0};
    std::vector<std::thread> callers;
    const std::vector<std::string> keys = initial_api_keys();
    for (const auto& kind : bergamotusher::fakes::endless_answers(""))
        for (unsigned i = 0; i < callers_per_kind; ++i)
        {
            ++endless_open;
            callers.emplace_back(
                [&, i, name = kind.name]
                {
                    const reply answer = persistent_connection(address).send(
                        make_request(
                            static_cast<request_kind>(i % 3),
                            "e-" + name + std::to_string(i),
                            endless_suffix + name,
                            keys.back()),
                        patience_s);
                    --endless_open;
                    const std::lock_guard lock(mutex);
                    if (answer.complete && answer.status < 400)
                        faults.push_back(name + " looks complete");
                    if (answer.status == 0)
                        faults.push_back(name + " is not answered");
                });
        }
    for (unsigned i = 0; i < sound_callers; ++i)
        callers.emplace_back(
            [&, i]
            {
                for (int number = 0; endless_open > 0; ++number)
                {
                    const reply answer = persistent_connection(address).send(
                        make_request(
                            request_kind::lookup,
                            "s" + std::to_string(i) + "-" +
                                std::to_string(number),
                            "",
                            keys.front()),
                        patience_s);
                    ++sound_answers;
                    const std::lock_guard lock(mutex);
                    if (answer.status != 200 || !answer.complete)
                        faults.push_back(
                            "a sound request is answered " +
                            std::to_string(answer.status));
                }
            });
    for (std::thread& each : callers)
        each.join();
    for (const std::string& fault : faults)
        UNSCOPED_INFO(fault);
    CHECK(faults.empty());
    CHECK(sound_answers > 0);
    REQUIRE(cluster.process(entry).running());
    CHECK(
        bergamotusher::tests::peak_memory(process) <
        bergamotusher::tests::entry_memory);
    if (faults.empty() && std::getenv("BERGAMOTUSHER_KEEP_LOGS") == nullptr)
        std::filesystem::remove_all(folder);
}
