// Measures what running daemons spend on control: processor time, resident
// memory and bytes between them, while M upstreams announce themselves to
// them from this one process. Prints one row of a table.
//
//     slope_bench --pids 11,12 --admins 127.0.1.1:9080,127.0.1.2:9080
//                 --upstreams 200 --upstream-token-file F
//                 --operator-token-file F [--seconds 10] [--changes 0]
//
// It starts no process; tools/slopes starts and stops the daemons.
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
using bench::announcers;
using bench::bench_options;
namespace http = boost::beast::http;

namespace
{

/// A daemon's answer to an operator's request.
ctl::http_answer operate(
    const bench_options& options,
    const ctl::endpoint& admin,
    ctl::http_request request)
{
    request.token = options.operator_token;
    auto result = ctl::send(admin, request, 10s);
    if (const auto* lost = std::get_if<failure>(&result))
        throw std::runtime_error(lost->detail);
    auto answer = std::get<ctl::http_answer>(std::move(result));
    if (answer.status >= 300)
        throw std::runtime_error(
            request.target + ": " + std::to_string(answer.status) + " " +
            answer.body);
    return answer;
}

double seconds_since(std::chrono::steady_clock::time_point begun)
{
    return std::chrono::duration<double>(
               std::chrono::steady_clock::now() - begun)
        .count();
}

/// Changes the configuration, one change after the other.
class changer
{
public:
    explicit changer(const bench_options& options) : options_(options) {}

    /// One change; the seconds until it was committed.
    double change()
    {
        ctl::http_request request;
        request.method = http::verb::put;
        request.target = "/v1/config/classes/slope";
        request.body = nlohmann::json{{"priority", 1 + ++number_ % 9}}.dump();
        request.if_match = revision_;
        request.idempotency_key =
            "slope-" +
            std::to_string(
                std::chrono::steady_clock::now().time_since_epoch().count());
        const auto begun = std::chrono::steady_clock::now();
        const auto answer = operate(options_, options_.admins.front(), request);
        revision_ = std::to_string(nlohmann::json::parse(answer.body)
                                       .at("revision")
                                       .get<std::uint64_t>());
        return seconds_since(begun);
    }

    /// The revision in force at one daemon.
    std::uint64_t in_force(const ctl::endpoint& admin) const
    {
        ctl::http_request request;
        request.target = "/v1/status";
        const auto answer = operate(options_, admin, request);
        return nlohmann::json::parse(answer.body).at("revision");
    }

    /// One change; the seconds until it is in force at the last daemon.
    double change_everywhere()
    {
        const auto& first = options_.admins.front();
        const std::uint64_t before = in_force(first);
        const auto begun = std::chrono::steady_clock::now();
        change();
        for (const ctl::endpoint& admin : options_.admins)
            while (in_force(admin) <= before && seconds_since(begun) < 30)
                std::this_thread::yield();
        return seconds_since(begun);
    }

    /// Begins where an earlier run ended.
    void begin()
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
    std::uint64_t number_ = 0;
};

/// What changes of configuration took.
struct change_figures
{
    std::size_t made = 0;
    double commit_s_mean = 0;
    double commit_s_max = 0;
    double in_force_s_max = 0;
};

/// Makes changes at the rate asked for, for the time asked for.
change_figures make_changes(const bench_options& options)
{
    change_figures seen;
    changer by(options);
    by.begin();
    const auto begun = std::chrono::steady_clock::now();
    const std::chrono::duration<double> interval(1 / options.changes);
    while (seconds_since(begun) < options.seconds)
    {
        const double spent = by.change();
        ++seen.made;
        seen.commit_s_mean += spent;
        seen.commit_s_max = std::max(seen.commit_s_max, spent);
        std::this_thread::sleep_until(
            begun +
            std::chrono::duration_cast<std::chrono::steady_clock::duration>(
                interval * static_cast<double>(seen.made)));
    }
    seen.commit_s_mean /= static_cast<double>(seen.made);
    return seen;
}

/// The slowest of a few changes to be in force at all daemons.
double slowest_in_force(const bench_options& options)
{
    constexpr int tries = 5;
    changer by(options);
    by.begin();
    double slowest = 0;
    for (int i = 0; i < tries; ++i)
        slowest = std::max(slowest, by.change_everywhere());
    return slowest;
}

/// What one daemon has used so far.
struct usage
{
    double cpu_s = 0;
    double rss_mb = 0;
    double bytes_sent = 0;
    double bytes_received = 0;
    double messages_sent = 0;
};

/// Processor seconds of `pid`, user and system, from /proc.
double cpu_seconds(int pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
    const std::string text(std::istreambuf_iterator<char>(file), {});
    // The name may hold spaces; the fields begin after its bracket.
    std::istringstream fields(text.substr(text.rfind(')') + 1));
    std::string skipped;
    constexpr int before_user_time = 11;
    for (int i = 0; i < before_user_time; ++i)
        fields >> skipped;
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
    usage seen;
    seen.cpu_s = cpu_seconds(pid);
    seen.rss_mb = resident_mb(pid);
    ctl::http_request request;
    request.target = "/metrics";
    const auto answer = operate(options, admin, request);
    for (const auto& sample : observe::parse_metrics(answer.body))
    {
        if (sample.name == "peer_sent_bytes_total")
            seen.bytes_sent += sample.value;
        if (sample.name == "peer_received_bytes_total")
            seen.bytes_received += sample.value;
        if (sample.name == "peer_sent_messages_total")
            seen.messages_sent += sample.value;
    }
    return seen;
}

std::vector<usage> read_all(const bench_options& options)
{
    std::vector<usage> all;
    for (std::size_t i = 0; i < options.pids.size(); ++i)
        all.push_back(read_usage(options, options.pids[i], options.admins[i]));
    return all;
}

/// Mean and greatest of one figure over the daemons.
struct spread
{
    double mean = 0;
    double most = 0;
};

template<class Figure>
spread over_all(std::size_t count, Figure figure)
{
    spread result;
    for (std::size_t i = 0; i < count; ++i)
    {
        result.mean += figure(i) / static_cast<double>(count);
        result.most = std::max(result.most, figure(i));
    }
    return result;
}

/// What the announcers did while it measured.
struct crowd_figures
{
    std::uint64_t failed = 0;
    std::uint64_t bytes = 0;
};

void print_row(
    const bench_options& options,
    const std::vector<usage>& before,
    const std::vector<usage>& after,
    double seconds,
    const crowd_figures& crowd,
    const change_figures& changes)
{
    const std::size_t count = before.size();
    const auto rate = [&](double usage::*member)
    {
        return over_all(
            count,
            [&](std::size_t i)
            { return (after[i].*member - before[i].*member) / seconds; });
    };
    const spread cpu = rate(&usage::cpu_s);
    const spread sent = rate(&usage::bytes_sent);
    const spread received = rate(&usage::bytes_received);
    const spread messages = rate(&usage::messages_sent);
    const spread rss =
        over_all(count, [&](std::size_t i) { return after[i].rss_mb; });
    std::printf(
        "%zu %zu %.2f %.2f %.1f %.1f %.0f %.0f %.0f %.0f %.1f %llu "
        "%.1f %.1f %.1f %.1f %.0f\n",
        count,
        options.upstreams,
        100 * cpu.mean,
        100 * cpu.most,
        rss.mean,
        rss.most,
        sent.mean,
        sent.most,
        received.mean,
        received.most,
        messages.mean,
        static_cast<unsigned long long>(crowd.failed),
        static_cast<double>(changes.made) / seconds,
        1e3 * changes.commit_s_mean,
        1e3 * changes.commit_s_max,
        1e3 * changes.in_force_s_max,
        static_cast<double>(crowd.bytes) / seconds /
            static_cast<double>(std::max<std::size_t>(1, options.upstreams)));
}

constexpr const char* table_head =
    "nodes upstreams cpu_percent cpu_percent_max rss_mb rss_mb_max "
    "sent_bytes_per_s sent_bytes_per_s_max received_bytes_per_s "
    "received_bytes_per_s_max sent_messages_per_s failed_announcements "
    "changes_per_s "
    "commit_ms commit_ms_max in_force_ms_max announce_bytes_per_s_upstream";

int measure(const bench_options& options)
{
    const announcers crowd(options);
    std::this_thread::sleep_for(std::chrono::seconds(options.settle_s));
    const auto begun = std::chrono::steady_clock::now();
    const crowd_figures earlier{crowd.failed(), crowd.bytes()};
    const auto before = read_all(options);
    change_figures changes;
    if (options.changes > 0)
        changes = make_changes(options);
    std::this_thread::sleep_until(
        begun + std::chrono::seconds(options.seconds));
    const auto after = read_all(options);
    const double seconds = seconds_since(begun);
    const crowd_figures during{
        crowd.failed() - earlier.failed, crowd.bytes() - earlier.bytes};
    if (options.changes > 0)
        changes.in_force_s_max = slowest_in_force(options);
    print_row(options, before, after, seconds, during, changes);
    return 0;
}

std::vector<int> parse_pids(const std::string& text)
{
    std::vector<int> pids;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');)
        pids.push_back(std::stoi(part));
    return pids;
}

std::string first_line(const std::string& path)
{
    std::string line;
    std::ifstream file(path);
    std::getline(file, line);
    return line;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options flags("slope_bench", "Measures running daemons.");
    auto add = flags.add_options();
    add("head", "Print the table's head and exit");
    add("pids", "Of the daemons", cxxopts::value<std::string>());
    add("admins", "Of the daemons, alike", cxxopts::value<std::string>());
    add("upstreams", "To announce", cxxopts::value<std::size_t>());
    add("upstream-token-file", "", cxxopts::value<std::string>());
    add("operator-token-file", "", cxxopts::value<std::string>());
    add("changes",
        "Changes of configuration a second",
        cxxopts::value<double>()->default_value("0"));
    add("seconds", "", cxxopts::value<unsigned>()->default_value("10"));
    add("settle", "", cxxopts::value<unsigned>()->default_value("5"));
    try
    {
        const auto given = flags.parse(argc, argv);
        if (given.count("head") > 0)
        {
            std::puts(table_head);
            return 0;
        }
        bench_options options;
        options.pids = parse_pids(given["pids"].as<std::string>());
        const auto admins =
            ctl::parse_endpoints(given["admins"].as<std::string>());
        if (!admins || admins->size() != options.pids.size())
            throw std::invalid_argument("--admins do not match --pids");
        options.admins = *admins;
        options.upstreams = given["upstreams"].as<std::size_t>();
        options.token =
            first_line(given["upstream-token-file"].as<std::string>());
        options.operator_token =
            first_line(given["operator-token-file"].as<std::string>());
        options.changes = given["changes"].as<double>();
        options.seconds = given["seconds"].as<unsigned>();
        options.settle_s = given["settle"].as<unsigned>();
        return measure(options);
    }
    catch (const std::exception& error)
    {
        std::cerr << "slope_bench: " << error.what() << '\n';
        return 2;
    }
}
