// One process's announcements on behalf of many upstreams, for slope_bench.
#pragma once

#include "observe/ctl/arguments.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <deque>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace bergamotusher::bench
{

namespace http = boost::beast::http;

inline constexpr auto renewal = std::chrono::milliseconds(500);
inline constexpr std::size_t most_threads = 8;
inline constexpr std::size_t domain_count = 3;

/// What was asked for.
struct bench_options
{
    std::vector<int> pids;
    std::vector<ctl::endpoint> admins;
    std::size_t upstreams = 0;
    std::string token;
    std::string operator_token;
    /// Changes of configuration a second while it measures.
    double changes = 0;
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
        bytes_ += http::write(socket_, request, error);
        http::response<http::string_body> response;
        if (!error)
            bytes_ += http::read(socket_, buffer_, response, error);
        if (error || !response.keep_alive())
            close();
        return !error && response.result_int() < 300;
    }

    /// Bytes of all requests and answers since the last call.
    std::uint64_t take_bytes()
    {
        return std::exchange(bytes_, 0);
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
    std::uint64_t bytes_ = 0;
};

inline std::string announcement(std::size_t number)
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

inline std::string load_of(std::size_t number, std::uint64_t sequence)
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

    /// Of announcements, events and their answers.
    std::uint64_t bytes() const
    {
        return bytes_;
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
        bytes_ += to.take_bytes();
        ++(announced && reported ? sent_ : failed_);
    }

    const bench_options& options_;
    std::atomic<bool> stopping_{false};
    std::atomic<std::uint64_t> sent_{0};
    std::atomic<std::uint64_t> failed_{0};
    std::atomic<std::uint64_t> bytes_{0};
    std::vector<std::thread> threads_;
};

} // namespace bergamotusher::bench
