// Measures the time of one choice of an upstream, among the clients' 20 and
// among 5,000 as seen through an entry's subset.
#include "engine_model.hpp"
#include "routing/choose.hpp"
#include "routing/subset.hpp"

#include <chrono>
#include <cstdio>

using namespace bergamotusher;
using namespace bergamotusher::bench;

namespace
{

/// The mean time of one choice among `count` upstreams, in nanoseconds.
double time_choice(std::size_t count)
{
    membership::directory dir;
    routing::routing_state state;
    std::mt19937_64 random{7};
    for (std::size_t i = 0; i < count; ++i)
    {
        const engine one = instance(i);
        announce(dir, one.value, start);
        on_announced(state, one.value);
    }
    refresh_subsets(state, dir, {"n1"});
    std::vector<choice_request> requests;
    for (std::uint64_t i = 0; i < 64; ++i)
        requests.push_back(question(*make_job(random, i % 5, i), 0));
    constexpr int rounds = 50'000;
    std::size_t made = 0;
    const auto began = std::chrono::steady_clock::now();
    for (int i = 0; i < rounds; ++i)
    {
        choice_request& request = requests[i % requests.size()];
        request.draw = random();
        const auto result = choose_upstream(dir, state, request, start);
        const auto* chosen = std::get_if<choice>(&result);
        if (!chosen)
            continue;
        ++made;
        if (i % 50 == 0)
            on_dispatch(state, request, *chosen, start);
    }
    const std::chrono::duration<double, std::nano> spent =
        std::chrono::steady_clock::now() - began;
    return made == 0 ? 0 : spent.count() / rounds;
}

} // namespace

int main()
{
    for (const std::size_t count : {20, 5'000})
        std::printf(
            "one choice among %zu: %.0f ns\n", count, time_choice(count));
}
