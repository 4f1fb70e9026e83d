// Compares the routing of this system with baseline policies in virtual time,
// by the cost of 1,000 answered tokens at which the latency targets are met.
//
// Every policy gets the same requests, the same admission control and the same
// list of instances, of which it rents the first n. The result is the smallest
// n with which 95% of the requests meet their targets; the cost is the price of
// these n instances over the run, divided by the answered tokens.
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
constexpr double min_share_within_target = 0.95;
constexpr std::size_t max_instances = 30;

enum class policy
{
    production,
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

struct run_totals
{
    std::uint64_t requests = 0;
    std::uint64_t within_target = 0;
    std::uint64_t refused = 0;
    double answered_tokens = 0;
    double computed_tokens = 0;
    double instance_cost = 0;
};

/// The state of one run: a policy, a scenario and a number of instances.
struct simulation
{
    policy selected_policy = policy::production;
    scenario selected_scenario = scenario::calm;
    std::mt19937_64 random{20261204};
    std::mt19937_64 routing_random{7};
    std::vector<engine> engines;
    directory known_upstreams;
    routing_state state;
    admission::admission_state admission_queue;
    std::unordered_map<request_id, request_ptr> requests_by_id;
    std::vector<request_ptr> undispatched;
    std::size_t round_robin_count = 0;
    run_totals totals;
};

/// Returns the requests at the engine as a fraction of its slots.
double relative_load(const engine& instance)
{
    return static_cast<double>(
               instance.running.size() + instance.waiting.size()) /
           instance.value.slots;
}

/// Chooses an engine by a baseline policy. The baselines know the exact number
/// of requests at each engine and skip engines that are about to leave.
engine* choose_by_baseline(simulation& sim, time_point now)
{
    std::vector<engine*> candidates;
    for (engine& instance : sim.engines)
        if (const auto* known = find(sim.known_upstreams, instance.value.id);
            known && accepts_new_work(*known, now))
            candidates.push_back(&instance);
    if (candidates.empty())
        return nullptr;
    const auto has_lower_load = [](const engine* a, const engine* b)
    {
        return relative_load(*a) < relative_load(*b);
    };
    if (sim.selected_policy == policy::round_robin)
        return candidates[sim.round_robin_count++ % candidates.size()];
    if (sim.selected_policy == policy::least_outstanding)
        return *std::min_element(
            candidates.begin(), candidates.end(), has_lower_load);
    engine* first = candidates[sim.routing_random() % candidates.size()];
    engine* second = candidates[sim.routing_random() % candidates.size()];
    return std::min(first, second, has_lower_load);
}

engine* choose_engine(
    simulation& sim, const simulated_request& simulated, time_point now)
{
    if (sim.selected_policy != policy::production)
        return choose_by_baseline(sim, now);
    const choice_request request =
        make_choice_request(simulated, sim.routing_random());
    const auto result =
        choose_upstream(sim.known_upstreams, sim.state, request, now);
    const auto* chosen = std::get_if<choice>(&result);
    if (!chosen)
        return nullptr;
    on_dispatch(sim.state, request, *chosen, now);
    return &*std::find_if(
        sim.engines.begin(),
        sim.engines.end(),
        [chosen](const engine& instance)
        { return instance.value.id == chosen->id; });
}

/// Dispatches the admitted requests and those whose engine was lost.
void dispatch_pending(simulation& sim, time_point now)
{
    std::vector<request_ptr> remaining;
    for (const request_ptr& simulated : sim.undispatched)
        if (engine* instance = choose_engine(sim, *simulated, now))
        {
            simulated->dispatched_at = now;
            simulated->prefill_started = false;
            instance->waiting.push_back(simulated);
        }
        else
            remaining.push_back(simulated);
    sim.undispatched = std::move(remaining);
}

admission::capacity_view capacity(const simulation& sim, time_point now)
{
    admission::capacity_view view;
    for (const engine& instance : sim.engines)
        if (const auto* known = find(sim.known_upstreams, instance.value.id);
            known && accepts_new_work(*known, now))
            view.total += instance.value.slots;
    view.free =
        view.total - static_cast<double>(sim.admission_queue.running.size());
    return view;
}

void complete_request(
    simulation& sim,
    const engine& instance,
    const simulated_request& simulated,
    time_point now)
{
    const duration first = simulated.first_token - simulated.arrived_at;
    const duration gap =
        (now - simulated.first_token) / simulated.answer_tokens;
    attempt_observed observed;
    observed.target = instance.value.id;
    observed.first_token = simulated.first_token - simulated.dispatched_at;
    observed.mean_gap = gap;
    observed.recomputed_tokens = simulated.computed_tokens;
    observed.cached_tokens =
        std::max(simulated.prompt_tokens, simulated.computed_tokens) -
        simulated.computed_tokens;
    observed.answered_tokens = simulated.answer_tokens;
    on_observed(sim.state, observed, now);
    finished(sim.admission_queue, simulated.id, now);
    sim.totals.answered_tokens += simulated.answer_tokens;
    sim.totals.computed_tokens += simulated.computed_tokens;
    const bool within_target = first <= simulated.target.first_token &&
                               gap <= simulated.target.token_gap;
    sim.totals.within_target += within_target ? 1 : 0;
    sim.requests_by_id.erase(simulated.id);
}

void lose_instance(simulation& sim, engine& instance)
{
    instance.is_lost = true;
    mark_lost(sim.known_upstreams, instance.value.id);
    on_lost(sim.state, instance.value.id);
    for (auto* requests : {&instance.running, &instance.waiting})
    {
        for (const request_ptr& simulated : *requests)
        {
            if (sim.selected_scenario == scenario::domain_lost)
                simulated->avoided = {instance.value.domain};
            sim.undispatched.push_back(simulated);
        }
        requests->clear();
    }
}

/// Starts a new instance in place of one that was reclaimed.
void replace_instance(simulation& sim, engine& instance, time_point now)
{
    const std::uint64_t incarnation = instance.value.incarnation + 1;
    const auto index = static_cast<std::size_t>(&instance - sim.engines.data());
    instance = make_engine(index);
    instance.value.incarnation = incarnation;
    announce(sim.known_upstreams, instance.value, now);
    on_announced(sim.state, instance.value);
}

/// Injects the faults of the scenario that are due.
void inject_faults(simulation& sim, time_point now)
{
    const duration elapsed = now - run_start;
    if (sim.selected_scenario == scenario::one_slow && elapsed == 60s)
        sim.engines[3].slowness = 4;
    for (std::size_t i = 0; i < sim.engines.size(); ++i)
    {
        engine& instance = sim.engines[i];
        if (sim.selected_scenario == scenario::domain_lost && i % 3 == 0 &&
            elapsed == 120s)
            lose_instance(sim, instance);
        if (sim.selected_scenario != scenario::reclaim_wave || i % 4 != 0)
            continue;
        const duration notice_at = 80s + i * 2s;
        if (elapsed == notice_at)
            add_reclaim_notice(
                sim.known_upstreams, instance.value.id, now + 20s);
        if (elapsed == notice_at + 20s)
            lose_instance(sim, instance);
        if (elapsed == notice_at + 60s)
            replace_instance(sim, instance, now);
    }
}

constexpr double account_rates[] = {13, 10, 7, 5, 5};

account make_account(std::size_t index)
{
    account limits;
    limits.name = {"account" + std::to_string(index)};
    limits.requests_per_second = 1e6;
    limits.tokens_per_second = 1e9;
    limits.weight = account_rates[index];
    return limits;
}

void offer_request(simulation& sim, std::size_t account, time_point now)
{
    const request_ptr simulated =
        make_request(sim.random, account, sim.totals.requests++);
    simulated->arrived_at = now;
    sim.requests_by_id[simulated->id] = simulated;
    admission::request_info info;
    info.id = simulated->id;
    info.account = make_account(account).name;
    info.service = {"assistant-llm"};
    info.target = simulated->target;
    info.tokens = simulated->prompt_tokens / 10.0 + simulated->expected_tokens;
    info.running_time =
        simulated->target.token_gap * simulated->expected_tokens;
    info.deadline = now + simulated->target.deadline;
    const auto result = offer(
        sim.admission_queue,
        make_account(account),
        info,
        capacity(sim, now),
        now);
    if (std::holds_alternative<admission::admitted>(result))
        sim.undispatched.push_back(simulated);
    else if (std::holds_alternative<admission::refused>(result))
    {
        ++sim.totals.refused;
        sim.requests_by_id.erase(simulated->id);
    }
}

void generate_arrivals(simulation& sim, time_point now)
{
    for (std::size_t account = 0; account < 5; ++account)
    {
        const bool flooding = sim.selected_scenario == scenario::flood &&
                              account == 4 && now >= run_start + 60s &&
                              now < run_start + 180s;
        const double rate = account_rates[account] * (flooding ? 10 : 1);
        std::poisson_distribution<int> count(rate * to_seconds(step_duration));
        for (int remaining = count(sim.random); remaining > 0; --remaining)
            offer_request(sim, account, now);
    }
}

/// Delivers the load reports and cache events that were sent an interval ago,
/// so that the entry sees them one interval late, and sends new ones.
/// Announcements arrive at once.
void deliver_reports(simulation& sim, time_point now)
{
    for (engine& instance : sim.engines)
    {
        if (instance.is_lost)
            continue;
        announce(sim.known_upstreams, instance.value, now);
        on_load(sim.state, instance.load_in_flight, now);
        if (instance.events_in_flight)
            on_cache_events(sim.state, *instance.events_in_flight);
        instance.load_in_flight.id = instance.value.id;
        ++instance.load_in_flight.sequence;
        instance.load_in_flight.running =
            static_cast<std::uint32_t>(instance.running.size());
        instance.load_in_flight.tokens_per_second =
            instance.produced_tokens / to_seconds(report_interval);
        instance.produced_tokens = 0;
        instance.load_in_flight.queued =
            static_cast<std::uint32_t>(instance.waiting.size());
        const bool lost = sim.selected_scenario == scenario::cache_gaps &&
                          sim.routing_random() % 2 == 0;
        instance.pending_events.id = instance.value.id;
        ++instance.pending_events.sequence;
        instance.events_in_flight.reset();
        if (!lost)
            instance.events_in_flight = instance.pending_events;
        instance.pending_events.stored.clear();
        instance.pending_events.removed.clear();
    }
}

run_totals run_simulation(
    policy selected_policy, scenario selected_scenario, std::size_t instances)
{
    simulation sim;
    sim.selected_policy = selected_policy;
    sim.selected_scenario = selected_scenario;
    for (std::size_t i = 0; i < instances; ++i)
        sim.engines.push_back(make_engine(i));
    for (engine& instance : sim.engines)
    {
        announce(sim.known_upstreams, instance.value, run_start);
        on_announced(sim.state, instance.value);
    }
    for (auto now = run_start; now < run_start + run_length;
         now += step_duration)
    {
        if ((now - run_start) % report_interval == duration::zero())
            deliver_reports(sim, now);
        expire(sim.known_upstreams, now);
        inject_faults(sim, now);
        generate_arrivals(sim, now);
        const auto released = next(
            sim.admission_queue, {"assistant-llm"}, capacity(sim, now), now);
        for (const request_id& id : released.started)
            sim.undispatched.push_back(sim.requests_by_id[id]);
        for (const request_id& id : released.dropped)
            sim.totals.refused += sim.requests_by_id.erase(id);
        dispatch_pending(sim, now);
        for (engine& instance : sim.engines)
        {
            if (instance.is_lost)
                continue;
            for (const request_ptr& simulated : run_step(instance, now))
                complete_request(
                    sim, instance, *simulated, now + step_duration);
            sim.totals.instance_cost += instance.value.price_per_hour *
                                        to_seconds(step_duration) / 3600;
        }
    }
    return sim.totals;
}

double share_within(const run_totals& totals)
{
    return static_cast<double>(totals.within_target) /
           static_cast<double>(std::max<std::uint64_t>(1, totals.requests));
}

void print_scenario(scenario selected_scenario)
{
    for (int selected_policy = 0; selected_policy < 4; ++selected_policy)
    {
        std::size_t count = 6;
        run_totals totals =
            run_simulation(policy(selected_policy), selected_scenario, count);
        while (share_within(totals) < min_share_within_target &&
               count < max_instances)
            totals = run_simulation(
                policy(selected_policy), selected_scenario, ++count);
        std::printf(
            "%-13s %-18s %9zu %9.5f %7.1f %11.0f %8lu\n",
            scenario_names[int(selected_scenario)],
            policy_names[selected_policy],
            count,
            1000 * totals.instance_cost / totals.answered_tokens,
            100 * share_within(totals),
            totals.computed_tokens / static_cast<double>(totals.requests),
            static_cast<unsigned long>(totals.refused));
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
    for (int selected_scenario = 0; selected_scenario < 6; ++selected_scenario)
        print_scenario(scenario(selected_scenario));
}
