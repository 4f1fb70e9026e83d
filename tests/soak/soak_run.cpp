#include "soak/soak_run.hpp"

#include "soak/fake_cloud_api.hpp"
#include "soak/fault_schedule.hpp"
#include "soak/http.hpp"
#include "soak/run_history.hpp"
#include "soak/test_cluster.hpp"
#include "soak/upstream_set.hpp"

#include <nlohmann/json.hpp>

#include <atomic>
#include <csignal>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <thread>

namespace soak
{

namespace http = boost::beast::http;
using nlohmann::json;
using std::chrono::milliseconds;

namespace
{

constexpr unsigned caller_count = 16;
constexpr int request_timeout_ms = 2500;
/// Bound given by the settings: a configuration must be in effect on all nodes
/// this long after its acknowledgement.
constexpr auto max_propagation_time = milliseconds(2000);
/// Guarantees with a time bound apply only to nodes without faults for this
/// long.
constexpr auto recovery_time = milliseconds(8000);

/// The cluster under test with everything around it that a run simulates.
struct soak_fixture
{
    explicit soak_fixture(const run_options& given)
        : options(given)
        , cloud_api(address_plan(given.seed, {}).cloud_api(), history)
        , cluster(given.seed, given.folder)
        , upstreams(cluster, history, given.seed)
    {
    }

    run_options options;
    run_history history;
    fake_cloud_api cloud_api;
    test_cluster cluster;
    upstream_set upstreams;
    std::atomic<bool> stopping{false};
    std::atomic<std::uint64_t> next_attempt{1};

    // State of the configuration, shared by the thread that replaces it and the
    // thread that reads it back; guarded by `mutex`.
    std::mutex mutex;
    std::uint64_t sent_version = 0;
    std::uint64_t acknowledged_version = 0;
    time_point acknowledged_at;
};

/// Sends a configuration repeatedly until it is acknowledged. Returns the time
/// of the acknowledgement, or nothing if the run ends first.
std::optional<time_point> replace_configuration(
    soak_fixture& fixture,
    std::uint64_t version,
    const std::vector<std::string>& revoked,
    std::mt19937& random)
{
    const std::string body = make_configuration(version, revoked);
    {
        const std::lock_guard<std::mutex> lock(fixture.mutex);
        fixture.sent_version = version;
    }
    while (true)
    {
        const reply answer = send_once(
            fixture.cluster.control_address(
                random() % fixture.cluster.shape.control_nodes),
            "POST",
            "/Config.Replace",
            body);
        if (answer.status == 200 && answer.complete)
            break;
        if (fixture.stopping)
            return std::nullopt;
        if (answer.status >= 400 && answer.status < 500)
            fixture.history.record_violation(
                "configuration " + std::to_string(version) +
                " was rejected with status " + std::to_string(answer.status));
        sleep_ms(60);
    }
    const time_point now = clock_type::now();
    const std::lock_guard<std::mutex> lock(fixture.mutex);
    fixture.acknowledged_version = version;
    fixture.acknowledged_at = now;
    return now;
}

void run_operator(soak_fixture& fixture)
{
    std::mt19937 random(fixture.options.seed * 7 + 1);
    std::vector<std::string> keys = initial_api_keys();
    std::vector<std::string> revoked;
    std::uint64_t version = fixture.acknowledged_version;
    while (!fixture.stopping)
    {
        sleep_ms(300 + static_cast<int>(random() % 1200));
        version += 1 + random() % 3;
        std::string key;
        if (keys.size() > 4 && random() % 3 == 0)
        {
            key = keys.back();
            keys.pop_back();
            revoked.push_back(key);
            fixture.history.record_revocation_sent(key);
        }
        const auto acknowledged_at =
            replace_configuration(fixture, version, revoked, random);
        if (acknowledged_at && !key.empty())
            fixture.history.record_revocation_acknowledged(
                key, *acknowledged_at);
    }
}

/// Reads the configuration's version from one control node; nothing if there
/// was no complete, valid response.
std::optional<std::uint64_t> read_version(soak_fixture& fixture, unsigned node)
{
    const reply answer = send_once(
        fixture.cluster.control_address(node), "GET", "/Config.Get", "");
    if (answer.status != 200 || !answer.complete)
        return std::nullopt;
    const json value = json::parse(answer.response.body(), nullptr, false);
    if (!value.is_object())
        return std::nullopt;
    return value.value("version", std::uint64_t{0});
}

void run_configuration_reader(soak_fixture& fixture)
{
    std::mt19937 random(fixture.options.seed * 7 + 2);
    while (!fixture.stopping)
    {
        sleep_ms(150);
        std::uint64_t min_version = 0;
        {
            const std::lock_guard<std::mutex> lock(fixture.mutex);
            if (clock_type::now() - fixture.acknowledged_at >
                max_propagation_time)
                min_version = fixture.acknowledged_version;
        }
        const auto read = read_version(
            fixture, random() % fixture.cluster.shape.control_nodes);
        if (read && *read < min_version)
            fixture.history.record_violation(
                "read configuration " + std::to_string(*read) + " although " +
                std::to_string(min_version) + " had been acknowledged");
    }
}

std::vector<std::string>
resolve_frontends(soak_fixture& fixture, std::mt19937& random)
{
    const reply answer = send_once(
        fixture.cluster.control_address(
            random() % fixture.cluster.shape.control_nodes),
        "GET",
        "/resolve?name=soak.example&zone=east",
        "");
    std::vector<std::string> frontends;
    if (answer.status != 200 || !answer.complete)
        return frontends;
    const json value = json::parse(answer.response.body(), nullptr, false);
    if (value.is_object())
        for (const json& each : value.value("addresses", json::array()))
            frontends.push_back(
                fixture.cluster.plan.advertised_for(each.get<std::string>()));
    return frontends;
}

http_request make_request(
    request_kind kind, const std::string& attempt, const std::string& key)
{
    http_request request;
    request.version(11);
    request.method_string(request_method(kind));
    request.target(request_path(kind));
    request.set(http::field::host, "soak.example");
    request.set("Bergamotusher-Attempt-Id", attempt);
    request.set(
        "Bergamotusher-Deadline-Ms", std::to_string(request_timeout_ms));
    request.set(http::field::authorization, "Bearer " + key);
    request.body() = request_body(kind, attempt);
    request.prepare_payload();
    return request;
}

/// Sends random requests until the run ends. Each connection to an entry is
/// reused until the entry closes it.
void run_caller(soak_fixture& fixture, unsigned caller_index)
{
    std::mt19937 random(fixture.options.seed * 1000 + caller_index);
    std::map<std::string, std::unique_ptr<persistent_connection>> connections;
    std::vector<std::string> frontends;
    const std::vector<std::string> keys = initial_api_keys();
    time_point resolve_at;
    while (!fixture.stopping)
    {
        sleep_ms(static_cast<int>(random() % 60));
        if (frontends.empty() || clock_type::now() >= resolve_at)
        {
            const auto resolved = resolve_frontends(fixture, random);
            if (!resolved.empty())
                frontends = resolved;
            resolve_at = clock_type::now() + std::chrono::seconds(2);
        }
        if (frontends.empty())
            continue;
        const std::string frontend = frontends[random() % frontends.size()];
        auto& connection = connections[frontend];
        if (!connection || !connection->is_open())
            connection = std::make_unique<persistent_connection>(frontend);
        request_record record;
        record.kind = static_cast<request_kind>(random() % 3);
        record.key = keys[random() % keys.size()];
        record.sent_at = clock_type::now();
        const std::string attempt =
            "a" + std::to_string(fixture.next_attempt.fetch_add(1));
        fixture.history.record_request(attempt, record);
        const reply answer = connection->send(
            make_request(record.kind, attempt, record.key),
            request_timeout_ms / 1000.0 + 1);
        record.status = answer.status;
        record.complete = answer.complete;
        record.has_server_seal =
            !answer.response["Bergamotusher-Server-Seal"].empty();
        record.body = answer.response.body();
        fixture.history.record_request(attempt, record);
    }
}

class fault_injector
{
public:
    explicit fault_injector(soak_fixture& fixture)
        : fixture_(fixture), random_(fixture.options.seed)
    {
    }

    void inject_random_fault()
    {
        switch (random_() % 10)
        {
        case 0:
        case 1:
            return kill(random_node());
        case 2:
            return freeze(random_node());
        case 3:
            return stop(random_node());
        case 4:
            return disturb_link(
                "message port of a node",
                fixture_.cluster.message_link(random_node()));
        case 5:
            return disturb_link(
                "service port of a node",
                fixture_.cluster.service_link(random_node()));
        case 6:
        case 7:
        {
            const unsigned upstream_index = random_() % upstream_count;
            return disturb_link(
                "link to upstream " + std::to_string(upstream_index),
                fixture_.upstreams.link_to(upstream_index));
        }
        case 8:
            return crash_upstream();
        default:
            return random_() % 3 == 0 ? kill_control_nodes() : lose_disk();
        }
    }

    void end_due_faults(time_point now)
    {
        schedule_.run_due(now);
    }

    void end_all_faults()
    {
        schedule_.run_all();
    }

    std::vector<std::string> log;

private:
    unsigned random_node()
    {
        return random_() % node_count(fixture_.cluster.shape);
    }

    milliseconds random_duration(int min_ms, int max_ms)
    {
        return draw_duration(random_, min_ms, max_ms);
    }

    void log_fault(const std::string& description)
    {
        log.push_back(description);
    }

    void schedule_end(milliseconds delay, std::function<void()> end)
    {
        schedule_.add(clock_type::now() + delay, std::move(end));
    }

    /// Marks a node as disturbed. Returns false if it already was, so that
    /// process faults of one node don't overlap.
    bool reserve_node(unsigned node)
    {
        if (disturbed_[node])
            return false;
        disturbed_[node] = true;
        return true;
    }

    void kill(unsigned node)
    {
        if (!reserve_node(node))
            return;
        log_fault("kill node (SIGKILL) " + std::to_string(node));
        fixture_.cluster.process(node).kill();
        schedule_end(
            random_duration(50, 2000),
            [this, node]
            {
                fixture_.cluster.start(node);
                disturbed_[node] = false;
            });
    }

    void freeze(unsigned node)
    {
        if (!reserve_node(node))
            return;
        log_fault("freeze node (SIGSTOP) " + std::to_string(node));
        fixture_.cluster.process(node).send(SIGSTOP);
        schedule_end(
            random_duration(200, 4000),
            [this, node]
            {
                fixture_.cluster.process(node).send(SIGCONT);
                disturbed_[node] = false;
            });
    }

    void stop(unsigned node)
    {
        if (!reserve_node(node))
            return;
        log_fault("stop node (SIGTERM) " + std::to_string(node));
        fixture_.cluster.process(node).send(SIGTERM);
        const time_point kill_at =
            clock_type::now() + milliseconds(shutdown_grace_s * 1000);
        schedule_end(
            milliseconds(shutdown_grace_s * 1000),
            [this, node, kill_at]
            {
                // `end_all_faults` may call this before the grace period is
                // over.
                std::this_thread::sleep_until(kill_at);
                if (fixture_.cluster.process(node).running())
                    fixture_.history.record_violation(
                        "node " + std::to_string(node) +
                        " still runs after the shutdown grace period");
                fixture_.cluster.start(node);
                disturbed_[node] = false;
            });
    }

    void disturb_link(const std::string& link_name, link& target)
    {
        switch (random_() % 5)
        {
        case 0:
            log_fault("reset " + link_name);
            return target.reset();
        case 1:
            log_fault("silence open connections of " + link_name);
            return target.silence();
        case 2:
            log_fault("delay " + link_name);
            target.slow_down(random_duration(5, 400));
            break;
        case 3:
            log_fault("cut one direction of " + link_name);
            target.cut_one_way(random_() % 2 == 0);
            break;
        default:
            log_fault("cut " + link_name);
            target.cut();
        }
        schedule_end(random_duration(200, 4000), [&target] { target.mend(); });
    }

    void crash_upstream()
    {
        const unsigned upstream_index = random_() % upstream_count;
        log_fault("crash upstream " + std::to_string(upstream_index));
        fixture_.upstreams.crash(upstream_index);
        schedule_end(
            random_duration(300, 2500),
            [this, upstream_index]
            { fixture_.upstreams.restart(upstream_index); });
    }

    void kill_control_nodes()
    {
        log_fault("kill all control nodes");
        for (const unsigned i : fixture_.cluster.control_nodes())
            if (reserve_node(i))
            {
                fixture_.cluster.process(i).kill();
                schedule_end(
                    random_duration(100, 900),
                    [this, i]
                    {
                        fixture_.cluster.start(i);
                        disturbed_[i] = false;
                    });
            }
    }

    /// Only one disk may be lost at a time, and the next one only after the
    /// node that lost its data has caught up.
    void lose_disk()
    {
        const time_point now = clock_type::now();
        const unsigned node = random_() % fixture_.cluster.shape.control_nodes;
        if (now < next_disk_loss_at_ || !reserve_node(node))
            return;
        next_disk_loss_at_ = now + std::chrono::seconds(8);
        log_fault("delete the data of node " + std::to_string(node));
        fixture_.cluster.restart_with_empty_disk(node);
        schedule_end(
            milliseconds(4000), [this, node] { disturbed_[node] = false; });
    }

    soak_fixture& fixture_;
    std::mt19937 random_;
    std::map<unsigned, bool> disturbed_;
    fault_schedule schedule_;
    time_point next_disk_loss_at_;
};

/// Checks that, after all faults have ended, the entries become ready, a drain
/// is acknowledged, and requests succeed again.
void check_recovery(soak_fixture& fixture)
{
    if (!wait_until(
            [&] { return fixture.cluster.all_entries_ready(); },
            std::chrono::seconds(15)))
        fixture.history.record_violation(
            "an entry is not ready 15 s after the last fault ended");
    std::this_thread::sleep_for(recovery_time);
    const time_point from = clock_type::now();
    if (!fixture.upstreams.drain(0, from + std::chrono::seconds(4)))
        fixture.history.record_violation(
            "upstream drain was not acknowledged within 4 s after recovery");
    std::this_thread::sleep_for(2 * max_drain_time);
    // Wait for the responses to the last requests before `until`.
    const time_point until = clock_type::now();
    sleep_ms(request_timeout_ms);
    const auto [sent, served] = fixture.history.count_served(from, until);
    // Not 100 %: a request sent on an idle connection that the entry is just
    // closing gets no response.
    constexpr double min_served_fraction = 0.95;
    if (sent < 20 || static_cast<double>(served) < min_served_fraction * sent)
        fixture.history.record_violation(
            "after recovery, " + std::to_string(served) + " of " +
            std::to_string(sent) + " requests succeeded");
}

void check_final_configuration(soak_fixture& fixture)
{
    std::this_thread::sleep_for(max_propagation_time);
    std::uint64_t newest = 0;
    const bool read = wait_until(
        [&]
        {
            const auto version = read_version(fixture, 0);
            newest = version.value_or(0);
            return version.has_value();
        },
        std::chrono::seconds(10));
    const std::lock_guard<std::mutex> lock(fixture.mutex);
    if (!read || newest < fixture.acknowledged_version ||
        newest > fixture.sent_version)
        fixture.history.record_violation(
            "read configuration " + std::to_string(newest) +
            " at the end of the run; last acknowledged: " +
            std::to_string(fixture.acknowledged_version));
}

} // namespace

run_result run_soak(const run_options& options)
{
    soak_fixture fixture(options);
    std::mt19937 random(options.seed);
    if (!replace_configuration(fixture, 1, {}, random))
        fixture.history.record_violation(
            "the first configuration was not acknowledged");
    run_result result;
    if (!wait_until(
            [&] { return fixture.cluster.all_entries_ready(); },
            std::chrono::seconds(15)))
        fixture.history.record_violation(
            "an entry is not ready 15 s after the start");
    std::vector<std::thread> threads;
    threads.emplace_back([&fixture] { run_operator(fixture); });
    threads.emplace_back([&fixture] { run_configuration_reader(fixture); });
    for (unsigned i = 0; i < caller_count; ++i)
        threads.emplace_back([&fixture, i] { run_caller(fixture, i); });
    fault_injector injector(fixture);
    const time_point deadline =
        clock_type::now() +
        milliseconds(static_cast<int>(options.fault_seconds * 1000));
    while (clock_type::now() < deadline)
    {
        injector.inject_random_fault();
        const time_point next =
            clock_type::now() + milliseconds(100 + random() % 700);
        while (clock_type::now() < next)
        {
            sleep_ms(10);
            injector.end_due_faults(clock_type::now());
        }
    }
    injector.end_all_faults();
    check_recovery(fixture);
    fixture.stopping = true;
    for (std::thread& each : threads)
        each.join();
    check_final_configuration(fixture);
    result.violations = fixture.history.violations();
    result.faults = injector.log;
    result.executions = fixture.history.execution_count();
    return result;
}

} // namespace soak
