// A simulation of model engines for decision_bench and choice_bench: continuous
// batching, prefill in the order of the requests' priorities and a prefix cache
// of limited size. Also generates the requests.
#pragma once

#include <bergamotusher/choice.hpp>
#include <bergamotusher/upstream.hpp>

#include <algorithm>
#include <cmath>
#include <list>
#include <memory>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

namespace bergamotusher::bench
{

/// The virtual time at which every run starts.
constexpr time_point run_start{1000s};
/// The simulation advances by this time.
constexpr duration step_duration = 20ms;
/// The tokens of one prefix cache block.
constexpr std::uint32_t block_tokens = 128;

/// One request and its progress.
struct simulated_request
{
    request_id id;
    std::size_t account = 0;
    work_class target;
    std::vector<std::uint64_t> blocks;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t answer_tokens = 0;
    std::uint32_t expected_tokens = 0;
    time_point arrived_at;
    time_point dispatched_at;
    time_point first_token;
    bool prefill_started = false;
    double remaining_prefill_tokens = 0;
    double answered_tokens = 0;
    std::uint32_t computed_tokens = 0;
    std::vector<failure_domain> avoided;
};
using request_ptr = std::shared_ptr<simulated_request>;

/// A model engine with continuous batching, prefill of one prompt after another
/// and a prefix cache that evicts the least recently used block.
struct engine
{
    upstream value;
    double prefill_tokens_per_second = 0;
    double idle_token_gap_seconds = 0;
    std::size_t cache_blocks = 0;
    double slowness = 1;
    bool is_lost = false;
    std::vector<request_ptr> waiting;
    std::vector<request_ptr> running;
    /// The cached blocks, the most recently used first.
    std::list<std::uint64_t> cache;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
        cached;
    /// Tokens generated since the last load report.
    double produced_tokens = 0;
    /// Cache events that are not sent yet.
    cache_events pending_events;
    /// Sent events and load report that the entry has not received yet.
    std::optional<cache_events> events_in_flight;
    load_report load_in_flight;
};

/// Returns how many blocks at the start of the prompt are cached.
inline std::size_t
count_cached_blocks(const engine& instance, const simulated_request& simulated)
{
    std::size_t count = 0;
    while (count < simulated.blocks.size() &&
           instance.cached.count(simulated.blocks[count]))
        ++count;
    return count;
}

/// Adds the prompt's blocks to the cache and evicts blocks over its size.
inline void cache_prompt(engine& instance, const simulated_request& simulated)
{
    for (const std::uint64_t block : simulated.blocks)
    {
        if (const auto found = instance.cached.find(block);
            found != instance.cached.end())
            instance.cache.erase(found->second);
        else
            instance.pending_events.stored.push_back(block);
        instance.cache.push_front(block);
        instance.cached[block] = instance.cache.begin();
    }
    while (instance.cache.size() > instance.cache_blocks)
    {
        instance.pending_events.removed.push_back(instance.cache.back());
        instance.cached.erase(instance.cache.back());
        instance.cache.pop_back();
    }
}

/// Moves waiting requests into free slots, the lowest priority number first.
inline void admit_waiting(engine& instance)
{
    while (!instance.waiting.empty() &&
           instance.running.size() < instance.value.slots)
    {
        const auto next = std::min_element(
            instance.waiting.begin(),
            instance.waiting.end(),
            [](auto& a, auto& b)
            { return a->target.priority < b->target.priority; });
        instance.running.push_back(*next);
        instance.waiting.erase(next);
    }
}

/// Starts the prefill of the part of the prompt that is not cached, at least 16
/// tokens, and of the tokens that earlier attempts answered.
inline void start_prefill(const engine& instance, simulated_request& simulated)
{
    const auto cached_tokens =
        static_cast<std::uint32_t>(count_cached_blocks(instance, simulated)) *
        block_tokens;
    simulated.computed_tokens =
        std::max(simulated.prompt_tokens, cached_tokens + 16) - cached_tokens +
        static_cast<std::uint32_t>(simulated.answered_tokens);
    simulated.remaining_prefill_tokens = simulated.computed_tokens;
    simulated.prefill_started = true;
}

/// Runs the engine for one step. Returns the requests that are complete.
inline std::vector<request_ptr> run_step(engine& instance, time_point now)
{
    admit_waiting(instance);
    std::stable_sort(
        instance.running.begin(),
        instance.running.end(),
        [](auto& a, auto& b)
        { return a->target.priority < b->target.priority; });
    double token_budget = instance.prefill_tokens_per_second /
                          instance.slowness * to_seconds(step_duration);
    double decoding_requests = 0;
    bool prefill_running = false;
    for (const request_ptr& simulated : instance.running)
    {
        if (!simulated->prefill_started && token_budget > 0)
            start_prefill(instance, *simulated);
        decoding_requests += simulated->prefill_started &&
                                     simulated->remaining_prefill_tokens <= 0
                                 ? 1
                                 : 0;
        const double used_tokens =
            std::min(token_budget, simulated->remaining_prefill_tokens);
        prefill_running = prefill_running || used_tokens > 0;
        simulated->remaining_prefill_tokens -= used_tokens;
        token_budget -= used_tokens;
        if (used_tokens > 0 && simulated->remaining_prefill_tokens <= 0)
        {
            cache_prompt(instance, *simulated);
            if (simulated->first_token == time_point{})
                simulated->first_token = now + step_duration;
        }
    }
    const double token_gap_seconds =
        instance.idle_token_gap_seconds *
        (1 + decoding_requests / instance.value.slots) * instance.slowness *
        (prefill_running ? 1.5 : 1);
    std::vector<request_ptr> completed;
    std::erase_if(
        instance.running,
        [&](const request_ptr& simulated)
        {
            if (!simulated->prefill_started ||
                simulated->remaining_prefill_tokens > 0)
                return false;
            simulated->answered_tokens +=
                to_seconds(step_duration) / token_gap_seconds;
            instance.produced_tokens +=
                to_seconds(step_duration) / token_gap_seconds;
            if (simulated->answered_tokens < simulated->answer_tokens)
                return false;
            completed.push_back(simulated);
            return true;
        });
    return completed;
}

const char* const domains[] = {"suva", "nadi", "lautoka"};
constexpr double domain_prices[] = {1, 1.15, 1.4};

/// Returns the instance `index` of the list from which every policy rents. The
/// failure domains alternate, and there are two instance classes.
inline engine make_engine(std::size_t index)
{
    const bool large = index / 3 % 2 == 1;
    engine instance;
    instance.value.id = {"w" + std::to_string(index)};
    instance.value.incarnation = 1;
    instance.value.service = {"assistant-llm"};
    instance.value.version = {"v1"};
    instance.value.domain = {domains[index % 3]};
    instance.value.instance_class = large ? "large" : "small";
    instance.value.slots = large ? 48 : 16;
    instance.value.price_per_hour =
        (large ? 3.0 : 1.0) * domain_prices[index % 3];
    instance.prefill_tokens_per_second = large ? 14'000 : 4'000;
    instance.idle_token_gap_seconds = large ? 0.014 : 0.022;
    instance.cache_blocks = large ? 1'600 : 350;
    return instance;
}

inline double uniform(std::mt19937_64& random, double low, double high)
{
    return std::uniform_real_distribution<>(low, high)(random);
}

/// Returns the blocks of a prompt whose first `shared_blocks` blocks are those
/// of `shared_text`.
inline std::vector<std::uint64_t> make_blocks(
    std::uint64_t shared_text,
    std::uint32_t shared_blocks,
    std::uint64_t own_text,
    int block_count)
{
    std::vector<std::uint64_t> blocks;
    blocks.reserve(static_cast<std::size_t>(block_count));
    for (int i = 0; i < block_count; ++i)
        blocks.push_back(
            (i < static_cast<int>(shared_blocks) ? shared_text : own_text) *
                1'000'003 +
            i + 1);
    return blocks;
}

/// Returns a random request: with a probability of 0.7 a short chat with an
/// account's assistant, otherwise a question about a catalogue with a long
/// shared prefix.
inline request_ptr
make_request(std::mt19937_64& random, std::size_t account, std::uint64_t index)
{
    auto simulated = std::make_shared<simulated_request>();
    simulated->id = {"r" + std::to_string(index)};
    simulated->account = account;
    const std::uint64_t own_text = 1'000'000 + index;
    if (uniform(random, 0, 1) < 0.7)
    {
        simulated->target = {{"chat"}, 1s, 49ms, 30s, 0, 0};
        simulated->prompt_tokens =
            static_cast<std::uint32_t>(uniform(random, 500, 1'100));
        simulated->answer_tokens =
            static_cast<std::uint32_t>(uniform(random, 30, 130));
        simulated->expected_tokens = 80;
        simulated->blocks = make_blocks(
            account + 1, 3, own_text, simulated->prompt_tokens / block_tokens);
    }
    else
    {
        simulated->target = {{"catalogue"}, 5s, 60ms, 60s, 0, 1};
        // A few catalogues are requested often, most of them seldom.
        const auto catalogue =
            static_cast<std::uint64_t>(12 * std::pow(uniform(random, 0, 1), 2));
        const std::uint64_t shared_text = 100 + 20 * account + catalogue;
        const auto shared_blocks =
            static_cast<std::uint32_t>(48 + shared_text * 7 % 64);
        simulated->prompt_tokens =
            shared_blocks * block_tokens +
            static_cast<std::uint32_t>(uniform(random, 60, 300));
        simulated->answer_tokens =
            static_cast<std::uint32_t>(uniform(random, 100, 300));
        simulated->expected_tokens = 200;
        simulated->blocks = make_blocks(
            shared_text,
            shared_blocks,
            own_text,
            simulated->prompt_tokens / block_tokens);
    }
    return simulated;
}

/// Returns the routing parameters of the request.
inline choice_request
make_choice_request(const simulated_request& simulated, std::uint64_t draw)
{
    choice_request request;
    request.service = {"assistant-llm"};
    request.target = simulated.target;
    request.prefix_blocks = simulated.blocks;
    request.prompt_tokens = simulated.prompt_tokens;
    request.expected_tokens = simulated.expected_tokens;
    request.avoided = simulated.avoided;
    request.draw = draw;
    return request;
}

} // namespace bergamotusher::bench
