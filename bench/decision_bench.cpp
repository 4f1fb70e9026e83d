// Measures the decisions against baselines in virtual time: what 1,000 answered
// tokens cost when the latency targets are held.
//
// Every policy meets the same requests, the same admission and the same list
// of instances, from which it rents the first n. The smallest n that holds
// 95 in 100 requests within target is what the policy needs, and its cost is
// the price of these n instances over the run by the tokens answered.
#include "admission/admission.hpp"
#include "engine_model.hpp"
#include "membership/directory.hpp"
#include "routing/choose.hpp"

#include <algorithm>
#include <cstdio>
#include <random>

using namespace bergamotusher;
using namespace bergamotusher::bench;
using membership::directory;
using routing::routing_state;

namespace
{

constexpr duration run_length = 240s;
constexpr duration report_interval = 500ms;
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
    const choice_request request = question(work, w.draws());
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
    const job_ptr work = make_job(w.random, account, w.sum.requests++);
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

/// Announcements, load reports and cache events; what was sent at the last
/// time arrives now, so that it is late by one interval.
void report(world& w, time_point now)
{
    for (engine& one : w.engines)
    {
        if (one.gone)
            continue;
        announce(w.dir, one.value, now);
        on_load(w.state, one.sent_load, now);
        if (one.sent_events)
            on_cache_events(w.state, *one.sent_events);
        one.sent_load.id = one.value.id;
        ++one.sent_load.sequence;
        one.sent_load.running = static_cast<std::uint32_t>(one.running.size());
        one.sent_load.tokens_per_second =
            one.produced / to_seconds(report_interval);
        one.produced = 0;
        one.sent_load.queued = static_cast<std::uint32_t>(one.waiting.size());
        const bool lost = w.what == scenario::cache_gaps && w.draws() % 2 == 0;
        one.unsent.id = one.value.id;
        ++one.unsent.sequence;
        one.sent_events.reset();
        if (!lost)
            one.sent_events = one.unsent;
        one.unsent.stored.clear();
        one.unsent.removed.clear();
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

} // namespace

int main()
{
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
