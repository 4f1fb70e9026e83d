// Measures how the start of control nodes depends on the number and size of the
// changes that they hold. Three nodes of a shared site, each a process of its
// own with real files and ZeroMQ on loopback, take the changes, are killed all
// at once and started again.
//
//   start_bench [CHANGES,... [KILOBYTES,...]]
//
// A node is this program with the argument --node.
#include "base/clock.hpp"
#include "control/local_cluster.hpp"
#include "harness/child.hpp"
#include "site/control_process.hpp"
#include "site_json.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

using namespace bergamotusher;
using nlohmann::json;

namespace
{

constexpr std::size_t node_count = 3;
constexpr std::size_t bytes_per_kb = 1000;
/// The share of a core for which the wall time of a start is estimated.
constexpr double estimated_core_share = 0.15;

double to_ms(duration value)
{
    return 1e3 * to_seconds(value);
}

/// A configuration of about `bytes` bytes without its beginning, which holds
/// the version.
std::string make_configuration_end(std::size_t bytes)
{
    constexpr std::size_t service_count = 8;
    json services = json::array();
    json tenants = json::array();
    for (std::size_t i = 0; i < service_count; ++i)
    {
        const std::string number = std::to_string(i);
        services.push_back(
            {{"name", "service" + number},
             {"healthPath", "/health"},
             {"maxConnections", 64},
             {"engine",
              {{"slots", 8}, {"kvCapacity", 100'000}, {"stride", 1}}}});
        tenants.push_back(
            {{"name", "tenant" + number},
             {"apiKeys", {"key-" + number}},
             {"ratePerS", 100},
             {"burst", 200}});
    }
    std::string text = ",\"services\":" + services.dump() +
                       ",\"tenants\":" + tenants.dump() + ",\"routes\":[";
    for (std::size_t i = 0; i == 0 || text.size() < bytes; ++i)
    {
        const std::string number = std::to_string(i);
        const json route{
            {"name", "route" + number},
            {"host", "host" + std::to_string(i % 16) + ".example"},
            {"pathPrefix", "/path" + number + "/"},
            {"type", i % 2 == 0 ? "safe" : "streaming"},
            {"service", "service" + std::to_string(i % service_count)},
            {"timeoutMs", 8000},
            {"targetLatencyMs", 1600},
            {"itlTargetMs", 49},
            {"priority", i % 5},
            {"maxAttempts", 3}};
        text += (i == 0 ? "" : ",") + route.dump();
    }
    return text + "]}";
}

std::string make_configuration(std::uint64_t version, const std::string& end)
{
    return "{\"version\":" + std::to_string(version) + end;
}

double peak_resident_mb()
{
    std::ifstream file("/proc/self/status");
    for (std::string word; file >> word;)
        if (word == "VmHWM:")
        {
            double kib = 0;
            file >> kib;
            return kib / 1024;
        }
    return 0;
}

/// What a node is told by its arguments.
struct node_task
{
    std::string folder;
    std::string self;
    std::vector<std::string> seeds;
    std::uint64_t changes = 0;
    std::size_t bytes = 0;
    /// This node makes the changes.
    bool writes = false;
    /// When the process was started, by the steady clock.
    time_point started_at;
};

/// The longest step of a thread.
struct longest_step
{
    std::mutex mutex;
    long_step value;

    void record(const long_step& step)
    {
        const std::lock_guard lock(mutex);
        if (step.processor_time > value.processor_time)
            value = step;
    }
    std::string work()
    {
        const std::lock_guard lock(mutex);
        return std::string(value.work) + " x" + std::to_string(value.count);
    }
};

/// A control node that reports once, as soon as it reads the newest version
/// confirmed.
class bench_node
{
public:
    explicit bench_node(node_task task)
        : task_(std::move(task))
        , log_("node", "control", {})
        , peers_(make_peers_duty(
              open_membership_options(parse_endpoint(task_.self).value(), {})))
        , service_(
              loop_, service_options(), platform::parse_configuration, log_)
        , timer_(loop_)
        , end_(make_configuration_end(task_.bytes))
    {
        site::control_settings settings;
        settings.peer_address = parse_endpoint(task_.self).value();
        for (const std::string& seed : task_.seeds)
            settings.seeds.push_back({seed});
        settings.data_dir = task_.folder;
        settings.may_found = true;
        control_options options = site::make_replica_options(settings);
        options.on_long_step = [this](const long_step& step)
        {
            longest_control_step_.record(step);
        };
        service_.steps().long_step_threshold = {};
        service_.steps().on_long_step = [this](const long_step& step)
        {
            longest_loop_step_.record(step);
        };
        control_ =
            make_control(options, service_.replicated_state_machine(), *peers_);
        service_.connect(*control_, *peers_);
    }

    void run()
    {
        const duration processor_before = thread_processor_time();
        if (const auto wrong = bergamotusher::start(*control_))
            throw std::runtime_error(wrong->detail);
        open_processor_time_ = thread_processor_time() - processor_before;
        if (const auto wrong = bergamotusher::start(*peers_))
            throw std::runtime_error(wrong->detail);
        service_.start();
        if (task_.writes)
            write_next();
        check();
        loop_.run();
    }

private:
    site::control_service_options service_options() const
    {
        site::control_service_options options;
        options.self = {task_.self};
        for (const std::string& seed : task_.seeds)
            options.seeds.push_back({seed});
        return options;
    }

    void write_next()
    {
        service_.replace(
            version_,
            make_configuration(version_, end_),
            [this](const std::optional<site::command_outcome>& outcome)
            {
                if (outcome && !outcome->wrong)
                    ++version_;
                else
                    ++failed_changes_;
                if (version_ <= task_.changes)
                    boost::asio::post(loop_, [this] { write_next(); });
            });
    }

    void check()
    {
        const auto site = service_.read();
        if (site && site->version == task_.changes)
        {
            report();
            return;
        }
        timer_.expires_after(5ms);
        timer_.async_wait(
            [this](const boost::system::error_code& error)
            {
                if (!error)
                    check();
            });
    }

    void report()
    {
        const control_status status = status_of(*control_);
        const json line{
            {"wall_ms", to_ms(local_cluster::now() - task_.started_at)},
            {"cpu_ms", to_ms(process_processor_time())},
            {"open_cpu_ms", to_ms(open_processor_time_)},
            {"open_entries", status.opened_entries},
            {"open_kb", status.opened_bytes / bytes_per_kb},
            {"peak_mb", peak_resident_mb()},
            {"log_entries", status.log_entries},
            {"log_kb", status.log_bytes / bytes_per_kb},
            {"snapshots", status.snapshots_taken},
            {"elections", status.elections},
            {"failed_changes", failed_changes_},
            {"control_step_ms",
             to_ms(duration(steps_of(*control_).longest_us.load()))},
            {"control_step", longest_control_step_.work()},
            {"loop_step_ms",
             to_ms(duration(service_.steps().longest_us.load()))},
            {"loop_step", longest_loop_step_.work()}};
        std::cout << line.dump() << std::endl;
    }

    node_task task_;
    boost::asio::io_context loop_{1};
    observe::decision_log log_;
    longest_step longest_control_step_;
    longest_step longest_loop_step_;
    peers_duty_ptr peers_;
    site::control_service service_;
    control_handle control_;
    boost::asio::steady_timer timer_;
    std::string end_;
    std::uint64_t version_ = 1;
    std::uint64_t failed_changes_ = 0;
    duration open_processor_time_{};
};

std::vector<std::string> split(const std::string& text)
{
    std::vector<std::string> items;
    std::istringstream stream(text);
    for (std::string item; std::getline(stream, item, ',');)
        items.push_back(item);
    return items;
}

std::vector<std::uint64_t> parse_numbers(const std::string& text)
{
    std::vector<std::uint64_t> numbers;
    for (const std::string& item : split(text))
        numbers.push_back(std::stoull(item));
    return numbers;
}

int run_node(const std::vector<std::string>& arguments)
{
    node_task task;
    task.folder = arguments.at(1);
    task.self = arguments.at(2);
    task.seeds = split(arguments.at(3));
    task.changes = std::stoull(arguments.at(4));
    task.bytes = std::stoull(arguments.at(5));
    task.writes = arguments.at(6) == "writes";
    task.started_at = time_point(duration(std::stoll(arguments.at(7))));
    bench_node node(std::move(task));
    node.run();
    return 0;
}

/// The report of a node in its output; nothing if there is none yet.
std::optional<json> read_report(const std::string& path)
{
    std::ifstream file(path);
    for (std::string line; std::getline(file, line);)
    {
        const json value = json::parse(line, nullptr, false);
        if (value.is_object() && value.contains("open_kb") && !file.eof())
            return value;
    }
    return std::nullopt;
}

/// Three control nodes, each a process.
class node_processes
{
public:
    node_processes(
        std::string program, std::uint64_t changes, std::size_t bytes)
        : program_(std::move(program)), changes_(changes), bytes_(bytes)
    {
        for (std::size_t i = 0; i < node_count; ++i)
            addresses_.push_back(local_cluster::free_address());
    }

    /// Starts all nodes, waits until each reports, and kills them at once.
    std::array<json, node_count> run(bool writes, duration limit)
    {
        const std::string phase = writes ? "changes" : "start";
        std::vector<tests::child> nodes;
        for (std::size_t i = 0; i < node_count; ++i)
            nodes.emplace_back(
                program_,
                std::vector<std::string>{
                    "--node",
                    folder(i),
                    addresses_[i],
                    addresses_[0] + ',' + addresses_[1] + ',' + addresses_[2],
                    std::to_string(changes_),
                    std::to_string(bytes_),
                    writes && i == 0 ? "writes" : "reads",
                    std::to_string(
                        local_cluster::now().time_since_epoch().count())},
                output(i, phase));
        std::array<json, node_count> reports;
        const time_point end = local_cluster::now() + limit;
        for (std::size_t i = 0; i < node_count; ++i)
            while (reports[i].is_null())
            {
                if (const auto report = read_report(output(i, phase)))
                    reports[i] = *report;
                else if (local_cluster::now() >= end)
                    throw std::runtime_error(
                        "node " + std::to_string(i) +
                        " did not read the newest version in time");
                else
                    std::this_thread::sleep_for(20ms);
            }
        for (tests::child& node : nodes)
            node.send(SIGKILL);
        return reports;
    }

    std::uint64_t bytes_on_disk(std::size_t node) const
    {
        std::uint64_t bytes = 0;
        for (const auto& file :
             std::filesystem::recursive_directory_iterator(folder(node)))
            if (file.is_regular_file())
                bytes += file.file_size();
        return bytes;
    }

private:
    std::string folder(std::size_t node) const
    {
        return folder_.path + "/n" + std::to_string(node);
    }
    std::string output(std::size_t node, const std::string& phase) const
    {
        return folder(node) + "." + phase + ".out";
    }

    std::string program_;
    std::uint64_t changes_ = 0;
    std::size_t bytes_ = 0;
    local_cluster::temporary_folder folder_;
    std::vector<std::string> addresses_;
};

double number(const json& report, const char* name)
{
    return report.at(name).get<double>();
}

std::string text(const json& report, const char* name)
{
    return report.at(name).get<std::string>();
}

void print_steps(const json& report)
{
    std::printf(
        " %.1f | %s | %.1f | %s |\n",
        number(report, "control_step_ms"),
        text(report, "control_step").c_str(),
        number(report, "loop_step_ms"),
        text(report, "loop_step").c_str());
}

/// Rows of one case for the two tables of histories.
void print_case(
    const std::string& program, std::uint64_t changes, std::uint64_t kb)
{
    constexpr duration start_limit = 120s;
    node_processes nodes(program, changes, kb * bytes_per_kb);
    const auto written =
        nodes.run(true, start_limit + static_cast<int>(changes) * 1s);
    std::array<std::uint64_t, node_count> disk{};
    for (std::size_t i = 0; i < node_count; ++i)
        disk[i] = nodes.bytes_on_disk(i);
    const auto started = nodes.run(false, start_limit);
    for (std::size_t i = 0; i < node_count; ++i)
    {
        const json& report = written[i];
        std::printf(
            "| changes | %llu | %llu | %zu | %.0f | %.2f | %.1f | %.1f | %.0f "
            "| %.0f | %.0f | %.0f | %.0f |",
            static_cast<unsigned long long>(changes),
            static_cast<unsigned long long>(kb),
            i,
            number(report, "wall_ms"),
            number(report, "cpu_ms") / static_cast<double>(changes),
            number(report, "peak_mb"),
            static_cast<double>(disk[i]) / 1e6,
            number(report, "log_entries"),
            number(report, "log_kb"),
            number(report, "snapshots"),
            number(report, "elections"),
            number(report, "failed_changes"));
        print_steps(report);
    }
    for (std::size_t i = 0; i < node_count; ++i)
    {
        const json& report = started[i];
        const double wall = number(report, "wall_ms");
        const double processor = number(report, "cpu_ms");
        std::printf(
            "| start | %llu | %llu | %zu | %.0f | %.1f | %.1f | %.0f | %.0f | "
            "%.1f | %.0f | %.0f |",
            static_cast<unsigned long long>(changes),
            static_cast<unsigned long long>(kb),
            i,
            wall,
            processor,
            number(report, "open_cpu_ms"),
            number(report, "open_entries"),
            number(report, "open_kb"),
            number(report, "peak_mb"),
            number(report, "elections"),
            std::max(0.0, wall - processor) + processor / estimated_core_share);
        print_steps(report);
    }
    std::fflush(stdout);
}

void print_heads()
{
    std::puts(
        "Rows \"changes\": each node is a process; its peak memory is that of "
        "the process.\n"
        "| row | changes | KB | node | wall ms | cpu ms a change | peak MB | "
        "disk MB | log entries | log KB | snapshots | elections | not "
        "committed | control step ms | work (if over 50 ms) | loop step ms | "
        "work |\n"
        "Rows \"start\": until the first confirmed read of the newest version; "
        "\"estimate\" is not measured,\nit is the wall time without the "
        "processor time, plus the processor time at 0.15 of a core.\n"
        "| row | changes | KB | node | wall ms | cpu ms | open cpu ms | "
        "entries opened | KB opened | peak MB | elections | estimate ms | "
        "control step ms | work (if over 50 ms) | loop step ms | work |");
}

/// The cost of parsing and indexing one configuration, by size.
void print_parse_cost()
{
    constexpr int rounds = 40;
    std::puts("\n| KB | routes | parse ms | check ms | index ms |\n"
              "|---|---|---|---|---|");
    for (const std::size_t kb : {20, 50, 150, 500})
    {
        const std::string content =
            make_configuration(1, make_configuration_end(kb * bytes_per_kb));
        duration parsing{};
        duration checking{};
        duration indexing{};
        std::size_t routes = 0;
        for (int i = 0; i < rounds; ++i)
        {
            const duration began = thread_processor_time();
            auto parsed = platform::parse_configuration(content);
            const duration was_parsed = thread_processor_time();
            auto& value = std::get<site::configuration>(parsed);
            if (const auto wrong = site::check(value))
                throw std::runtime_error(wrong->detail);
            const duration was_checked = thread_processor_time();
            const auto indexed = site::index_configuration(std::move(value));
            indexing += thread_processor_time() - was_checked;
            checking += was_checked - was_parsed;
            parsing += was_parsed - began;
            routes = indexed->value.routes.size();
        }
        std::printf(
            "| %zu | %zu | %.2f | %.2f | %.2f |\n",
            kb,
            routes,
            to_ms(parsing) / rounds,
            to_ms(checking) / rounds,
            to_ms(indexing) / rounds);
    }
}

} // namespace

int main(int argc, char** argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    try
    {
        if (!arguments.empty() && arguments.front() == "--node")
            return run_node(arguments);
        const auto changes =
            parse_numbers(arguments.empty() ? "10,100,400,2000" : arguments[0]);
        const auto sizes =
            parse_numbers(arguments.size() < 2 ? "20,150" : arguments[1]);
        const std::string program =
            std::filesystem::read_symlink("/proc/self/exe");
        print_heads();
        for (const std::uint64_t kb : sizes)
            for (const std::uint64_t count : changes)
                print_case(program, count, kb);
        print_parse_cost();
    }
    catch (const std::exception& error)
    {
        std::cerr << "start_bench: " << error.what() << '\n';
        return 1;
    }
    return 0;
}
