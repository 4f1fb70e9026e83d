// A model of engines for the decision bench: continuous batches, prompts
// computed in the order of their class, and a prefix cache of limited size;
// and the requests that they meet.
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

/// Virtual time in which every run begins.
constexpr time_point start{1000s};
/// The engines' time advances by this much.
constexpr duration step = 20ms;
/// Tokens that share one place in a prefix cache.
constexpr std::uint32_t block_tokens = 128;

struct job
{
    request_id id;
    std::size_t account = 0;
    work_class target;
    std::vector<std::uint64_t> blocks;
    std::uint32_t prompt = 0;
    std::uint32_t answer = 0;
    std::uint32_t expected = 0;
    time_point arrived;
    time_point sent;
    time_point first_token;
    bool begun = false;
    double to_compute = 0;
    double answered = 0;
    std::uint32_t computed = 0;
    std::vector<failure_domain> avoided;
};
using job_ptr = std::shared_ptr<job>;

/// A model engine: continuous batches, prompts computed one after another,
/// and a prefix cache of limited size that drops what was used least lately.
struct engine
{
    upstream value;
    double prompt_rate = 0;
    double idle_gap = 0;
    std::size_t cache_blocks = 0;
    double slowness = 1;
    bool gone = false;
    std::vector<job_ptr> waiting;
    std::vector<job_ptr> running;
    std::list<std::uint64_t> cache;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> held;
    /// Tokens answered since the last report.
    double produced = 0;
    /// What it has to tell, and what it told and is under way.
    cache_events unsent;
    std::optional<cache_events> sent_events;
    load_report sent_load;
};

inline std::size_t held_blocks(const engine& one, const job& work)
{
    std::size_t count = 0;
    while (count < work.blocks.size() && one.held.count(work.blocks[count]))
        ++count;
    return count;
}

inline void hold_blocks(engine& one, const job& work)
{
    for (const std::uint64_t block : work.blocks)
    {
        if (const auto found = one.held.find(block); found != one.held.end())
            one.cache.erase(found->second);
        else
            one.unsent.stored.push_back(block);
        one.cache.push_front(block);
        one.held[block] = one.cache.begin();
    }
    while (one.cache.size() > one.cache_blocks)
    {
        one.unsent.removed.push_back(one.cache.back());
        one.held.erase(one.cache.back());
        one.cache.pop_back();
    }
}

inline void admit_waiting(engine& one)
{
    while (!one.waiting.empty() && one.running.size() < one.value.slots)
    {
        const auto next = std::min_element(
            one.waiting.begin(),
            one.waiting.end(),
            [](auto& a, auto& b)
            { return a->target.priority < b->target.priority; });
        one.running.push_back(*next);
        one.waiting.erase(next);
    }
}

/// Looks the prompt up in the cache as its computation begins.
inline void begin_computing(const engine& one, job& work)
{
    const auto cached =
        static_cast<std::uint32_t>(held_blocks(one, work)) * block_tokens;
    work.computed = std::max(work.prompt, cached + 16) - cached +
                    static_cast<std::uint32_t>(work.answered);
    work.to_compute = work.computed;
    work.begun = true;
}

/// Runs the engine for one step; what it finished is returned.
inline std::vector<job_ptr> run(engine& one, time_point now)
{
    admit_waiting(one);
    std::stable_sort(
        one.running.begin(),
        one.running.end(),
        [](auto& a, auto& b)
        { return a->target.priority < b->target.priority; });
    double budget = one.prompt_rate / one.slowness * to_seconds(step);
    double answering = 0;
    bool computing = false;
    for (const job_ptr& work : one.running)
    {
        if (!work->begun && budget > 0)
            begin_computing(one, *work);
        answering += work->begun && work->to_compute <= 0 ? 1 : 0;
        const double used = std::min(budget, work->to_compute);
        computing = computing || used > 0;
        work->to_compute -= used;
        budget -= used;
        if (used > 0 && work->to_compute <= 0)
        {
            hold_blocks(one, *work);
            if (work->first_token == time_point{})
                work->first_token = now + step;
        }
    }
    const double gap = one.idle_gap * (1 + answering / one.value.slots) *
                       one.slowness * (computing ? 1.5 : 1);
    std::vector<job_ptr> done;
    std::erase_if(
        one.running,
        [&](const job_ptr& work)
        {
            if (!work->begun || work->to_compute > 0)
                return false;
            work->answered += to_seconds(step) / gap;
            one.produced += to_seconds(step) / gap;
            if (work->answered < work->answer)
                return false;
            done.push_back(work);
            return true;
        });
    return done;
}

const char* const domains[] = {"suva", "nadi", "lautoka"};
constexpr double domain_prices[] = {1, 1.15, 1.4};

/// The list from which every policy rents: domains in turn, two classes.
inline engine instance(std::size_t number)
{
    const bool large = number / 3 % 2 == 1;
    engine one;
    one.value.id = {"w" + std::to_string(number)};
    one.value.incarnation = 1;
    one.value.service = {"assistant-llm"};
    one.value.version = {"v1"};
    one.value.domain = {domains[number % 3]};
    one.value.instance_class = large ? "large" : "small";
    one.value.slots = large ? 48 : 16;
    one.value.price_per_hour = (large ? 3.0 : 1.0) * domain_prices[number % 3];
    one.prompt_rate = large ? 14'000 : 4'000;
    one.idle_gap = large ? 0.014 : 0.022;
    one.cache_blocks = large ? 1'600 : 350;
    return one;
}

inline double uniform(std::mt19937_64& random, double low, double high)
{
    return std::uniform_real_distribution<>(low, high)(random);
}

inline std::vector<std::uint64_t>
blocks_of(std::uint64_t text, std::uint32_t shared, std::uint64_t own, int all)
{
    std::vector<std::uint64_t> blocks;
    blocks.reserve(static_cast<std::size_t>(all));
    for (int i = 0; i < all; ++i)
        blocks.push_back(
            (i < static_cast<int>(shared) ? text : own) * 1'000'003 + i + 1);
    return blocks;
}

/// A quick chat of an account's assistant, or a question on a catalogue.
inline job_ptr
make_job(std::mt19937_64& random, std::size_t account, std::uint64_t number)
{
    auto work = std::make_shared<job>();
    work->id = {"r" + std::to_string(number)};
    work->account = account;
    const std::uint64_t own = 1'000'000 + number;
    if (uniform(random, 0, 1) < 0.7)
    {
        work->target = {{"chat"}, 1s, 49ms, 30s, 0, 0};
        work->prompt = static_cast<std::uint32_t>(uniform(random, 500, 1'100));
        work->answer = static_cast<std::uint32_t>(uniform(random, 30, 130));
        work->expected = 80;
        work->blocks =
            blocks_of(account + 1, 3, own, work->prompt / block_tokens);
    }
    else
    {
        work->target = {{"catalogue"}, 5s, 60ms, 60s, 0, 1};
        // Few catalogues are asked for often, most seldom.
        const auto seller =
            static_cast<std::uint64_t>(12 * std::pow(uniform(random, 0, 1), 2));
        const std::uint64_t text = 100 + 20 * account + seller;
        const auto shared = static_cast<std::uint32_t>(48 + text * 7 % 64);
        work->prompt = shared * block_tokens +
                       static_cast<std::uint32_t>(uniform(random, 60, 300));
        work->answer = static_cast<std::uint32_t>(uniform(random, 100, 300));
        work->expected = 200;
        work->blocks =
            blocks_of(text, shared, own, work->prompt / block_tokens);
    }
    return work;
}

/// What the work asks of routing.
inline choice_request question(const job& work, std::uint64_t draw)
{
    choice_request request;
    request.service = {"assistant-llm"};
    request.target = work.target;
    request.prefix_blocks = work.blocks;
    request.prompt_tokens = work.prompt;
    request.expected_tokens = work.expected;
    request.avoided = work.avoided;
    request.draw = draw;
    return request;
}

} // namespace bergamotusher::bench
