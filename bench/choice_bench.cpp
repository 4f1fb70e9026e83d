// Measures the time of one choice of an upstream, among 20 (the size of the
// clients' services) and among 5,000, of which an entry uses a subset.
#include "engine_model.hpp"
#include "routing/choose.hpp"
#include "routing/subset.hpp"

#include <chrono>
#include <cstdio>

using namespace bergamotusher;
using namespace bergamotusher::bench;

namespace
{

/// Returns the mean time of one choice, in nanoseconds; 0 if no choice
/// succeeded.
double measure_choice_nanoseconds(std::size_t upstream_count)
{
    membership::directory upstreams;
    routing::routing_state state;
    std::mt19937_64 random{7};
    for (std::size_t i = 0; i < upstream_count; ++i)
    {
        const engine announced = make_engine(i);
        announce(upstreams, announced.value, run_start);
        on_announced(state, announced.value);
    }
    refresh_subsets(state, upstreams, {"n1"});
    std::vector<choice_request> requests;
    for (std::uint64_t i = 0; i < 64; ++i)
        requests.push_back(
            make_choice_request(*make_request(random, i % 5, i), 0));
    constexpr int choice_count = 50'000;
    std::size_t successful_choices = 0;
    const auto start_time = std::chrono::steady_clock::now();
    for (int i = 0; i < choice_count; ++i)
    {
        choice_request& request = requests[i % requests.size()];
        request.draw = random();
        const auto result =
            choose_upstream(upstreams, state, request, run_start);
        const auto* chosen = std::get_if<choice>(&result);
        if (!chosen)
            continue;
        ++successful_choices;
        if (i % 50 == 0)
            on_dispatch(state, request, *chosen, run_start);
    }
    const std::chrono::duration<double, std::nano> elapsed =
        std::chrono::steady_clock::now() - start_time;
    return successful_choices == 0 ? 0 : elapsed.count() / choice_count;
}

} // namespace

int main()
{
    for (const std::size_t upstream_count : {20, 5'000})
        std::printf(
            "one choice among %zu: %.0f ns\n",
            upstream_count,
            measure_choice_nanoseconds(upstream_count));
}
