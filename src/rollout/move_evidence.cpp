#include "rollout/move_evidence.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace bergamotusher::rollout
{

namespace
{

/// `sample` without crashes and latencies that current losses of upstreams may
/// have caused.
evidence_sample
filter_sample(const step_context& context, evidence_sample sample)
{
    if (context.now < context.memory.crashes_excluded_until)
        sample.crashed = 0;
    if (context.memory.shortage_since)
    {
        sample.first_token = {};
        sample.token_gap = {};
    }
    return sample;
}

} // namespace

void update_domain_losses(step_context& context)
{
    std::map<failure_domain, std::size_t> serving;
    for (const upstream_view& each : context.view.upstreams)
        if (each.serving)
            ++serving[each.domain];
    for (const auto& [domain, before] : context.memory.serving_by_domain)
    {
        const auto found = serving.find(domain);
        const std::size_t after = found == serving.end() ? 0 : found->second;
        if (before >= after + 2 && 2 * after < before)
            context.memory.crashes_excluded_until =
                context.now + context.policy.crash_exclusion_time;
    }
    context.memory.serving_by_domain = std::move(serving);
}

void update_capacity_shortage(step_context& context)
{
    volatile_move_state& memory = context.memory;
    std::size_t serving = 0;
    for (const auto& [domain, count] : memory.serving_by_domain)
        serving += count;
    memory.max_serving = std::max(memory.max_serving, serving);
    const bool is_short = 5 * serving <= 4 * memory.max_serving;
    if (!is_short)
        memory.shortage_since.reset();
    else if (!memory.shortage_since)
        memory.shortage_since = context.now;
    else if (
        context.now - *memory.shortage_since >=
        context.policy.max_shortage_time)
        memory.max_serving = serving;
}

void add_step_samples(step_context& context)
{
    for (const evidence_sample& sample : context.view.samples)
    {
        if (sample.key.version == context.move.to)
            continue;
        add_old_sample(context.memory.known, sample, context.now);
        context.memory.old_routes[sample.key.route] += sample.succeeded;
    }
    for (const evidence_sample& sample : context.view.samples)
    {
        if (sample.key.version != context.move.to)
            continue;
        add_new_sample(
            context.memory.known,
            context.move.tests,
            filter_sample(context, sample));
        context.memory.new_routes[sample.key.route] += sample.succeeded;
        context.move.stage_observed += sample.succeeded;
        context.memory.unsaved_evidence = true;
    }
}

} // namespace bergamotusher::rollout
