// What the path costs: the time to the first token through one entry against
// the engine asked directly, in the same run, and the tokens a second that
// one entry carries.
//
//   path_bench [STREAMS] [ROUNDS]
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

constexpr unsigned engines = 4;
constexpr unsigned latency_tokens = 4;
constexpr unsigned flood_tokens = 2'000;

using clock_type = std::chrono::steady_clock;

struct sample_set
{
    std::mutex mutex;
    std::vector<double> milliseconds;

    void add(double value)
    {
        const std::lock_guard lock(mutex);
        milliseconds.push_back(value);
    }

    double quantile(double part)
    {
        std::sort(milliseconds.begin(), milliseconds.end());
        if (milliseconds.empty())
            return 0;
        const auto index = static_cast<std::size_t>(
            part * static_cast<double>(milliseconds.size() - 1));
        return milliseconds[index];
    }
};

caller_call question(const std::string& address, unsigned tokens, unsigned id)
{
    caller_call what;
    what.address = address;
    what.method = "POST";
    what.path = "/v1/chat/completions";
    what.key = cluster::key;
    what.body =
        json{
            {"model", "assistant-llm"},
            {"stream", true},
            {"max_tokens", tokens},
            {"messages",
             {{{"role", "user"}, {"content", "q" + std::to_string(id)}}}}}
            .dump();
    what.headers["X-Request-Id"] = "direct-" + std::to_string(id);
    return what;
}

// The time from the call to the first event, in ms; negative if none came.
double first_token_ms(caller_call what)
{
    const auto begun = clock_type::now();
    double result = -1;
    what.on_event = [&](const caller_answer& so_far)
    {
        if (result < 0 && so_far.texts.size() == 1)
            result = std::chrono::duration<double, std::milli>(
                         clock_type::now() - begun)
                         .count();
        return true;
    };
    call(what);
    return result;
}

// Streams at once, each asking `rounds` questions one after the other, by
// turns through the entry and directly.
void measure_latency(
    cluster& system,
    const std::vector<std::string>& direct,
    unsigned streams,
    unsigned rounds)
{
    sample_set through;
    sample_set straight;
    std::atomic<unsigned> lost{0};
    std::vector<std::thread> threads;
    for (unsigned stream = 0; stream < streams; ++stream)
        threads.emplace_back(
            [&, stream]
            {
                for (unsigned round = 0; round < rounds; ++round)
                {
                    const unsigned id = stream * rounds + round;
                    const double by_entry = first_token_ms(
                        question(system.entry(0), latency_tokens, id));
                    const double by_engine = first_token_ms(question(
                        direct[stream % direct.size()], latency_tokens, id));
                    if (by_entry < 0 || by_engine < 0)
                        ++lost;
                    else
                    {
                        through.add(by_entry);
                        straight.add(by_engine);
                    }
                }
            });
    for (std::thread& one : threads)
        one.join();
    for (const double part : {0.5, 0.95, 0.99})
        std::cout << "first_token_p" << part * 100 << " entry "
                  << through.quantile(part) << " ms, direct "
                  << straight.quantile(part) << " ms, added "
                  << through.quantile(part) - straight.quantile(part)
                  << " ms\n";
    std::cout << "samples " << through.milliseconds.size() << ", lost " << lost
              << "\n";
}

void measure_flood(cluster& system, unsigned streams)
{
    std::atomic<std::uint64_t> tokens{0};
    std::vector<std::thread> threads;
    const auto begun = clock_type::now();
    for (unsigned stream = 0; stream < streams; ++stream)
        threads.emplace_back(
            [&, stream]
            {
                const auto answer =
                    call(question(system.entry(0), flood_tokens, stream));
                tokens += answer.texts.size();
            });
    for (std::thread& one : threads)
        one.join();
    const double seconds =
        std::chrono::duration<double>(clock_type::now() - begun).count();
    std::cout << "tokens_per_second " << static_cast<double>(tokens) / seconds
              << " over " << streams << " streams, " << tokens << " tokens\n";
}

} // namespace

int main(int argc, char** argv)
{
    const unsigned streams =
        argc > 1 ? static_cast<unsigned>(std::atoi(argv[1])) : 50;
    const unsigned rounds =
        argc > 2 ? static_cast<unsigned>(std::atoi(argv[2])) : 40;
    cluster system;
    std::vector<std::string> direct;
    for (unsigned i = 0; i < engines; ++i)
    {
        const std::string name = "engine-" + std::to_string(i);
        system.start_engine(
            name, {"--slots=256", "--first-token-ms=20", "--gap-ms=0"});
        direct.push_back(system.upstream_address(name));
    }
    measure_latency(system, direct, streams, rounds);
    measure_flood(system, streams);
}
