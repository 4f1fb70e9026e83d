// Runs concurrent clients and operators while daemons are killed, suspended and
// partitioned from their peers, and checks the recorded history of operations.
//
// The seed selects the faults. BERGAMOTUSHER_SEED runs only the given seed;
// BERGAMOTUSHER_HISTORY names a file to which the history is written.
#include "harness/cluster.hpp"
#include "harness/history.hpp"
#include "harness/outcome.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <random>
#include <thread>

using namespace bergamotusher::tests;
using nlohmann::json;

namespace
{

constexpr unsigned node_count = 4;
constexpr unsigned operator_count = 3;
constexpr unsigned order_client_count = 8;
constexpr unsigned fault_count = 8;
constexpr unsigned max_sends_per_order = 4;

using clock_type = std::chrono::steady_clock;

// The state shared by all threads of one run.
struct fault_run
{
    explicit fault_run(unsigned index)
        : seed(index), system(node_count, true), started_at(clock_type::now())
    {
    }

    double elapsed_seconds() const
    {
        return std::chrono::duration<double>(clock_type::now() - started_at)
            .count();
    }

    unsigned seed;
    cluster system;
    clock_type::time_point started_at;
    recorder recorded;
    std::atomic<bool> stopping{false};
};

void sleep_milliseconds(unsigned milliseconds)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

std::uint64_t parse_revision(const std::string& body)
{
    const json value = json::parse(body, nullptr, false);
    return value.is_object() ? value.value("revision", std::uint64_t{0}) : 0;
}

// Reads the configuration revision at `node` and records the read. Returns 0
// if the read failed.
std::uint64_t read_revision(fault_run& run, unsigned node)
{
    operation record;
    record.kind = operation_kind::read;
    record.start_seconds = run.elapsed_seconds();
    const auto response =
        run.system.send_admin_request(node, "GET", "/v1/config/classes");
    record.end_seconds = run.elapsed_seconds();
    if (response.status != 200 || !response.complete)
        return 0;
    record.outcome = operation_outcome::done;
    record.revision = parse_revision(response.body);
    run.recorded.add(record);
    return record.revision;
}

// Sets the class `chat` at `node` if the configuration still has revision
// `expected_revision`, and records the outcome.
void put_class(
    fault_run& run, unsigned node, std::uint64_t expected_revision, int index)
{
    operation record;
    record.kind = operation_kind::put;
    record.expected_revision = expected_revision;
    record.start_seconds = run.elapsed_seconds();
    const auto response = run.system.send_admin_request(
        node,
        "PUT",
        "/v1/config/classes/chat",
        json{{"first_token_ms", 1000 + index}}.dump(),
        {{"If-Match", std::to_string(expected_revision)},
         {"Idempotency-Key",
          std::to_string(index) + "-" + std::to_string(expected_revision)}});
    record.end_seconds = run.elapsed_seconds();
    record.outcome = put_outcome(response);
    if (record.outcome == operation_outcome::done)
        record.revision = parse_revision(response.body);
    run.recorded.add(record);
}

// Reads and updates the configuration at random nodes until the run ends.
void run_operator(fault_run& run, unsigned index)
{
    std::mt19937 random(run.seed * 100 + index);
    for (int count = 0; !run.stopping; ++count)
    {
        const std::uint64_t revision =
            read_revision(run, random() % node_count);
        if (revision > 0)
            put_class(
                run,
                random() % node_count,
                revision,
                static_cast<int>(index) * 10'000 + count);
        sleep_milliseconds(20 + random() % 60);
    }
}

// Polls the revision that each node has in force until the run ends.
void poll_revisions_in_force(fault_run& run)
{
    while (!run.stopping)
    {
        for (unsigned node = 0; node < node_count; ++node)
        {
            operation record;
            record.kind = operation_kind::in_force;
            record.subject = std::to_string(node);
            record.start_seconds = run.elapsed_seconds();
            const auto response =
                run.system.send_admin_request(node, "GET", "/v1/status");
            record.end_seconds = run.elapsed_seconds();
            if (response.status != 200 || !response.complete)
                continue;
            const json status = json::parse(response.body, nullptr, false);
            // A node that has not caught up is not ready and serves no
            // requests, so its revision is not recorded.
            if (!status.value("ready", false))
                continue;
            record.outcome = operation_outcome::done;
            record.revision = status.value("revision", std::uint64_t{0});
            run.recorded.add(record);
        }
        sleep_milliseconds(50);
    }
}

// Sends one order to random entries until it succeeds at the second or a later
// send, at most `max_sends_per_order` times.
void send_order_until_confirmed(
    fault_run& run, const std::string& order_key, std::mt19937& random)
{
    for (unsigned send_count = 0; send_count < max_sends_per_order;
         ++send_count)
    {
        client_request request;
        request.address = run.system.entry(random() % node_count);
        request.method = "POST";
        request.path = "/v1/services/order-desk/orders";
        request.key = cluster::key;
        request.body = json{{"order", order_key}}.dump();
        request.headers["Idempotency-Key"] = order_key;
        request.seconds = 4;
        operation record;
        record.kind = operation_kind::order;
        record.subject = order_key;
        record.start_seconds = run.elapsed_seconds();
        const auto response = send_request(request);
        record.end_seconds = run.elapsed_seconds();
        record.response_body = response.body;
        record.outcome = order_outcome(response);
        run.recorded.add(record);
        if (record.outcome == operation_outcome::done && send_count > 0)
            return;
        sleep_milliseconds(random() % 300);
    }
}

// Two clients send each order at the same time, and each sends it again after
// a success. The desk takes 100 ms for an order, so that faults and repeated
// sends meet it in flight.
void run_order_client(fault_run& run, unsigned index)
{
    std::mt19937 random(run.seed * 1000 + index);
    for (unsigned count = 0; !run.stopping; ++count)
    {
        const std::string order_key =
            "key-" + std::to_string(index / 2) + "-" + std::to_string(count);
        send_order_until_confirmed(run, order_key, random);
        sleep_milliseconds(random() % 40);
    }
}

void kill_and_restart(fault_run& run, unsigned node, unsigned milliseconds)
{
    run.system.node(node).kill();
    sleep_milliseconds(milliseconds);
    run.system.start_node(node);
}

void freeze(fault_run& run, unsigned node, unsigned milliseconds)
{
    run.system.node(node).send(SIGSTOP);
    sleep_milliseconds(milliseconds);
    run.system.node(node).send(SIGCONT);
}

void isolate_and_rejoin(fault_run& run, unsigned node, unsigned milliseconds)
{
    run.system.isolate(node);
    sleep_milliseconds(milliseconds);
    run.system.rejoin(node);
}

void inject_faults(fault_run& run)
{
    std::mt19937 random(run.seed);
    for (unsigned i = 0; i < fault_count; ++i)
    {
        const unsigned node = random() % node_count;
        const unsigned duration_ms = 300 + random() % 2200;
        switch (random() % 3)
        {
        case 0:
            kill_and_restart(run, node, duration_ms);
            break;
        case 1:
            freeze(run, node, duration_ms);
            break;
        default:
            isolate_and_rejoin(run, node, duration_ms);
        }
        sleep_milliseconds(500 + random() % 1000);
    }
}

// Runs clients and operators under the faults of `seed` and returns the
// history.
history run_with_faults(unsigned seed)
{
    fault_run run(seed);
    run.system.start_desk("desk-1", {"--domain=suva", "--delay-ms=100"});
    run.system.start_desk("desk-2", {"--domain=nadi", "--delay-ms=100"});
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < operator_count; ++i)
        threads.emplace_back([&run, i] { run_operator(run, i); });
    for (unsigned i = 0; i < order_client_count; ++i)
        threads.emplace_back([&run, i] { run_order_client(run, i); });
    threads.emplace_back([&run] { poll_revisions_in_force(run); });
    inject_faults(run);
    sleep_milliseconds(2000);
    run.stopping = true;
    for (std::thread& thread : threads)
        thread.join();
    history recorded_history = run.recorded.take_history();
    for (const std::string& line : run.system.executed_orders())
    {
        const std::size_t from = line.find(' ') + 1;
        recorded_history.executed_orders.push_back(
            line.substr(from, line.find(' ', from) - from));
    }
    return recorded_history;
}

std::size_t count_completed(const history& run, operation_kind kind)
{
    std::size_t count = 0;
    for (const operation& candidate : run.operations)
        if (candidate.kind == kind &&
            candidate.outcome == operation_outcome::done)
            ++count;
    return count;
}

} // namespace

TEST_CASE(
    "configuration is linearizable and orders run at most once under faults")
{
    const char* seed_text = std::getenv("BERGAMOTUSHER_SEED");
    const unsigned seed = seed_text != nullptr
                              ? static_cast<unsigned>(std::atoi(seed_text))
                              : GENERATE(1U, 2U, 3U);
    INFO("seed " << seed);
    const history run = run_with_faults(seed);
    if (const char* file = std::getenv("BERGAMOTUSHER_HISTORY"))
        write_history(run, file);
    for (const std::string& violation : check_configuration(run))
        FAIL_CHECK(violation);
    for (const std::string& violation : check_in_force(run))
        FAIL_CHECK(violation);
    for (const std::string& violation : check_orders(run))
        FAIL_CHECK(violation);
    CHECK(count_completed(run, operation_kind::put) > 20);
    CHECK(count_completed(run, operation_kind::order) > 50);
}
