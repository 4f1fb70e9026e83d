// Sends the announcements of many simulated upstreams from one process, for
// slope_bench.
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

inline constexpr auto announce_interval = std::chrono::milliseconds(500);
inline constexpr std::size_t max_threads = 8;
inline constexpr std::size_t domain_count = 3;

/// As set by the flags.
struct bench_options
{
    /// Process ids of the daemons.
    std::vector<int> pids;
    /// Administration addresses of the daemons, in the order of `pids`.
    std::vector<ctl::endpoint> admins;
    std::size_t upstreams = 0;
    /// Bearer token of the upstreams.
    std::string token;
    std::string operator_token;
    /// Configuration changes per second during the measurement.
    double changes = 0;
    unsigned settle_s = 5;
    unsigned seconds = 10;
};

/// An HTTP connection that stays open between requests.
class persistent_connection
{
public:
    explicit persistent_connection(ctl::endpoint peer) : peer_(std::move(peer))
    {
    }

    /// Sends a request and waits for the response. Returns whether its status
    /// is below 300.
    bool post(
        const std::string& target,
        const std::string& token,
        const std::string& body)
    {
        boost::system::error_code error;
        if (!socket_.is_open() && !connect())
            return false;
        http::request<http::string_body> request(http::verb::post, target, 11);
        request.set(http::field::host, peer_.host);
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

    /// Returns the bytes sent and received since the last call.
    std::uint64_t exchange_byte_count()
    {
        return std::exchange(bytes_, 0);
    }

private:
    bool connect()
    {
        boost::system::error_code error;
        buffer_.clear();
        socket_.connect(
            {boost::asio::ip::make_address(peer_.host),
             static_cast<std::uint16_t>(std::stoul(peer_.port))},
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

    ctl::endpoint peer_;
    boost::asio::io_context loop_;
    boost::asio::ip::tcp::socket socket_{loop_};
    boost::beast::flat_buffer buffer_;
    std::uint64_t bytes_ = 0;
};

inline std::string announcement_json(std::size_t index)
{
    const std::size_t port = 20'000 + index % 40'000;
    return nlohmann::json{
        {"instance", "worker-" + std::to_string(index)},
        {"incarnation", 1},
        {"kind", "engine"},
        {"service", "assistant-llm"},
        {"version", "v1"},
        {"address", "127.0.0.1:" + std::to_string(port)},
        {"failure_domain", "fd-" + std::to_string(index % domain_count)},
        {"instance_class", "gpu-small"},
        {"market", "reclaimable"},
        {"price_per_hour", 1.5},
        {"slots", 16}}
        .dump();
}

inline std::string load_json(std::size_t index, std::uint64_t sequence)
{
    return nlohmann::json{{"load",
                           {{"sequence", sequence},
                            {"running", (index + sequence) % 16},
                            {"queued", 0},
                            {"cache_used", 0.5},
                            {"tokens_per_second", 300}}}}
        .dump();
}

/// Announces each simulated upstream to one of the daemons every 500 ms, from
/// construction to destruction.
class announcer_pool
{
public:
    explicit announcer_pool(const bench_options& options) : options_(options)
    {
        const std::size_t count = std::min(max_threads, options.upstreams);
        for (std::size_t i = 0; i < count; ++i)
            threads_.emplace_back([this, i, count]
                                  { announce_periodically(i, count); });
    }

    ~announcer_pool()
    {
        stopping_ = true;
        for (std::thread& thread : threads_)
            thread.join();
    }

    announcer_pool(const announcer_pool&) = delete;
    announcer_pool& operator=(const announcer_pool&) = delete;

    /// The bytes of announcements, events and their responses.
    std::uint64_t bytes() const
    {
        return bytes_;
    }
    /// The number of announcements, with their events, that failed.
    std::uint64_t failed() const
    {
        return failed_;
    }

private:
    void announce_periodically(std::size_t first, std::size_t stride)
    {
        std::deque<persistent_connection> connections;
        for (const ctl::endpoint& admin : options_.admins)
            connections.emplace_back(admin);
        for (std::uint64_t sequence = 1; !stopping_; ++sequence)
        {
            const auto next_round =
                std::chrono::steady_clock::now() + announce_interval;
            for (std::size_t i = first; i < options_.upstreams && !stopping_;
                 i += stride)
                announce(connections[i % connections.size()], i, sequence);
            std::this_thread::sleep_until(next_round);
        }
    }

    void announce(
        persistent_connection& connection,
        std::size_t index,
        std::uint64_t sequence)
    {
        const std::string path = "/v1/upstreams";
        const bool announced =
            connection.post(path, options_.token, announcement_json(index));
        const bool reported = connection.post(
            path + "/worker-" + std::to_string(index) + "/events",
            options_.token,
            load_json(index, sequence));
        bytes_ += connection.exchange_byte_count();
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
