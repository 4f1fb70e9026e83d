#include "soak/configuration_run.hpp"

#include "soak/configuration_faults.hpp"
#include "soak/configuration_history.hpp"
#include "soak/fake_cloud_api.hpp"
#include "soak/fault_schedule.hpp"
#include "soak/upstream_set.hpp"

#include <atomic>
#include <functional>
#include <future>
#include <optional>
#include <thread>

namespace soak
{

namespace http = boost::beast::http;
using std::chrono::milliseconds;

namespace
{

constexpr cluster_shape shape_of_run{5, 4, 3, true};
constexpr unsigned probers_per_entry = 2;
constexpr int probe_timeout_ms = 3500;
/// Time from a burst of faults to the next one, in which bounds are judged.
constexpr int min_calm_ms = 3500;
constexpr int max_calm_ms = 8500;
/// Time without faults at the end, in which steady state is judged.
constexpr int final_calm_ms = 12000;
constexpr auto read_timeout = milliseconds(1500);

struct configuration_fixture
{
    explicit configuration_fixture(const run_options& given)
        : options(given)
        , started_at(clock_type::now())
        , contacts(shape_of_run.control_nodes)
        , history(contacts, started_at)
        , cloud_api(
              address_plan(given.seed, shape_of_run).cloud_api(), other_history)
        , cluster(given.seed, given.folder, shape_of_run)
        , upstreams(
              cluster,
              other_history,
              given.seed,
              [this](const execution_record& execution)
              {
                  ++executions;
                  history.record_execution(
                      execution.attempt,
                      execution.service,
                      execution.started_at);
              })
        , newest(first_configuration())
    {
        for (const unsigned entry : cluster.entries())
            contacts.record_start(entry, started_at);
    }

    run_options options;
    time_point started_at;
    contact_log contacts;
    configuration_history history;
    run_history other_history;
    std::atomic<std::size_t> executions{0};
    fake_cloud_api cloud_api;
    test_cluster cluster;
    upstream_set upstreams;
    std::atomic<bool> stopping{false};
    /// Operators send only when this is set, so that a run has quiet spans.
    std::atomic<bool> storm{false};
    std::atomic<std::uint64_t> next_attempt{1};

    // The newest configuration drawn by any operator.
    std::mutex mutex;
    configuration_spec newest;
};

reply call_control_node(
    configuration_fixture& fixture,
    std::mt19937& random,
    const std::string& body,
    double timeout_seconds)
{
    const std::vector<unsigned> nodes = fixture.cluster.control_nodes();
    return send_once(
        fixture.cluster.control_address(nodes[random() % nodes.size()]),
        "POST",
        "/Config.Replace",
        body,
        timeout_seconds);
}

bool is_rejection(const reply& answer)
{
    return answer.status >= 400 && answer.status < 500 &&
           answer.status != 408 && answer.status != 429;
}

/// Sends a change to one control node after another until it is acknowledged or
/// rejected, or the run ends. Some answers are not waited for.
bool send_change(
    configuration_fixture& fixture,
    std::size_t number,
    const std::string& body,
    std::mt19937& random)
{
    int backoff_ms = 30;
    while (!fixture.stopping)
    {
        const bool loses_answer = random() % 5 == 0;
        const reply answer = call_control_node(
            fixture,
            random,
            body,
            loses_answer ? 0.005 + static_cast<double>(random() % 40) / 1000
                         : 1.0);
        if (answer.status == 200 && answer.complete)
        {
            fixture.history.record_acknowledged(number, clock_type::now());
            return true;
        }
        if (is_rejection(answer))
        {
            fixture.history.record_rejected(number, clock_type::now());
            return false;
        }
        sleep_ms(backoff_ms);
        backoff_ms = std::min(2 * backoff_ms, 500);
    }
    fixture.history.record_ended(number, clock_type::now());
    return false;
}

configuration_spec
draw_next(configuration_fixture& fixture, std::mt19937& random)
{
    const std::lock_guard lock(fixture.mutex);
    fixture.newest = draw_change(
        fixture.newest, fixture.newest.version + 1 + random() % 3, random);
    return fixture.newest;
}

/// Two operators send different content under one version to two nodes.
void race(configuration_fixture& fixture, std::mt19937& random)
{
    const configuration_spec first = draw_next(fixture, random);
    configuration_spec second = first;
    second.routes["/race/"] = "desk";
    std::vector<std::future<void>> operators;
    for (const configuration_spec& spec : {first, second})
        operators.push_back(std::async(
            std::launch::async,
            [&fixture, spec, seed = random()]
            {
                std::mt19937 own(static_cast<unsigned>(seed));
                const std::string body = to_json(spec);
                const std::size_t number = fixture.history.record_sent(
                    spec, body, true, clock_type::now());
                send_change(fixture, number, body, own);
            }));
}

/// Sends an invalid configuration, which must be rejected.
void send_invalid(configuration_fixture& fixture, std::mt19937& random)
{
    configuration_spec spec;
    {
        const std::lock_guard lock(fixture.mutex);
        spec = fixture.newest;
        spec.version = ++fixture.newest.version;
    }
    constexpr unsigned defects = 7;
    spec.defect = static_cast<configuration_defect>(1 + random() % defects);
    const std::string body = to_json(spec);
    const std::size_t number =
        fixture.history.record_sent(spec, body, false, clock_type::now());
    send_change(fixture, number, body, random);
}

/// Sends other content under the version that was just acknowledged. Whether
/// that is acknowledged is left open; it must never be obeyed.
void send_other_content(
    configuration_fixture& fixture,
    const configuration_spec& held,
    std::mt19937& random)
{
    configuration_spec other = held;
    other.routes[defective_prefix(held.version)] = "desk";
    call_control_node(fixture, random, to_json(other), 1.0);
}

void run_operator(configuration_fixture& fixture, unsigned index)
{
    std::mt19937 random(fixture.options.seed * 13 + index);
    while (!fixture.stopping)
    {
        sleep_ms(
            fixture.storm ? static_cast<int>(random() % 60)
                          : 200 + static_cast<int>(random() % 1500));
        if (random() % 8 == 0)
            send_invalid(fixture, random);
        else if (random() % 8 == 0)
            race(fixture, random);
        const configuration_spec spec = draw_next(fixture, random);
        const std::string body = to_json(spec);
        const std::size_t number =
            fixture.history.record_sent(spec, body, false, clock_type::now());
        if (!send_change(fixture, number, body, random))
            continue;
        if (random() % 4 == 0 &&
            is_rejection(call_control_node(fixture, random, body, 1.0)))
            fixture.history.record_repeat_rejected(number, clock_type::now());
        if (random() % 6 == 0)
            send_other_content(fixture, spec, random);
    }
}

std::string draw_prefix(configuration_fixture& fixture, std::mt19937& random)
{
    switch (random() % 8)
    {
    case 0:
        return slow_prefix;
    case 1:
        return stable_prefix;
    case 2:
        return random() % 3 == 0 ? missing_prefix : "/race/";
    case 3:
    {
        const std::lock_guard lock(fixture.mutex);
        return defective_prefix(fixture.newest.version - random() % 3);
    }
    default:
        return "/p" + std::to_string(random() % 16) + "/";
    }
}

std::string draw_key(std::mt19937& random)
{
    const std::vector<std::string> keys = initial_api_keys();
    if (random() % 3 != 0)
        return keys[random() % keys.size()];
    return std::string(random() % 2 == 0 ? "acme-" : "zeta-") +
           std::to_string(20 + random() % 12);
}

/// Sends probes to one entry on connections that are kept open.
void run_prober(configuration_fixture& fixture, unsigned entry, unsigned index)
{
    std::mt19937 random(fixture.options.seed * 101 + entry * 10 + index);
    std::unique_ptr<persistent_connection> connection;
    while (!fixture.stopping)
    {
        sleep_ms(static_cast<int>(random() % 50));
        if (!connection || !connection->is_open() || random() % 50 == 0)
            connection = std::make_unique<persistent_connection>(
                fixture.cluster.frontend_address(entry));
        probe_record probe;
        probe.entry = entry;
        probe.prefix = draw_prefix(fixture, random);
        probe.key = draw_key(random);
        const std::string attempt =
            "p" + std::to_string(fixture.next_attempt.fetch_add(1));
        http_request request;
        request.version(11);
        request.method(http::verb::get);
        request.target(probe.prefix + "one");
        request.set(http::field::host, "soak.example");
        request.set("Bergamotusher-Attempt-Id", attempt);
        request.set(
            "Bergamotusher-Deadline-Ms", std::to_string(probe_timeout_ms));
        request.set(http::field::authorization, "Bearer " + probe.key);
        probe.sent_at = clock_type::now();
        const reply answer =
            connection->send(request, probe_timeout_ms / 1000.0 + 1);
        probe.answered_at = clock_type::now();
        probe.status = answer.status;
        fixture.history.record_probe(attempt, probe);
    }
}

std::optional<std::string> read_configuration(
    configuration_fixture& fixture,
    unsigned node,
    std::chrono::duration<double> timeout = read_timeout)
{
    read_record read;
    read.node = node;
    read.sent_at = clock_type::now();
    const reply answer = send_once(
        fixture.cluster.control_address(node),
        "GET",
        "/Config.Get",
        "",
        timeout.count());
    if (answer.status != 200 || !answer.complete)
        return std::nullopt;
    read.answered_at = clock_type::now();
    read.body = answer.response.body();
    fixture.history.record_read(read);
    return read.body;
}

void run_reader(configuration_fixture& fixture)
{
    std::mt19937 random(fixture.options.seed * 7 + 3);
    while (!fixture.stopping)
    {
        sleep_ms(static_cast<int>(random() % 60));
        const std::vector<unsigned> nodes = fixture.cluster.control_nodes();
        read_configuration(fixture, nodes[random() % nodes.size()]);
    }
}

/// Reads the configuration from a control node until a read that was sent
/// `config_apply_time` after the start is answered; false if that takes longer
/// than `recovery_time`.
bool read_until_recovered(configuration_fixture& fixture, unsigned node)
{
    const time_point started_at = clock_type::now();
    const time_point deadline = started_at + recovery_time;
    while (true)
    {
        const time_point sent_at = clock_type::now();
        if (sent_at >= deadline)
            return false;
        const std::chrono::duration<double> timeout =
            std::min<clock_type::duration>(read_timeout, deadline - sent_at);
        if (read_configuration(fixture, node, timeout) &&
            sent_at > started_at + config_apply_time)
            return true;
        sleep_ms(100);
    }
}

/// Reads the configuration from every control node at the same time; each has
/// to return the newest one before `recovery_time` is over.
void read_finally(configuration_fixture& fixture)
{
    std::map<unsigned, std::future<bool>> reads;
    for (const unsigned node : fixture.cluster.control_nodes())
        reads[node] = std::async(
            std::launch::async,
            [&fixture, node] { return read_until_recovered(fixture, node); });
    for (auto& [node, recovered] : reads)
        if (!recovered.get())
            fixture.history.record_final_read_missing(node);
}

/// Sends the first configuration until it is acknowledged.
void send_first(configuration_fixture& fixture)
{
    std::mt19937 random(fixture.options.seed);
    const std::string body = to_json(fixture.newest);
    const std::size_t number = fixture.history.record_sent(
        fixture.newest, body, false, clock_type::now());
    send_change(fixture, number, body, random);
}

void run_bursts(
    configuration_fixture& fixture,
    configuration_faults& faults,
    std::mt19937& random)
{
    const auto wait = [&](int ms)
    {
        const time_point until = clock_type::now() + milliseconds(ms);
        while (clock_type::now() < until)
        {
            sleep_ms(10);
            faults.end_due_faults(clock_type::now());
        }
    };
    const time_point deadline =
        clock_type::now() +
        milliseconds(static_cast<int>(fixture.options.fault_seconds * 1000));
    while (clock_type::now() < deadline)
    {
        fixture.storm = random() % 3 == 0;
        for (unsigned left = 1 + random() % 4; left > 0; --left)
        {
            faults.inject_random_fault();
            wait(static_cast<int>(random() % 1200));
        }
        wait(
            min_calm_ms +
            static_cast<int>(random() % unsigned(max_calm_ms - min_calm_ms)));
    }
    fixture.storm = false;
    faults.end_all_faults();
}

/// Sends the first configuration and waits until the entries serve.
void begin_run(configuration_fixture& fixture, run_result& result)
{
    send_first(fixture);
    if (!wait_until(
            [&] { return fixture.cluster.all_entries_ready(); },
            std::chrono::seconds(15)))
        result.violations.emplace_back(
            "an entry is not ready 15 s after the start");
}

std::vector<std::thread> start_clients(configuration_fixture& fixture)
{
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < 2; ++i)
        threads.emplace_back([&fixture, i] { run_operator(fixture, i); });
    threads.emplace_back([&fixture] { run_reader(fixture); });
    for (const unsigned entry : fixture.cluster.entries())
        for (unsigned i = 0; i < probers_per_entry; ++i)
            threads.emplace_back([&fixture, entry, i]
                                 { run_prober(fixture, entry, i); });
    return threads;
}

void stop_clients(
    configuration_fixture& fixture, std::vector<std::thread>& clients)
{
    fixture.stopping = true;
    for (std::thread& each : clients)
        each.join();
}

void end_run(
    configuration_fixture& fixture,
    const configuration_faults& faults,
    run_result& result)
{
    for (const std::string& each : fixture.history.violations())
        result.violations.push_back(each);
    result.faults = faults.log;
    result.summary = fixture.history.summary();
    result.executions = fixture.executions;
}

/// Injects losses until `changes` were acknowledged, or the time is over.
void run_losses(
    configuration_fixture& fixture,
    configuration_faults& faults,
    std::mt19937& random,
    std::size_t changes)
{
    constexpr double fault_times = 3;
    const time_point deadline =
        clock_type::now() +
        milliseconds(static_cast<int>(
            fixture.options.fault_seconds * 1000 * fault_times));
    time_point next_loss_at =
        clock_type::now() + draw_duration(random, 500, 6000);
    while (fixture.history.acknowledged_changes() < changes &&
           clock_type::now() < deadline)
    {
        sleep_ms(10);
        faults.end_due_faults(clock_type::now());
        if (clock_type::now() < next_loss_at)
            continue;
        faults.inject_random_loss();
        next_loss_at = clock_type::now() + draw_duration(random, 200, 6000);
    }
    faults.end_all_faults();
}

} // namespace

run_result run_configuration_soak(const run_options& options)
{
    configuration_fixture fixture(options);
    run_result result;
    std::mt19937 random(options.seed * 3 + 1);
    begin_run(fixture, result);
    configuration_faults faults(
        fixture.cluster, fixture.contacts, options.seed, fixture.started_at);
    std::vector<std::thread> clients = start_clients(fixture);
    run_bursts(fixture, faults, random);
    sleep_ms(final_calm_ms);
    stop_clients(fixture, clients);
    if (random() % 2 == 0)
        faults.kill_everything(true);
    read_finally(fixture);
    end_run(fixture, faults, result);
    return result;
}

run_result run_long_history_soak(const run_options& options)
{
    configuration_fixture fixture(options);
    run_result result;
    std::mt19937 random(options.seed * 5 + 2);
    const auto quota = draw_duration(random, 15, 30);
    const bool is_limited = random() % 3 == 0;
    const std::size_t changes = 200 + random() % 250;
    fixture.newest.unprobed_routes = 100 + random() % 700;
    begin_run(fixture, result);
    configuration_faults faults(
        fixture.cluster, fixture.contacts, options.seed, fixture.started_at);
    if (is_limited)
        faults.limit_control_nodes(quota);
    fixture.storm = true;
    std::vector<std::thread> clients = start_clients(fixture);
    run_losses(fixture, faults, random, changes);
    if (!is_limited)
        faults.limit_control_nodes(quota);
    faults.kill_everything(random() % 2 == 0, draw_duration(random, 0, 2000));
    fixture.stopping = true;
    read_finally(fixture);
    stop_clients(fixture, clients);
    end_run(fixture, faults, result);
    result.summary +=
        ", of " + std::to_string(to_json(fixture.newest).size() / 1000) + " KB";
    return result;
}

} // namespace soak
