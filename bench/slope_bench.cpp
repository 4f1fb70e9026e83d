// Measures the control overhead of running daemons: processor time, resident
// memory and bytes between the daemons, while this process sends the
// announcements of `--upstreams` simulated upstreams. Prints one table row.
//
//     slope_bench --pids 11,12 --admins 127.0.1.1:9080,127.0.1.2:9080
//                 --upstreams 200 --upstream-token-file F
//                 --operator-token-file F [--seconds 10] [--changes 0]
//
// Does not start or stop the daemons; tools/slopes does.
#include "observe/ctl/arguments.hpp"
#include "observe/ctl/http_client.hpp"
#include "observe/metrics_text.hpp"
#include "slope_announcers.hpp"

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <numeric>
#include <sstream>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace bergamotusher;
using bench::announcer_pool;
using bench::bench_options;
namespace http = boost::beast::http;

namespace
{

/// Sends an operator request to a daemon. Throws std::runtime_error if it fails
/// or its status is 300 or above.
ctl::http_answer send_operator_request(
    const bench_options& options,
    const ctl::endpoint& admin,
    ctl::http_request request)
{
    request.token = options.operator_token;
    auto result = ctl::send(admin, request, 10s);
    if (const auto* error = std::get_if<failure>(&result))
        throw std::runtime_error(error->detail);
    auto answer = std::get<ctl::http_answer>(std::move(result));
    if (answer.status >= 300)
        throw std::runtime_error(
            request.target + ": " + std::to_string(answer.status) + " " +
            answer.body);
    return answer;
}

double seconds_since(std::chrono::steady_clock::time_point start_time)
{
    return std::chrono::duration<double>(
               std::chrono::steady_clock::now() - start_time)
        .count();
}

/// Writes configuration changes, one after the other.
class configuration_writer
{
public:
    explicit configuration_writer(const bench_options& options)
        : options_(options)
    {
    }

    /// Writes one change. Returns the seconds until it is committed.
    double write_change()
    {
        ctl::http_request request;
        request.method = http::verb::put;
        request.target = "/v1/config/classes/slope";
        request.body =
            nlohmann::json{{"priority", 1 + ++change_count_ % 9}}.dump();
        request.if_match = revision_;
        request.idempotency_key =
            "slope-" +
            std::to_string(
                std::chrono::steady_clock::now().time_since_epoch().count());
        const auto start_time = std::chrono::steady_clock::now();
        const auto answer =
            send_operator_request(options_, options_.admins.front(), request);
        revision_ = std::to_string(nlohmann::json::parse(answer.body)
                                       .at("revision")
                                       .get<std::uint64_t>());
        return seconds_since(start_time);
    }

    /// Returns the revision in force at one daemon.
    std::uint64_t revision_in_force(const ctl::endpoint& admin) const
    {
        ctl::http_request request;
        request.target = "/v1/status";
        const auto answer = send_operator_request(options_, admin, request);
        return nlohmann::json::parse(answer.body).at("revision");
    }

    /// Writes one change and waits until it is in force at all daemons, at most
    /// about 30 s. Returns the seconds from the start.
    double write_change_and_wait()
    {
        const auto& first = options_.admins.front();
        const std::uint64_t before = revision_in_force(first);
        const auto start_time = std::chrono::steady_clock::now();
        write_change();
        for (const ctl::endpoint& admin : options_.admins)
            while (revision_in_force(admin) <= before &&
                   seconds_since(start_time) < 30)
                std::this_thread::yield();
        return seconds_since(start_time);
    }

    /// Reads the revision that an earlier run wrote, to replace it.
    void load_revision()
    {
        ctl::http_request request;
        request.target = "/v1/config/classes/slope";
        request.token = options_.operator_token;
        const auto result = ctl::send(options_.admins.front(), request, 10s);
        const auto* answer = std::get_if<ctl::http_answer>(&result);
        if (answer != nullptr && !answer->etag.empty())
            revision_ = answer->etag;
    }

private:
    const bench_options& options_;
    std::string revision_ = "0";
    std::uint64_t change_count_ = 0;
};

/// The number of configuration changes and the time they took.
struct change_result
{
    std::size_t change_count = 0;
    double commit_s_mean = 0;
    double commit_s_max = 0;
    double in_force_s_max = 0;
};

/// Writes changes at the rate and for the time given by the options.
change_result run_changes(const bench_options& options)
{
    change_result result;
    configuration_writer writer(options);
    writer.load_revision();
    const auto start_time = std::chrono::steady_clock::now();
    const std::chrono::duration<double> interval(1 / options.changes);
    while (seconds_since(start_time) < options.seconds)
    {
        const double commit_seconds = writer.write_change();
        ++result.change_count;
        result.commit_s_mean += commit_seconds;
        result.commit_s_max = std::max(result.commit_s_max, commit_seconds);
        std::this_thread::sleep_until(
            start_time +
            std::chrono::duration_cast<std::chrono::steady_clock::duration>(
                interval * static_cast<double>(result.change_count)));
    }
    result.commit_s_mean /= static_cast<double>(result.change_count);
    return result;
}

/// Returns the longest time, of five changes, until a change is in force at all
/// daemons, in seconds.
double measure_slowest_in_force(const bench_options& options)
{
    constexpr int attempts = 5;
    configuration_writer writer(options);
    writer.load_revision();
    double slowest = 0;
    for (int i = 0; i < attempts; ++i)
        slowest = std::max(slowest, writer.write_change_and_wait());
    return slowest;
}

/// The resources that one daemon has used so far.
struct usage
{
    double cpu_s = 0;
    double rss_mb = 0;
    double bytes_sent = 0;
    double bytes_received = 0;
    double messages_sent = 0;
};

/// Returns the user and system time of `pid` from /proc, in seconds.
double cpu_seconds(int pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
    const std::string text(std::istreambuf_iterator<char>(file), {});
    // The process name may contain spaces and brackets; the other fields follow
    // the last closing bracket.
    std::istringstream fields(text.substr(text.rfind(')') + 1));
    std::string ignored_field;
    constexpr int fields_before_user_time = 11;
    for (int i = 0; i < fields_before_user_time; ++i)
        fields >> ignored_field;
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double resident_mb(int pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
    double total = 0;
    double resident = 0;
    file >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1 << 20);
}

usage read_usage(
    const bench_options& options, int pid, const ctl::endpoint& admin)
{
    usage result;
    result.cpu_s = cpu_seconds(pid);
    result.rss_mb = resident_mb(pid);
    ctl::http_request request;
    request.target = "/metrics";
    const auto answer = send_operator_request(options, admin, request);
    for (const auto& sample : observe::parse_metrics(answer.body))
    {
        if (sample.name == "peer_sent_bytes_total")
            result.bytes_sent += sample.value;
        if (sample.name == "peer_received_bytes_total")
            result.bytes_received += sample.value;
        if (sample.name == "peer_sent_messages_total")
            result.messages_sent += sample.value;
    }
    return result;
}

std::vector<usage> read_all_usage(const bench_options& options)
{
    std::vector<usage> all;
    for (std::size_t i = 0; i < options.pids.size(); ++i)
        all.push_back(read_usage(options, options.pids[i], options.admins[i]));
    return all;
}

/// Mean and maximum of one value over the daemons.
struct mean_and_max
{
    double mean = 0;
    double max = 0;
};

template<class Value>
mean_and_max summarize(std::size_t count, Value value_of)
{
    mean_and_max result;
    for (std::size_t i = 0; i < count; ++i)
    {
        result.mean += value_of(i) / static_cast<double>(count);
        result.max = std::max(result.max, value_of(i));
    }
    return result;
}

/// Failed announcements and bytes of the announcer pool.
struct announcer_totals
{
    std::uint64_t failed = 0;
    std::uint64_t bytes = 0;
};

void print_row(
    const bench_options& options,
    const std::vector<usage>& before,
    const std::vector<usage>& after,
    double seconds,
    const announcer_totals& pool,
    const change_result& changes)
{
    const std::size_t count = before.size();
    const auto rate = [&](double usage::*member)
    {
        return summarize(
            count,
            [&](std::size_t i)
            { return (after[i].*member - before[i].*member) / seconds; });
    };
    const mean_and_max cpu = rate(&usage::cpu_s);
    const mean_and_max sent = rate(&usage::bytes_sent);
    const mean_and_max received = rate(&usage::bytes_received);
    const mean_and_max messages = rate(&usage::messages_sent);
    const mean_and_max rss =
        summarize(count, [&](std::size_t i) { return after[i].rss_mb; });
    std::printf(
        "%zu %zu %.2f %.2f %.1f %.1f %.0f %.0f %.0f %.0f %.1f %llu "
        "%.1f %.1f %.1f %.1f %.0f\n",
        count,
        options.upstreams,
        100 * cpu.mean,
        100 * cpu.max,
        rss.mean,
        rss.max,
        sent.mean,
        sent.max,
        received.mean,
        received.max,
        messages.mean,
        static_cast<unsigned long long>(pool.failed),
        static_cast<double>(changes.change_count) / seconds,
        1e3 * changes.commit_s_mean,
        1e3 * changes.commit_s_max,
        1e3 * changes.in_force_s_max,
        static_cast<double>(pool.bytes) / seconds /
            static_cast<double>(std::max<std::size_t>(1, options.upstreams)));
}

constexpr const char* table_header =
    "nodes upstreams cpu_percent cpu_percent_max rss_mb rss_mb_max "
    "sent_bytes_per_s sent_bytes_per_s_max received_bytes_per_s "
    "received_bytes_per_s_max sent_messages_per_s failed_announcements "
    "changes_per_s "
    "commit_ms commit_ms_max in_force_ms_max announce_bytes_per_s_upstream";

int measure(const bench_options& options)
{
    const announcer_pool pool(options);
    std::this_thread::sleep_for(std::chrono::seconds(options.settle_s));
    const auto start_time = std::chrono::steady_clock::now();
    const announcer_totals totals_before{pool.failed(), pool.bytes()};
    const auto before = read_all_usage(options);
    change_result changes;
    if (options.changes > 0)
        changes = run_changes(options);
    std::this_thread::sleep_until(
        start_time + std::chrono::seconds(options.seconds));
    const auto after = read_all_usage(options);
    const double seconds = seconds_since(start_time);
    const announcer_totals totals_during{
        pool.failed() - totals_before.failed,
        pool.bytes() - totals_before.bytes};
    if (options.changes > 0)
        changes.in_force_s_max = measure_slowest_in_force(options);
    print_row(options, before, after, seconds, totals_during, changes);
    return 0;
}

std::vector<int> parse_pids(const std::string& text)
{
    std::vector<int> pids;
    std::istringstream stream(text);
    for (std::string item; std::getline(stream, item, ',');)
        pids.push_back(std::stoi(item));
    return pids;
}

std::string read_first_line(const std::string& path)
{
    std::string line;
    std::ifstream file(path);
    std::getline(file, line);
    return line;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options flags(
        "slope_bench", "Measures the control overhead of running daemons.");
    auto add = flags.add_options();
    add("head", "print the header of the table and exit");
    add("pids", "process ids of the daemons", cxxopts::value<std::string>());
    add("admins",
        "administration addresses of the daemons, in the order of --pids",
        cxxopts::value<std::string>());
    add("upstreams",
        "number of simulated upstreams",
        cxxopts::value<std::size_t>());
    add("upstream-token-file", "", cxxopts::value<std::string>());
    add("operator-token-file", "", cxxopts::value<std::string>());
    add("changes",
        "configuration changes per second",
        cxxopts::value<double>()->default_value("0"));
    add("seconds", "", cxxopts::value<unsigned>()->default_value("10"));
    add("settle", "", cxxopts::value<unsigned>()->default_value("5"));
    try
    {
        const auto parsed = flags.parse(argc, argv);
        if (parsed.count("head") > 0)
        {
            std::puts(table_header);
            return 0;
        }
        bench_options options;
        options.pids = parse_pids(parsed["pids"].as<std::string>());
        const auto admins =
            ctl::parse_endpoints(parsed["admins"].as<std::string>());
        if (!admins || admins->size() != options.pids.size())
            throw std::invalid_argument(
                "--admins and --pids do not have the same number of daemons");
        options.admins = *admins;
        options.upstreams = parsed["upstreams"].as<std::size_t>();
        options.token =
            read_first_line(parsed["upstream-token-file"].as<std::string>());
        options.operator_token =
            read_first_line(parsed["operator-token-file"].as<std::string>());
        options.changes = parsed["changes"].as<double>();
        options.seconds = parsed["seconds"].as<unsigned>();
        options.settle_s = parsed["settle"].as<unsigned>();
        return measure(options);
    }
    catch (const std::exception& error)
    {
        std::cerr << "slope_bench: " << error.what() << '\n';
        return 2;
    }
}
