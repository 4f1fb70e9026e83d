// Concurrent callers and operators while daemons are killed, frozen and cut
// off: the history of the run is written down and checked.
//
// The seed picks the faults; BERGAMOTUSHER_SEED replays one, and
// BERGAMOTUSHER_HISTORY names a file for the history.
#include "harness/cluster.hpp"
#include "harness/history.hpp"

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

constexpr unsigned nodes = 4;
constexpr unsigned operators = 3;
constexpr unsigned order_callers = 8;
constexpr unsigned faults = 8;
constexpr unsigned sendings = 4;

using clock_type = std::chrono::steady_clock;

// A run under way.
struct run_state
{
    explicit run_state(unsigned number)
        : seed(number), system(nodes, true), begun(clock_type::now())
    {
    }

    double now() const
    {
        return std::chrono::duration<double>(clock_type::now() - begun).count();
    }

    unsigned seed;
    cluster system;
    clock_type::time_point begun;
    recorder notes;
    std::atomic<bool> ending{false};
};

void pause(unsigned milliseconds)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

std::uint64_t revision_of(const std::string& body)
{
    const json value = json::parse(body, nullptr, false);
    return value.is_object() ? value.value("revision", std::uint64_t{0}) : 0;
}

// Reads the configuration at `node` and notes it; 0 if it was not answered.
std::uint64_t read_revision(run_state& run, unsigned node)
{
    operation one;
    one.kind = operation_kind::read;
    one.called = run.now();
    const auto answer = run.system.operate(node, "GET", "/v1/config/classes");
    one.answered = run.now();
    if (answer.status != 200)
        return 0;
    one.outcome = operation_outcome::done;
    one.revision = revision_of(answer.body);
    run.notes.add(one);
    return one.revision;
}

void put_class(
    run_state& run, unsigned node, std::uint64_t expected, int number)
{
    operation one;
    one.kind = operation_kind::put;
    one.expected = expected;
    one.called = run.now();
    const auto answer = run.system.operate(
        node,
        "PUT",
        "/v1/config/classes/chat",
        json{{"first_token_ms", 1000 + number}}.dump(),
        {{"If-Match", std::to_string(expected)},
         {"Idempotency-Key",
          std::to_string(number) + "-" + std::to_string(expected)}});
    one.answered = run.now();
    if (answer.status == 200)
    {
        one.outcome = operation_outcome::done;
        one.revision = revision_of(answer.body);
    }
    else if (answer.status == 412)
        one.outcome = operation_outcome::refused;
    run.notes.add(one);
}

void operate(run_state& run, unsigned number)
{
    std::mt19937 random(run.seed * 100 + number);
    for (int count = 0; !run.ending; ++count)
    {
        const std::uint64_t revision = read_revision(run, random() % nodes);
        if (revision > 0)
            put_class(
                run,
                random() % nodes,
                revision,
                static_cast<int>(number) * 10'000 + count);
        pause(20 + random() % 60);
    }
}

void watch_in_force(run_state& run)
{
    while (!run.ending)
    {
        for (unsigned node = 0; node < nodes; ++node)
        {
            operation one;
            one.kind = operation_kind::in_force;
            one.name = std::to_string(node);
            one.called = run.now();
            const auto answer = run.system.operate(node, "GET", "/v1/status");
            one.answered = run.now();
            const json status = json::parse(answer.body, nullptr, false);
            // A process that has not caught up yet serves nobody.
            if (answer.status != 200 || !status.value("ready", false))
                continue;
            one.outcome = operation_outcome::done;
            one.revision = status.value("revision", std::uint64_t{0});
            run.notes.add(one);
        }
        pause(50);
    }
}

// Sends one order, again and elsewhere until it is answered.
void send_order(run_state& run, const std::string& key, std::mt19937& random)
{
    for (unsigned sending = 0; sending < sendings; ++sending)
    {
        caller_call what;
        what.address = run.system.entry(random() % nodes);
        what.method = "POST";
        what.path = "/v1/services/order-desk/orders";
        what.key = cluster::key;
        what.body = json{{"order", key}}.dump();
        what.headers["Idempotency-Key"] = key;
        what.seconds = 4;
        operation one;
        one.kind = operation_kind::order;
        one.name = key;
        one.called = run.now();
        const auto answer = call(what);
        one.answered = run.now();
        one.answer = answer.body;
        const json problem = json::parse(answer.body, nullptr, false);
        if (answer.status == 201)
            one.outcome = operation_outcome::done;
        else if (problem.is_object() && problem.value("run", "") == "not_run")
            one.outcome = operation_outcome::refused;
        run.notes.add(one);
        if (answer.status == 201 && sending > 0)
            return;
        pause(random() % 300);
    }
}

// Two callers send each order at the same time, and both again though it was
// answered: it takes a while at the desk, so that faults and resends find it
// in flight.
void order(run_state& run, unsigned number)
{
    std::mt19937 random(run.seed * 1000 + number);
    for (unsigned count = 0; !run.ending; ++count)
    {
        const std::string key =
            "key-" + std::to_string(number / 2) + "-" + std::to_string(count);
        send_order(run, key, random);
        pause(random() % 40);
    }
}

void kill_and_restart(run_state& run, unsigned node, unsigned milliseconds)
{
    run.system.node(node).kill();
    pause(milliseconds);
    run.system.start_node(node);
}

void freeze(run_state& run, unsigned node, unsigned milliseconds)
{
    run.system.node(node).send(SIGSTOP);
    pause(milliseconds);
    run.system.node(node).send(SIGCONT);
}

void cut_off(run_state& run, unsigned node, unsigned milliseconds)
{
    run.system.isolate(node);
    pause(milliseconds);
    run.system.rejoin(node);
}

void make_faults(run_state& run)
{
    std::mt19937 random(run.seed);
    for (unsigned i = 0; i < faults; ++i)
    {
        const unsigned node = random() % nodes;
        const unsigned long_for = 300 + random() % 2200;
        switch (random() % 3)
        {
        case 0:
            kill_and_restart(run, node, long_for);
            break;
        case 1:
            freeze(run, node, long_for);
            break;
        default:
            cut_off(run, node, long_for);
        }
        pause(500 + random() % 1000);
    }
}

history make_run(unsigned seed)
{
    run_state run(seed);
    run.system.start_desk("desk-1", {"--domain=suva", "--delay-ms=100"});
    run.system.start_desk("desk-2", {"--domain=nadi", "--delay-ms=100"});
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < operators; ++i)
        threads.emplace_back([&run, i] { operate(run, i); });
    for (unsigned i = 0; i < order_callers; ++i)
        threads.emplace_back([&run, i] { order(run, i); });
    threads.emplace_back([&run] { watch_in_force(run); });
    make_faults(run);
    pause(2000);
    run.ending = true;
    for (std::thread& one : threads)
        one.join();
    history whole = run.notes.take();
    for (const std::string& line : run.system.orders())
    {
        const std::size_t from = line.find(' ') + 1;
        whole.runs.push_back(line.substr(from, line.find(' ', from) - from));
    }
    return whole;
}

std::size_t count_done(const history& run, operation_kind kind)
{
    std::size_t count = 0;
    for (const operation& one : run.operations)
        if (one.kind == kind && one.outcome == operation_outcome::done)
            ++count;
    return count;
}

} // namespace

TEST_CASE("histories under faults keep what must always hold")
{
    const char* given = std::getenv("BERGAMOTUSHER_SEED");
    const unsigned seed = given != nullptr
                              ? static_cast<unsigned>(std::atoi(given))
                              : GENERATE(1U, 2U, 3U);
    INFO("seed " << seed);
    const history run = make_run(seed);
    if (const char* file = std::getenv("BERGAMOTUSHER_HISTORY"))
        write(run, file);
    for (const std::string& wrong : check_configuration(run))
        FAIL_CHECK(wrong);
    for (const std::string& wrong : check_in_force(run))
        FAIL_CHECK(wrong);
    for (const std::string& wrong : check_orders(run))
        FAIL_CHECK(wrong);
    CHECK(count_done(run, operation_kind::put) > 20);
    CHECK(count_done(run, operation_kind::order) > 50);
}
