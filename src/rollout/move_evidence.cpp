#include "rollout/move_evidence.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace bergamotusher::rollout
{

namespace
{

/// What `sample` says at a time when some of it can be blamed on losses.
evidence_sample admissible(const step_context& at, evidence_sample sample)
{
    if (at.now < at.memory.disturbed_until)
        sample.crashed = 0;
    if (at.memory.short_since)
    {
        sample.first_token = {};
        sample.token_gap = {};
    }
    return sample;
}

} // namespace

void watch_domains(step_context& at)
{
    std::map<failure_domain, std::size_t> serving;
    for (const upstream_view& each : at.view.upstreams)
        if (each.serving)
            ++serving[each.domain];
    for (const auto& [domain, before] : at.memory.serving)
    {
        const auto found = serving.find(domain);
        const std::size_t after = found == serving.end() ? 0 : found->second;
        if (before >= after + 2 && 2 * after < before)
            at.memory.disturbed_until = at.now + at.policy.disturbed_time;
    }
    at.memory.serving = std::move(serving);
}

void watch_capacity(step_context& at)
{
    move_memory& memory = at.memory;
    std::size_t serving = 0;
    for (const auto& [domain, count] : memory.serving)
        serving += count;
    memory.most_serving = std::max(memory.most_serving, serving);
    const bool is_short = 5 * serving <= 4 * memory.most_serving;
    if (!is_short)
        memory.short_since.reset();
    else if (!memory.short_since)
        memory.short_since = at.now;
    else if (at.now - *memory.short_since >= at.policy.longest_shortage)
        memory.most_serving = serving;
}

void absorb(step_context& at)
{
    for (const evidence_sample& sample : at.view.samples)
    {
        if (sample.key.version == at.move.to)
            continue;
        absorb_old(at.memory.known, sample, at.now);
        at.memory.old_routes[sample.key.route] += sample.succeeded;
    }
    for (const evidence_sample& sample : at.view.samples)
    {
        if (sample.key.version != at.move.to)
            continue;
        absorb_new(at.memory.known, at.move.tests, admissible(at, sample));
        at.memory.new_routes[sample.key.route] += sample.succeeded;
        at.move.stage_observed += sample.succeeded;
        at.memory.unsaved_evidence = true;
    }
}

} // namespace bergamotusher::rollout
