// The part of the relay that keeps accounts to their limits.
#include "base/clock.hpp"
#include "gateway/relay_request.hpp"

#include <cmath>
#include <utility>

namespace bergamotusher::gateway
{

bool relay::admit(const request_ptr& req)
{
    if (req->account == nullptr || req->account->rate <= 0)
        return true;
    const time_point now = uptime();
    const site::account& account = *req->account;
    double amount = 1;
    if (account.counts_tokens)
        amount = req->facts.prompt_tokens
                     ? static_cast<double>(
                           *req->facts.prompt_tokens +
                           req->facts.output_tokens.value_or(0))
                     : account.default_tokens;
    const admission::window_bound& bound = options_.limits.bound;
    admission::window_usage& usage = view_.limit_usage[account.name];
    const auto granted = view_.grants.find(account.name);
    std::optional<admission::held_grant> grant;
    if (granted != view_.grants.end())
        grant = {granted->second, view_.grants_reported_at};
    const double allowed = admission::allowed_amount(
        options_.limits,
        grant,
        admission::window_total(bound, account.rate, account.burst),
        view_.entries,
        now - started_at_,
        now);
    const double used_before = usage.sum;
    const auto wait = admission::admit(
        usage,
        bound,
        allowed,
        amount,
        now,
        admission::treatment_of_large_amounts(
            options_.limits, grant, now - started_at_));
    // A request that takes a large part of the grant is reported early.
    constexpr double urgent_report_fraction = 0.25;
    if (amount > urgent_report_fraction * (allowed - used_before))
        view_.limits_nearly_used = true;
    if (!wait)
        return true;
    double& wanted = view_.wanted[account.name];
    if (!req->waiting_for_grant_since)
        wanted += amount;
    if (wait_for_grant(req))
    {
        view_.is_grant_awaited = true;
        return false;
    }
    reject(
        req,
        error_kind::rate_limited,
        "the account's limit: " + std::to_string(std::llround(amount)) +
            " wanted, " + std::to_string(std::llround(usage.sum)) +
            " used of " + std::to_string(std::llround(allowed)) +
            (grant ? ", granted in answer to a report of " +
                         std::to_string((now - grant->reported_at) / 1ms) +
                         " ms ago"
                   : ", an equal part"),
        *wait);
    return false;
}

bool relay::wait_for_grant(const request_ptr& req)
{
    // An entry that was refused what it asked for need not ask again for each
    // request until the next answer.
    if (req->waiting_for_grant_since ||
        view_.exhausted_limits.count(req->account->name) > 0 ||
        waiting_for_grant_.size() >= options_.waiting_max)
        return false;
    req->waiting_for_grant_since = uptime();
    waiting_for_grant_.push_back(req);
    return true;
}

void relay::on_limits_granted(time_point report_sent_at)
{
    for (const request_ptr& req : std::exchange(waiting_for_grant_, {}))
    {
        if (requests_.count(req->number) == 0)
            continue;
        if (*req->waiting_for_grant_since >= report_sent_at)
            waiting_for_grant_.push_back(req);
        else if (admit(req))
            place(req);
    }
}

void relay::stop_waiting_for_grants(time_point now)
{
    for (const request_ptr& req : std::exchange(waiting_for_grant_, {}))
    {
        if (requests_.count(req->number) == 0)
            continue;
        if (now - *req->waiting_for_grant_since < options_.grant_wait_max)
            waiting_for_grant_.push_back(req);
        else if (admit(req))
            place(req);
    }
}

} // namespace bergamotusher::gateway
