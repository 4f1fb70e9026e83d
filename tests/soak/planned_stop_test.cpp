// Stops one entry by SIGTERM in calm, while callers keep sending on kept and
// new connections until the process is gone.
#include "soak/fake_cloud_api.hpp"
#include "soak/fault_schedule.hpp"
#include "soak/http.hpp"
#include "soak/run_history.hpp"
#include "soak/test_cluster.hpp"
#include "soak/upstream_set.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <map>
#include <mutex>
#include <random>
#include <thread>
#include <unistd.h>

using namespace soak;
using std::chrono::milliseconds;

namespace
{

constexpr unsigned seed = 91;
constexpr unsigned caller_count = 48;
constexpr int max_work_ms = 4000;
/// Short enough that entries take lookups until they stop accepting.
constexpr int max_lookup_ms = 300;
constexpr auto warm_up = milliseconds(2500);
/// A connection that was closed without an answer must close this soon after
/// its request was sent, if the request was not passed on.
constexpr auto max_silence = milliseconds(500);
/// An entry may end streams this long before the grace time is over.
constexpr auto max_early_end = milliseconds(600);

struct outcome
{
    request_kind kind = request_kind::order;
    int work_ms = 0;
    bool reused_connection = false;
    time_point sent_at;
    time_point ended_at;
    reply answer;
};

struct planned_stop
{
    run_history history;
    fake_cloud_api cloud_api{address_plan(seed, {}).cloud_api(), history};
    std::string folder = std::filesystem::temp_directory_path() /
                         ("planned-stop-" + std::to_string(::getpid()));
    test_cluster cluster{seed, folder};
    std::mutex mutex;
    std::map<std::string, int> executions;
    std::map<std::string, outcome> outcomes;
    upstream_set upstreams{
        cluster,
        history,
        seed,
        [this](const execution_record& execution)
        {
            const std::lock_guard lock(mutex);
            ++executions[execution.attempt];
        }};
    std::atomic<bool> stopping{false};
};

http_request
make_request(request_kind kind, const std::string& attempt, int work_ms)
{
    http_request request;
    request.version(11);
    request.method_string(request_method(kind));
    request.target(
        request_path(kind) + work_time_suffix + std::to_string(work_ms));
    request.set(boost::beast::http::field::host, "soak.example");
    request.set("Bergamotusher-Attempt-Id", attempt);
    request.set("Bergamotusher-Deadline-Ms", "8000");
    request.set(
        boost::beast::http::field::authorization,
        "Bearer " + initial_api_keys().front());
    request.body() = request_body(kind, attempt);
    request.prepare_payload();
    return request;
}

/// Sends requests to one entry; every third one on a new connection.
void run_caller(planned_stop& run, const std::string& address, unsigned index)
{
    std::mt19937 random(seed * 1000 + index);
    persistent_connection kept(address);
    for (int number = 0; !run.stopping; ++number)
    {
        outcome seen;
        seen.kind = static_cast<request_kind>(random() % 3);
        const int max_ms =
            seen.kind == request_kind::lookup ? max_lookup_ms : max_work_ms;
        seen.work_ms =
            random() % 4 == 0 ? 0 : static_cast<int>(random() % max_ms);
        const std::string attempt =
            "p" + std::to_string(index) + "-" + std::to_string(number);
        const http_request request =
            make_request(seen.kind, attempt, seen.work_ms);
        seen.sent_at = clock_type::now();
        constexpr double patience_s = 9;
        if (random() % 3 == 0)
            seen.answer =
                persistent_connection(address).send(request, patience_s);
        else
        {
            seen.reused_connection = kept.is_open();
            seen.answer = kept.send(request, patience_s);
        }
        seen.ended_at = clock_type::now();
        {
            const std::lock_guard lock(run.mutex);
            run.outcomes.emplace(attempt, seen);
        }
        std::this_thread::sleep_for(milliseconds(random() % 30));
    }
}

/// Routes whose timeouts are longer than the grace time.
std::string make_patient_configuration()
{
    auto value = nlohmann::json::parse(make_configuration(1, {}));
    for (auto& route : value["routes"])
        route["timeoutMs"] = 2 * max_work_ms;
    return value.dump();
}

bool is_listed(planned_stop& run, const std::string& address)
{
    const reply answer = send_once(
        run.cluster.control_address(0),
        "GET",
        "/resolve?name=soak.example&zone=east",
        "");
    const auto value =
        nlohmann::json::parse(answer.response.body(), nullptr, false);
    if (answer.status != 200 || !value.is_object())
        return true;
    for (const auto& each : value.value("addresses", nlohmann::json::array()))
        if (each.get<std::string>() == address)
            return true;
    return false;
}

/// What is wrong with the outcome of one request; empty if nothing is.
std::string
find_fault(const outcome& seen, int executions, time_point stopped_at)
{
    const auto& answer = seen.answer;
    const bool promises_not_run = answer.status == 503 || answer.status == 429;
    if (seen.kind == request_kind::order && executions > 1)
        return "ran twice";
    if (answer.complete && promises_not_run)
    {
        if (executions > 0)
            return "ran, but the answer says that it did not";
        return answer.response["Retry-After"].empty() ? "no Retry-After" : "";
    }
    if (answer.complete)
        return "";
    const time_point kill_at =
        stopped_at + std::chrono::seconds(shutdown_grace_s);
    if (answer.status != 0)
        return seen.kind == request_kind::chat &&
                       seen.ended_at > kill_at - max_early_end
                   ? ""
                   : "the answer was cut";
    if (executions > 0)
        return "passed on, but not answered";
    return seen.ended_at - seen.sent_at > max_silence ? "held, not answered"
                                                      : "";
}

} // namespace

TEST_CASE("a planned stop of an entry leaves no request that was passed on "
          "without a true answer")
{
    planned_stop run;
    const auto send_configuration = [&]
    {
        return send_once(
                   run.cluster.control_address(0),
                   "POST",
                   "/Config.Replace",
                   make_patient_configuration())
                   .status == 200;
    };
    REQUIRE(wait_until(send_configuration, milliseconds(10'000)));
    const unsigned stopped = run.cluster.entries().front();
    REQUIRE(wait_until(
        [&] { return run.cluster.all_entries_ready(); }, milliseconds(10'000)));
    const std::string address = run.cluster.entry_address(stopped);
    REQUIRE(wait_until(
        [&] { return is_listed(run, address); }, milliseconds(3000)));
    std::vector<std::thread> callers;
    for (unsigned i = 0; i < caller_count; ++i)
        callers.emplace_back([&, i] { run_caller(run, address, i); });
    std::this_thread::sleep_for(warm_up);

    const time_point stopped_at = clock_type::now();
    run.cluster.process(stopped).send(SIGTERM);
    CHECK(wait_until(
        [&] { return !run.cluster.is_ready(stopped); }, milliseconds(300)));
    CHECK(wait_until(
        [&] { return !is_listed(run, address); }, milliseconds(1000)));
    // Neither a second signal nor a reload may end the stop sooner.
    run.cluster.process(stopped).send(SIGTERM);
    run.cluster.process(stopped).send(SIGHUP);
    const bool ended = run.cluster.process(stopped).wait(shutdown_grace_s) == 0;
    const time_point ended_at = clock_type::now();
    run.stopping = true;
    for (std::thread& each : callers)
        each.join();
    // Upstreams may still work on what was cut.
    std::this_thread::sleep_for(milliseconds(max_work_ms) / 2);
    CHECK(ended);
    CHECK(ended_at < stopped_at + std::chrono::seconds(shutdown_grace_s));

    const std::lock_guard lock(run.mutex);
    std::map<int, int> statuses;
    int faults = 0;
    for (const auto& [attempt, seen] : run.outcomes)
    {
        if (seen.ended_at < stopped_at)
            continue;
        ++statuses[seen.answer.status];
        const std::string fault =
            find_fault(seen, run.executions[attempt], stopped_at);
        if (fault.empty())
            continue;
        ++faults;
        UNSCOPED_INFO(
            attempt << " kind " << static_cast<int>(seen.kind) << ", work "
                    << seen.work_ms << " ms, sent at "
                    << (seen.sent_at - stopped_at) / milliseconds(1)
                    << " ms, ended at "
                    << (seen.ended_at - stopped_at) / milliseconds(1)
                    << " ms, status " << seen.answer.status << ": " << fault);
    }
    std::cout << "planned stop: ended after "
              << (ended_at - stopped_at) / milliseconds(1) << " ms, ";
    for (const auto& [status, count] : statuses)
        std::cout << count << " with " << status << ", ";
    std::cout << faults << " faults\n";
    CHECK(faults == 0);
    CHECK(statuses[200] > 20);
    if (faults == 0 && std::getenv("BERGAMOTUSHER_KEEP_LOGS") == nullptr)
        std::filesystem::remove_all(run.folder);
}
