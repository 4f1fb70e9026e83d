// Measures what running daemons spend on control: processor time, resident
// memory and bytes between them, while M upstreams announce themselves to
// them from this one process. Prints one row of a table.
//
//     slope_bench --pids 11,12 --admins 127.0.1.1:9080,127.0.1.2:9080
//                 --upstreams 200 --upstream-token-file F [--seconds 10]
//
// It starts no process; tools/slopes starts and stops the daemons.
#include "observe/ctl/arguments.hpp"
#include "observe/ctl/http_client.hpp"
#include "observe/metrics_text.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <deque>
#include <fstream>
#include <iostream>
#include <numeric>
#include <sstream>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace bergamotusher;
namespace http = boost::beast::http;

namespace
{

constexpr auto renewal = std::chrono::milliseconds(500);
constexpr std::size_t most_threads = 8;
constexpr std::size_t domain_count = 3;

/// What was asked for.
struct bench_options
{
    std::vector<int> pids;
    std::vector<ctl::endpoint> admins;
    std::size_t upstreams = 0;
    std::string token;
    unsigned settle_s = 5;
    unsigned seconds = 10;
};

/// A connection that is kept open between requests.
class kept_connection
{
public:
    explicit kept_connection(ctl::endpoint to) : to_(std::move(to)) {}

    /// Whether the request was answered with a success.
    bool post(
        const std::string& target,
        const std::string& token,
        const std::string& body)
    {
        boost::system::error_code error;
        if (!socket_.is_open() && !connect())
            return false;
        http::request<http::string_body> request(http::verb::post, target, 11);
        request.set(http::field::host, to_.host);
        request.set(http::field::authorization, "Bearer " + token);
        request.set(http::field::content_type, "application/json");
        request.body() = body;
        request.prepare_payload();
        http::write(socket_, request, error);
        http::response<http::string_body> response;
        if (!error)
            http::read(socket_, buffer_, response, error);
        if (error || !response.keep_alive())
            close();
        return !error && response.result_int() < 300;
    }

private:
    bool connect()
    {
        boost::system::error_code error;
        buffer_.clear();
        socket_.connect(
            {boost::asio::ip::make_address(to_.host),
             static_cast<std::uint16_t>(std::stoul(to_.port))},
            error);
        if (error)
            close();
        return !error;
    }

    void close()
    {
        boost::system::error_code ignored;
        socket_.close(ignored);
    }

    ctl::endpoint to_;
    boost::asio::io_context loop_;
    boost::asio::ip::tcp::socket socket_{loop_};
    boost::beast::flat_buffer buffer_;
};

std::string announcement(std::size_t number)
{
    const std::size_t port = 20'000 + number % 40'000;
    return nlohmann::json{
        {"instance", "worker-" + std::to_string(number)},
        {"incarnation", 1},
        {"kind", "engine"},
        {"service", "assistant-llm"},
        {"version", "v1"},
        {"address", "127.0.0.1:" + std::to_string(port)},
        {"failure_domain", "fd-" + std::to_string(number % domain_count)},
        {"instance_class", "gpu-small"},
        {"market", "reclaimable"},
        {"price_per_hour", 1.5},
        {"slots", 16}}
        .dump();
}

std::string load_of(std::size_t number, std::uint64_t sequence)
{
    return nlohmann::json{{"load",
                           {{"sequence", sequence},
                            {"running", (number + sequence) % 16},
                            {"queued", 0},
                            {"cache_used", 0.5},
                            {"tokens_per_second", 300}}}}
        .dump();
}

/// Announces on behalf of every upstream, each to one daemon, until stopped.
class announcers
{
public:
    explicit announcers(const bench_options& options) : options_(options)
    {
        const std::size_t count = std::min(most_threads, options.upstreams);
        for (std::size_t i = 0; i < count; ++i)
            threads_.emplace_back([this, i, count] { run(i, count); });
    }

    ~announcers()
    {
        stopping_ = true;
        for (std::thread& thread : threads_)
            thread.join();
    }

    announcers(const announcers&) = delete;
    announcers& operator=(const announcers&) = delete;

    std::uint64_t sent() const
    {
        return sent_;
    }
    std::uint64_t failed() const
    {
        return failed_;
    }

private:
    void run(std::size_t first, std::size_t step)
    {
        std::deque<kept_connection> connections;
        for (const ctl::endpoint& admin : options_.admins)
            connections.emplace_back(admin);
        for (std::uint64_t sequence = 1; !stopping_; ++sequence)
        {
            const auto due = std::chrono::steady_clock::now() + renewal;
            for (std::size_t i = first; i < options_.upstreams && !stopping_;
                 i += step)
                announce(connections[i % connections.size()], i, sequence);
            std::this_thread::sleep_until(due);
        }
    }

    void
    announce(kept_connection& to, std::size_t number, std::uint64_t sequence)
    {
        const std::string path = "/v1/upstreams";
        const bool announced =
            to.post(path, options_.token, announcement(number));
        const bool reported = to.post(
            path + "/worker-" + std::to_string(number) + "/events",
            options_.token,
            load_of(number, sequence));
        ++(announced && reported ? sent_ : failed_);
    }

    const bench_options& options_;
    std::atomic<bool> stopping_{false};
    std::atomic<std::uint64_t> sent_{0};
    std::atomic<std::uint64_t> failed_{0};
    std::vector<std::thread> threads_;
};

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

usage read_usage(int pid, const ctl::endpoint& admin)
{
    usage seen;
    seen.cpu_s = cpu_seconds(pid);
    seen.rss_mb = resident_mb(pid);
    ctl::http_request request;
    request.target = "/metrics";
    const auto result = ctl::send(admin, request, 10s);
    const auto* answer = std::get_if<ctl::http_answer>(&result);
    if (answer == nullptr)
    {
        std::cerr << "slope_bench: " << std::get<failure>(result).detail
                  << '\n';
        return seen;
    }
    for (const auto& sample : observe::parse_metrics(answer->body))
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
        all.push_back(read_usage(options.pids[i], options.admins[i]));
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

void print_row(
    const bench_options& options,
    const std::vector<usage>& before,
    const std::vector<usage>& after,
    double seconds,
    std::uint64_t failed)
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
        "%zu %zu %.2f %.2f %.1f %.1f %.0f %.0f %.0f %.0f %.1f %llu\n",
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
        static_cast<unsigned long long>(failed));
}

constexpr const char* table_head =
    "nodes upstreams cpu_percent cpu_percent_max rss_mb rss_mb_max "
    "sent_bytes_per_s sent_bytes_per_s_max received_bytes_per_s "
    "received_bytes_per_s_max sent_messages_per_s failed_announcements";

int measure(const bench_options& options)
{
    const announcers crowd(options);
    std::this_thread::sleep_for(std::chrono::seconds(options.settle_s));
    const auto begun = std::chrono::steady_clock::now();
    const std::uint64_t failed_before = crowd.failed();
    const auto before = read_all(options);
    std::this_thread::sleep_for(std::chrono::seconds(options.seconds));
    const auto after = read_all(options);
    const double seconds =
        std::chrono::duration<double>(std::chrono::steady_clock::now() - begun)
            .count();
    print_row(options, before, after, seconds, crowd.failed() - failed_before);
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
