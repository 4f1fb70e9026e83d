#include "daemon/admission_gate.hpp"

#include "routing/choose.hpp"
#include "serving/stream_resume.hpp"
#include "wire/budget.pb.h"

#include <algorithm>
#include <set>

namespace bergamotusher
{

namespace
{

/// Answer length assumed for a request without a token limit.
constexpr double default_answer_tokens = 256;
/// Token cost of a call of a plain service.
constexpr double plain_call_tokens = 1;

// Total and free slots of a service over all its serving upstreams.
admission::capacity_view service_capacity(
    const upstream_view& view, const service_name& name, time_point now)
{
    const auto slots =
        routing::count_slots(view.directory, view.routing, name, now);
    return {slots.total, slots.free};
}

double estimate_tokens(const caller_request& request)
{
    if (request.kind != upstream_kind::engine)
        return plain_call_tokens;
    const auto body = serving::parse_engine_body(request.body);
    if (!body)
        return plain_call_tokens;
    const double answer =
        body->max_tokens > 0 ? body->max_tokens : default_answer_tokens;
    return body->prompt_tokens + answer;
}

const work_class*
find_class(const configuration& config, const caller_request& request)
{
    const auto service = config.services.find(request.service);
    if (service == config.services.end())
        return nullptr;
    const auto found = config.classes.find(
        request.wanted_class.empty() ? service->second.default_class
                                     : request.wanted_class);
    return found == config.classes.end() ? nullptr : &found->second;
}

answer_error
rejection(const request_id& id, error_kind kind, duration retry_after)
{
    return {id, id, {kind, ""}, run_claim::not_run, retry_after};
}

admission::request_info make_request_info(
    const admission_gate& gate,
    const caller_request& request,
    const work_class& target,
    time_point now)
{
    admission::request_info info;
    info.id = request.id;
    info.account = request.account;
    info.service = request.service;
    info.target = target;
    info.tokens = estimate_tokens(request);
    const auto queue = gate.state.services.find(request.service);
    if (queue != gate.state.services.end())
        info.running_time = from_seconds(queue->second.holding_seconds);
    info.deadline = now + target.deadline;
    return info;
}

caller_request remove_waiting(admission_gate& gate, const request_id& id)
{
    const auto found = gate.waiting.find(id);
    caller_request request = std::move(found->second);
    gate.waiting.erase(found);
    return request;
}

std::int64_t to_microseconds(time_point at)
{
    return at.time_since_epoch().count();
}

} // namespace

gate_result offer(
    admission_gate& gate,
    const upstream_view& view,
    const configuration& config,
    caller_request request,
    time_point now)
{
    const auto owner = config.accounts.find(request.account);
    const work_class* target = find_class(config, request);
    if (owner == config.accounts.end() || target == nullptr)
        return gate_admitted{std::move(request)};
    const auto decision = admission::offer(
        gate.state,
        owner->second,
        make_request_info(gate, request, *target, now),
        service_capacity(view, request.service, now),
        now);
    if (const auto* no = std::get_if<admission::refused>(&decision))
        return rejection(request.id, no->kind, no->retry_after);
    if (std::holds_alternative<admission::admitted>(decision))
        return gate_admitted{std::move(request)};
    const request_id id = request.id;
    gate.waiting[id] = std::move(request);
    return gate_waiting{};
}

gate_update
start_waiting(admission_gate& gate, const upstream_view& view, time_point now)
{
    gate_update result;
    if (gate.waiting.empty())
        return result;
    std::set<service_name> services;
    for (const auto& [id, request] : gate.waiting)
        services.insert(request.service);
    for (const service_name& name : services)
    {
        const auto next = admission::next(
            gate.state, name, service_capacity(view, name, now), now);
        for (const request_id& id : next.started)
            result.started.push_back(remove_waiting(gate, id));
        for (const request_id& id : next.dropped)
        {
            remove_waiting(gate, id);
            result.refused.push_back(
                rejection(id, error_kind::overloaded, duration(1s)));
        }
    }
    return result;
}

std::vector<caller_request> remove_all_waiting(admission_gate& gate)
{
    std::vector<caller_request> result;
    while (!gate.waiting.empty())
    {
        const request_id id = gate.waiting.begin()->first;
        admission::withdraw(
            gate.state, gate.waiting.begin()->second.service, id);
        result.push_back(remove_waiting(gate, id));
    }
    return result;
}

bool withdraw(admission_gate& gate, const request_id& id)
{
    const auto found = gate.waiting.find(id);
    if (found == gate.waiting.end())
        return false;
    admission::withdraw(gate.state, found->second.service, id);
    gate.waiting.erase(found);
    return true;
}

void record_finished(admission_gate& gate, const request_id& id, time_point now)
{
    admission::finished(gate.state, id, now);
}

std::string
ask_budgets(admission_gate& gate, const configuration& config, time_point now)
{
    wire::account_shares ask;
    ask.set_asked_at_us(to_microseconds(now));
    for (auto& [name, budget] : gate.state.budgets)
    {
        const auto owner = config.accounts.find(name);
        if (owner == config.accounts.end())
            continue;
        auto* share = ask.add_shares();
        share->set_account(name.value);
        share->set_share(admission::wanted_share(budget, owner->second, now));
    }
    return ask.shares_size() == 0 ? std::string() : ask.SerializeAsString();
}

std::string grant_budgets(
    admission_gate& gate,
    const node_id& entry,
    std::string_view ask,
    bool leads,
    time_point now)
{
    if (!leads)
    {
        gate.leading_since.reset();
        return {};
    }
    if (!gate.leading_since)
    {
        gate.leading_since = now;
        gate.ledger = {};
    }
    // The leases of an earlier leader are valid for up to `budget_lease`;
    // granting sooner could exceed an account's limit.
    if (now - *gate.leading_since < admission::budget_lease)
        return {};
    wire::account_shares wanted;
    if (!wanted.ParseFromArray(ask.data(), static_cast<int>(ask.size())))
        return {};
    for (auto& share : *wanted.mutable_shares())
        share.set_share(admission::grant_share(
            gate.ledger,
            {share.account()},
            entry,
            std::clamp(share.share(), 0.0, 1.0),
            now));
    return wanted.SerializeAsString();
}

bool apply_budgets(admission_gate& gate, std::string_view answer)
{
    wire::account_shares granted;
    if (!granted.ParseFromArray(answer.data(), static_cast<int>(answer.size())))
        return false;
    const time_point asked_at{duration(granted.asked_at_us())};
    for (const auto& share : granted.shares())
    {
        const auto found = gate.state.budgets.find({share.account()});
        if (found != gate.state.budgets.end())
            admission::apply_lease(found->second, share.share(), asked_at);
    }
    return true;
}

} // namespace bergamotusher
