// Measures the decisions against baselines in virtual time: what 1,000 answered
// tokens cost when the latency targets are held.
//
// Every policy meets the same requests, the same admission and the same list
// of instances, from which it rents the first n. The smallest n that holds
// 95 in 100 requests within target is what the policy needs, and its cost is
// the price of these n instances over the run by the tokens answered.
#include "admission/admission.hpp"
#include "membership/directory.hpp"
#include "routing/choose.hpp"
#include "routing/subset.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <list>
#include <memory>
#include <random>

using namespace bergamotusher;
using membership::directory;
using routing::routing_state;

namespace
{

constexpr time_point start{1000s};
constexpr duration run_length = 240s;
constexpr duration step = 20ms;
constexpr duration report_interval = 500ms;
constexpr duration report_lag = 500ms;
constexpr std::uint32_t block_tokens = 128;
constexpr double wanted_share = 0.95;
constexpr std::size_t most_instances = 30;

enum class policy
{
    ours,
    round_robin,
    least_outstanding,
    random_two
};
enum class scenario
{
    calm,
    reclaim_wave,
    domain_lost,
    one_slow,
    cache_gaps,
    flood
};
const char* const policy_names[] = {
    "ours", "round robin", "least outstanding", "random two"};
const char* const scenario_names[] = {
    "calm", "reclaim wave", "domain lost", "one slow", "cache gaps", "flood"};

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
    cache_events unsent;
    std::list<std::pair<time_point, load_report>> reports;
    std::list<std::pair<time_point, cache_events>> events;
};

std::size_t held_blocks(const engine& one, const job& work)
{
    std::size_t count = 0;
    while (count < work.blocks.size() && one.held.count(work.blocks[count]))
        ++count;
    return count;
}

void hold_blocks(engine& one, const job& work)
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

void admit_waiting(engine& one)
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
void begin_computing(const engine& one, job& work)
{
    const auto cached =
        static_cast<std::uint32_t>(held_blocks(one, work)) * block_tokens;
    work.computed = std::max(work.prompt, cached + 16) - cached +
                    static_cast<std::uint32_t>(work.answered);
    work.to_compute = work.computed;
    work.begun = true;
}

/// Runs the engine for one step; what it finished is returned.
std::vector<job_ptr> run(engine& one, time_point now)
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
            if (work->answered < work->answer)
                return false;
            done.push_back(work);
            return true;
        });
    return done;
}

struct totals
{
    std::uint64_t requests = 0;
    std::uint64_t within = 0;
    std::uint64_t refused = 0;
    double answered = 0;
    double computed = 0;
    double paid = 0;
};

/// One policy in one scenario with one number of instances.
struct world
{
    policy way = policy::ours;
    scenario what = scenario::calm;
    std::mt19937_64 random{20261204};
    std::mt19937_64 draws{7};
    std::vector<engine> engines;
    directory dir;
    routing_state state;
    admission::admission_state door;
    std::unordered_map<request_id, job_ptr> jobs;
    std::vector<job_ptr> homeless;
    std::size_t turn = 0;
    totals sum;
};

const char* const domains[] = {"suva", "nadi", "lautoka"};
constexpr double domain_prices[] = {1, 1.15, 1.4};

/// The list from which every policy rents: domains in turn, two classes.
engine instance(std::size_t number)
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

double uniform(world& w, double low, double high)
{
    return std::uniform_real_distribution<>(low, high)(w.random);
}

std::vector<std::uint64_t>
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
job_ptr make_job(world& w, std::size_t account, std::uint64_t number)
{
    auto work = std::make_shared<job>();
    work->id = {"r" + std::to_string(number)};
    work->account = account;
    const std::uint64_t own = 1'000'000 + number;
    if (uniform(w, 0, 1) < 0.7)
    {
        work->target = {{"chat"}, 1s, 49ms, 30s, 0, 0};
        work->prompt = static_cast<std::uint32_t>(uniform(w, 500, 1'100));
        work->answer = static_cast<std::uint32_t>(uniform(w, 30, 130));
        work->expected = 80;
        work->blocks =
            blocks_of(account + 1, 3, own, work->prompt / block_tokens);
    }
    else
    {
        work->target = {{"catalogue"}, 5s, 60ms, 60s, 0, 1};
        // Few catalogues are asked for often, most seldom.
        const auto seller =
            static_cast<std::uint64_t>(12 * std::pow(uniform(w, 0, 1), 2));
        const std::uint64_t text = 100 + 20 * account + seller;
        const auto shared = static_cast<std::uint32_t>(48 + text * 7 % 64);
        work->prompt = shared * block_tokens +
                       static_cast<std::uint32_t>(uniform(w, 60, 300));
        work->answer = static_cast<std::uint32_t>(uniform(w, 100, 300));
        work->expected = 200;
        work->blocks =
            blocks_of(text, shared, own, work->prompt / block_tokens);
    }
    return work;
}

choice_request question(world& w, const job& work)
{
    choice_request request;
    request.service = {"assistant-llm"};
    request.target = work.target;
    request.prefix_blocks = work.blocks;
    request.prompt_tokens = work.prompt;
    request.expected_tokens = work.expected;
    request.avoided = work.avoided;
    request.draw = w.draws();
    return request;
}

double outstanding(const engine& one)
{
    return static_cast<double>(one.running.size() + one.waiting.size()) /
           one.value.slots;
}

/// The baselines; all of them see exact counts and leave out who leaves.
engine* baseline(world& w, time_point now)
{
    std::vector<engine*> open;
    for (engine& one : w.engines)
        if (const auto* entry = find(w.dir, one.value.id);
            entry && may_take_work(*entry, now))
            open.push_back(&one);
    if (open.empty())
        return nullptr;
    const auto fewer = [](const engine* a, const engine* b)
    {
        return outstanding(*a) < outstanding(*b);
    };
    if (w.way == policy::round_robin)
        return open[w.turn++ % open.size()];
    if (w.way == policy::least_outstanding)
        return *std::min_element(open.begin(), open.end(), fewer);
    engine* first = open[w.draws() % open.size()];
    engine* second = open[w.draws() % open.size()];
    return std::min(first, second, fewer);
}

engine* choose(world& w, const job& work, time_point now)
{
    if (w.way != policy::ours)
        return baseline(w, now);
    const choice_request request = question(w, work);
    const auto result = choose_upstream(w.dir, w.state, request, now);
    const auto* made = std::get_if<choice>(&result);
    if (!made)
        return nullptr;
    on_dispatch(w.state, request, *made, now);
    return &*std::find_if(
        w.engines.begin(),
        w.engines.end(),
        [made](const engine& one) { return one.value.id == made->id; });
}

/// Sends what was admitted and what lost its engine.
void dispatch_all(world& w, time_point now)
{
    std::vector<job_ptr> left;
    for (const job_ptr& work : w.homeless)
        if (engine* one = choose(w, *work, now))
        {
            work->sent = now;
            work->begun = false;
            one->waiting.push_back(work);
        }
        else
            left.push_back(work);
    w.homeless = std::move(left);
}

admission::capacity_view capacity(const world& w, time_point now)
{
    admission::capacity_view view;
    for (const engine& one : w.engines)
        if (const auto* entry = find(w.dir, one.value.id);
            entry && may_take_work(*entry, now))
            view.total += one.value.slots;
    view.free = view.total - static_cast<double>(w.door.running.size());
    return view;
}

void finish(world& w, const engine& one, const job& work, time_point now)
{
    const duration first = work.first_token - work.arrived;
    const duration gap = (now - work.first_token) / work.answer;
    attempt_observed seen;
    seen.target = one.value.id;
    seen.first_token = work.first_token - work.sent;
    seen.mean_gap = gap;
    seen.recomputed_tokens = work.computed;
    seen.cached_tokens = std::max(work.prompt, work.computed) - work.computed;
    seen.answered_tokens = work.answer;
    on_observed(w.state, seen, now);
    finished(w.door, work.id, now);
    w.sum.answered += work.answer;
    w.sum.computed += work.computed;
    const bool within =
        first <= work.target.first_token && gap <= work.target.token_gap;
    w.sum.within += within ? 1 : 0;
    w.jobs.erase(work.id);
}

void lose(world& w, engine& one)
{
    one.gone = true;
    lost(w.dir, one.value.id);
    on_lost(w.state, one.value.id);
    for (auto* list : {&one.running, &one.waiting})
    {
        for (const job_ptr& work : *list)
        {
            if (w.what == scenario::domain_lost)
                work->avoided = {one.value.domain};
            w.homeless.push_back(work);
        }
        list->clear();
    }
}

/// A new instance in the place of one that was reclaimed.
void replace(world& w, engine& one, time_point now)
{
    const std::uint64_t incarnation = one.value.incarnation + 1;
    const auto number = static_cast<std::size_t>(&one - w.engines.data());
    one = instance(number);
    one.value.incarnation = incarnation;
    announce(w.dir, one.value, now);
    on_announced(w.state, one.value);
}

/// What goes wrong at this time.
void disturb(world& w, time_point now)
{
    const duration at = now - start;
    if (w.what == scenario::one_slow && at == 60s)
        w.engines[3].slowness = 4;
    for (std::size_t i = 0; i < w.engines.size(); ++i)
    {
        engine& one = w.engines[i];
        if (w.what == scenario::domain_lost && i % 3 == 0 && at == 120s)
            lose(w, one);
        if (w.what != scenario::reclaim_wave || i % 4 != 0)
            continue;
        const duration notice_at = 80s + i * 2s;
        if (at == notice_at)
            notice(w.dir, one.value.id, now + 20s);
        if (at == notice_at + 20s)
            lose(w, one);
        if (at == notice_at + 60s)
            replace(w, one, now);
    }
}

constexpr double account_rates[] = {13, 10, 7, 5, 5};

account limits_of(std::size_t number)
{
    account limits;
    limits.name = {"account" + std::to_string(number)};
    limits.requests_per_second = 1e6;
    limits.tokens_per_second = 1e9;
    limits.weight = account_rates[number];
    return limits;
}

void arrive(world& w, std::size_t account, time_point now)
{
    const job_ptr work = make_job(w, account, w.sum.requests++);
    work->arrived = now;
    w.jobs[work->id] = work;
    admission::request_info info;
    info.id = work->id;
    info.account = limits_of(account).name;
    info.service = {"assistant-llm"};
    info.target = work->target;
    info.tokens = work->prompt / 10.0 + work->expected;
    info.running_time = work->target.token_gap * work->expected;
    info.deadline = now + work->target.deadline;
    const auto result =
        offer(w.door, limits_of(account), info, capacity(w, now), now);
    if (std::holds_alternative<admission::admitted>(result))
        w.homeless.push_back(work);
    else if (std::holds_alternative<admission::refused>(result))
    {
        ++w.sum.refused;
        w.jobs.erase(work->id);
    }
}

void arrivals(world& w, time_point now)
{
    for (std::size_t account = 0; account < 5; ++account)
    {
        const bool flooding = w.what == scenario::flood && account == 4 &&
                              now >= start + 60s && now < start + 180s;
        const double rate = account_rates[account] * (flooding ? 10 : 1);
        std::poisson_distribution<int> count(rate * to_seconds(step));
        for (int left = count(w.random); left > 0; --left)
            arrive(w, account, now);
    }
}

/// Announcements, load reports with their lag, cache events with their gaps.
void report(world& w, time_point now)
{
    for (engine& one : w.engines)
    {
        if (one.gone)
            continue;
        announce(w.dir, one.value, now);
        load_report load{one.value.id};
        load.sequence = static_cast<std::uint64_t>((now - start) / step) + 1;
        load.running = static_cast<std::uint32_t>(one.running.size());
        load.queued = static_cast<std::uint32_t>(one.waiting.size());
        one.reports.emplace_back(now + report_lag, load);
        ++one.unsent.sequence;
        one.unsent.id = one.value.id;
        const bool lost = w.what == scenario::cache_gaps && w.draws() % 2 == 0;
        if (!lost)
            one.events.emplace_back(now + report_lag, one.unsent);
        one.unsent.stored.clear();
        one.unsent.removed.clear();
    }
}

void deliver(world& w, time_point now)
{
    for (engine& one : w.engines)
    {
        for (; !one.reports.empty() && one.reports.front().first <= now;
             one.reports.pop_front())
            on_load(w.state, one.reports.front().second, now);
        for (; !one.events.empty() && one.events.front().first <= now;
             one.events.pop_front())
            on_cache_events(w.state, one.events.front().second);
    }
}

totals play(policy way, scenario what, std::size_t instances)
{
    world w;
    w.way = way;
    w.what = what;
    for (std::size_t i = 0; i < instances; ++i)
        w.engines.push_back(instance(i));
    for (engine& one : w.engines)
    {
        announce(w.dir, one.value, start);
        on_announced(w.state, one.value);
    }
    for (auto now = start; now < start + run_length; now += step)
    {
        if ((now - start) % report_interval == duration::zero())
            report(w, now);
        deliver(w, now);
        expire(w.dir, now);
        disturb(w, now);
        arrivals(w, now);
        const auto then =
            next(w.door, {"assistant-llm"}, capacity(w, now), now);
        for (const request_id& id : then.started)
            w.homeless.push_back(w.jobs[id]);
        for (const request_id& id : then.dropped)
            w.sum.refused += w.jobs.erase(id);
        dispatch_all(w, now);
        for (engine& one : w.engines)
        {
            if (one.gone)
                continue;
            for (const job_ptr& work : run(one, now))
                finish(w, one, *work, now + step);
            w.sum.paid += one.value.price_per_hour * to_seconds(step) / 3600;
        }
    }
    return w.sum;
}

double share_within(const totals& sum)
{
    return static_cast<double>(sum.within) /
           static_cast<double>(std::max<std::uint64_t>(1, sum.requests));
}

void print_scenario(scenario what)
{
    for (int way = 0; way < 4; ++way)
    {
        std::size_t count = 6;
        totals sum = play(policy(way), what, count);
        while (share_within(sum) < wanted_share && count < most_instances)
            sum = play(policy(way), what, ++count);
        std::printf(
            "%-13s %-18s %9zu %9.5f %7.1f %11.0f %8lu\n",
            scenario_names[int(what)],
            policy_names[way],
            count,
            1000 * sum.paid / sum.answered,
            100 * share_within(sum),
            sum.computed / static_cast<double>(sum.requests),
            static_cast<unsigned long>(sum.refused));
        std::fflush(stdout);
    }
}

/// The mean time of one choice among `count` upstreams, in nanoseconds.
double time_choice(std::size_t count)
{
    world w;
    for (std::size_t i = 0; i < count; ++i)
    {
        const engine one = instance(i);
        announce(w.dir, one.value, start);
        on_announced(w.state, one.value);
    }
    refresh_subsets(w.state, w.dir, {"n1"});
    std::vector<choice_request> requests;
    for (std::uint64_t i = 0; i < 64; ++i)
        requests.push_back(question(w, *make_job(w, i % 5, i)));
    constexpr int rounds = 50'000;
    std::size_t made = 0;
    const auto began = std::chrono::steady_clock::now();
    for (int i = 0; i < rounds; ++i)
    {
        choice_request& request = requests[i % requests.size()];
        request.draw = w.draws();
        const auto result = choose_upstream(w.dir, w.state, request, start);
        const auto* chosen = std::get_if<choice>(&result);
        if (!chosen)
            continue;
        ++made;
        if (i % 50 == 0)
            on_dispatch(w.state, request, *chosen, start);
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

    std::printf(
        "%-13s %-18s %9s %9s %7s %11s %8s\n",
        "scenario",
        "policy",
        "instances",
        "cost/1k",
        "within%",
        "computed/rq",
        "refused");
    for (int what = 0; what < 6; ++what)
        print_scenario(scenario(what));
}
