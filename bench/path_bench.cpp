// Measures the overhead of an entry: first-token latency through one entry and
// directly from the engine, in the same run, and the throughput of one entry in
// tokens per second.
//
//   path_bench [STREAMS] [REQUESTS_PER_STREAM]
#include "harness/cluster.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <mutex>
#include <thread>

using namespace bergamotusher::tests;
using nlohmann::json;

namespace
{

constexpr unsigned engine_count = 4;
constexpr unsigned latency_tokens = 4;
constexpr unsigned throughput_tokens = 2'000;

using clock_type = std::chrono::steady_clock;

// Latencies collected by several threads.
struct latency_samples
{
    std::mutex mutex;
    std::vector<double> milliseconds;

    void add(double value)
    {
        const std::lock_guard lock(mutex);
        milliseconds.push_back(value);
    }

    double quantile(double probability)
    {
        std::sort(milliseconds.begin(), milliseconds.end());
        if (milliseconds.empty())
            return 0;
        const auto index = static_cast<std::size_t>(
            probability * static_cast<double>(milliseconds.size() - 1));
        return milliseconds[index];
    }
};

client_request
completion_request(const std::string& address, unsigned tokens, unsigned id)
{
    client_request request;
    request.address = address;
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.key = cluster::key;
    request.body =
        json{
            {"model", "assistant-llm"},
            {"stream", true},
            {"max_tokens", tokens},
            {"messages",
             {{{"role", "user"}, {"content", "q" + std::to_string(id)}}}}}
            .dump();
    request.headers["X-Request-Id"] = "direct-" + std::to_string(id);
    return request;
}

// Returns the time from the start of the request to the first event, in ms;
// negative if there was no event.
double first_token_ms(client_request request)
{
    const auto start_time = clock_type::now();
    double result = -1;
    request.on_event = [&](const client_response& partial)
    {
        if (result < 0 && partial.texts.size() == 1)
            result = std::chrono::duration<double, std::milli>(
                         clock_type::now() - start_time)
                         .count();
        return true;
    };
    send_request(request);
    return result;
}

// Runs `streams` concurrent clients. Each sends `requests_per_stream` requests
// in sequence, every one first through the entry and then directly to an
// engine.
void measure_latency(
    cluster& system,
    const std::vector<std::string>& engine_addresses,
    unsigned streams,
    unsigned requests_per_stream)
{
    latency_samples entry_samples;
    latency_samples direct_samples;
    std::atomic<unsigned> failed_pairs{0};
    std::vector<std::thread> threads;
    for (unsigned stream = 0; stream < streams; ++stream)
        threads.emplace_back(
            [&, stream]
            {
                for (unsigned request_index = 0;
                     request_index < requests_per_stream;
                     ++request_index)
                {
                    const unsigned id =
                        stream * requests_per_stream + request_index;
                    const double entry_ms = first_token_ms(completion_request(
                        system.entry(0), latency_tokens, id));
                    const double direct_ms = first_token_ms(completion_request(
                        engine_addresses[stream % engine_addresses.size()],
                        latency_tokens,
                        id));
                    if (entry_ms < 0 || direct_ms < 0)
                        ++failed_pairs;
                    else
                    {
                        entry_samples.add(entry_ms);
                        direct_samples.add(direct_ms);
                    }
                }
            });
    for (std::thread& thread : threads)
        thread.join();
    for (const double probability : {0.5, 0.95, 0.99})
        std::cout << "first_token_p" << probability * 100 << " entry "
                  << entry_samples.quantile(probability) << " ms, direct "
                  << direct_samples.quantile(probability) << " ms, added "
                  << entry_samples.quantile(probability) -
                         direct_samples.quantile(probability)
                  << " ms\n";
    std::cout << "samples " << entry_samples.milliseconds.size() << ", lost "
              << failed_pairs << "\n";
}

// Runs `streams` concurrent long streams through one entry.
void measure_throughput(cluster& system, unsigned streams)
{
    std::atomic<std::uint64_t> tokens{0};
    std::vector<std::thread> threads;
    const auto start_time = clock_type::now();
    for (unsigned stream = 0; stream < streams; ++stream)
        threads.emplace_back(
            [&, stream]
            {
                const auto answer = send_request(completion_request(
                    system.entry(0), throughput_tokens, stream));
                tokens += answer.texts.size();
            });
    for (std::thread& thread : threads)
        thread.join();
    const double seconds =
        std::chrono::duration<double>(clock_type::now() - start_time).count();
    std::cout << "tokens_per_second " << static_cast<double>(tokens) / seconds
              << " over " << streams << " streams, " << tokens << " tokens\n";
}

} // namespace

int main(int argc, char** argv)
{
    const unsigned streams =
        argc > 1 ? static_cast<unsigned>(std::atoi(argv[1])) : 50;
    const unsigned requests_per_stream =
        argc > 2 ? static_cast<unsigned>(std::atoi(argv[2])) : 40;
    cluster system;
    std::vector<std::string> engine_addresses;
    for (unsigned i = 0; i < engine_count; ++i)
    {
        const std::string name = "engine-" + std::to_string(i);
        system.start_engine(
            name, {"--slots=256", "--first-token-ms=20", "--gap-ms=0"});
        engine_addresses.push_back(system.upstream_address(name));
    }
    measure_latency(system, engine_addresses, streams, requests_per_stream);
    measure_throughput(system, streams);
}
