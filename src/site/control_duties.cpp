// What the control service does where its node leads.
#include "base/clock.hpp"
#include "site/control_service.hpp"
#include "site/entry_load.hpp"

#include <algorithm>

namespace bergamotusher::site
{

namespace
{

using observe::decision;
using observe::log_line;

/// Between two rounds of renting.
constexpr duration rent_interval = 500ms;
/// A call to the platform without an answer is made again after this.
constexpr duration report_again = 1500ms;

} // namespace

void control_service::note_leadership()
{
    const time_point now = uptime();
    const auto fence = order_fence(*control_, now);
    const bool leads = fence.has_value();
    if (leads == leads_ && (!leads || fence->term == lead_term_))
        return;
    leads_ = leads;
    lead_term_ = leads ? fence->term : 0;
    leads_since_ = now;
    rented_ = {};
    delivered_.clear();
    reported_.clear();
    closing_.clear();
    judged_.clear();
    uses_ = {};
    log_.write(
        log_line(decision::leader_changed)
            .with("leads", leads ? 1 : 0)
            .with("term", status_of(*control_).term)
            .with("leader", status_of(*control_).leader.value),
        now);
}

bool control_service::may_act(time_point now) const
{
    // Nobody can have acted before the first leader.
    constexpr std::uint64_t first_term = 1;
    const auto fence = order_fence(*control_, now);
    return leads_ && fence && fence->term == lead_term_ &&
           lead_term_ != fenced_term_ &&
           (lead_term_ == first_term ||
            now >= leads_since_ + options_.duty_pause);
}

void control_service::lead(time_point now)
{
    const std::int64_t now_ms = true_time_ms(clock_, time_of_day(), now);
    judge_moves(now_ms);
    close_windows(now_ms);
    forget_windows(options_.usage, usage_, now_ms);
    if (now >= rent_at_)
    {
        rent_at_ = now + rent_interval;
        rent(now);
    }
}

void control_service::judge_moves(std::int64_t now_ms)
{
    for (const auto& [service, move] : shown_.moves)
    {
        if (move.state != move_state::active)
            continue;
        if (judged_[service] != move.number)
        {
            judged_[service] = move.number;
            for (auto& [source, load] : loads_)
                load->base = load->tallies;
        }
        std::map<std::string, version_evidence> routes;
        for (const auto& [source, load] : loads_)
            for (const auto& [key, seen] : load->tallies)
            {
                const auto& [of, version, route] = key;
                if (of != service.value)
                    continue;
                tally since = seen;
                const auto base = load->base.find(key);
                if (base != load->base.end())
                {
                    since.good -= std::min(since.good, base->second.good);
                    since.bad -= std::min(since.bad, base->second.bad);
                    since.timed -= std::min(since.timed, base->second.timed);
                    since.log_sum -= base->second.log_sum;
                }
                version_evidence& sum = routes[route];
                sum.route = route;
                const bool is_new = version == move.target.value;
                (is_new ? sum.new_good : sum.old_good) += since.good;
                (is_new ? sum.new_bad : sum.old_bad) += since.bad;
                (is_new ? sum.new_timed : sum.old_timed) += since.timed;
                (is_new ? sum.new_log_sum : sum.old_log_sum) += since.log_sum;
            }
        std::vector<version_evidence> evidence;
        evidence.reserve(routes.size());
        for (auto& [route, each] : routes)
            evidence.push_back(std::move(each));
        const version_move next =
            advance(options_.moves, move, evidence, now_ms);
        if (!(next == move))
            propose_change(
                encode_advance_move(next, time_of_day()),
                [](const std::optional<command_outcome>&)
                {
                    // Judged again with the next tick.
                });
    }
}

void control_service::close_windows(std::int64_t now_ms)
{
    const time_point now = uptime();
    if (!options_.duties.report_usage || !may_act(now))
        return;
    for (const usage_window& window :
         due_windows(options_.usage, usage_, shown_.windows, now_ms))
        if (closing_.insert(window.number).second)
            propose_change(
                encode_close_window(window, time_of_day()),
                [this,
                 number = window.number](const std::optional<command_outcome>&)
                { closing_.erase(number); });
    for (const usage_window& window : shown_.windows)
    {
        const std::int64_t ended =
            static_cast<std::int64_t>(window.number + 1) *
            options_.usage.window_ms;
        if (delivered_.count(window.number) > 0 ||
            now_ms - ended > options_.usage.give_up_after_ms ||
            (reported_.count(window.number) > 0 &&
             now < reported_[window.number] + report_again))
            continue;
        reported_[window.number] = now;
        const std::uint64_t term = lead_term_;
        options_.duties.report_usage(
            {term, window},
            [this, number = window.number, term](duty_answer answer)
            {
                log_.write(
                    log_line(decision::usage_reported)
                        .with("window", number)
                        .with("fence", term)
                        .with("answer", to_name(answer)),
                    uptime());
                if (answer == duty_answer::accepted)
                    delivered_.insert(number);
                else if (answer == duty_answer::fenced)
                    fenced_term_ = term;
            });
    }
}

void control_service::rent(time_point now)
{
    if (!options_.duties.rent || !may_act(now) || !shown_.current)
        return;
    for (const service& each : shown_.current->value.services)
    {
        service_demand demand;
        for (const auto& [source, load] : loads_)
        {
            const auto found = load->demands.find(each.name);
            if (found == load->demands.end() ||
                now - load->heard_at > options_.entry_patience)
                continue;
            demand.requests += found->second.requests;
            demand.prompt_tokens += found->second.prompt_tokens;
        }
        for (const wanted_count& wanted :
             orders_due(options_.rent, rented_, each, demand, directory_, now))
        {
            const std::uint64_t term = lead_term_;
            options_.duties.rent(
                {term, wanted.key, wanted.count},
                [this,
                 wanted,
                 term,
                 demand,
                 basis = rented_.last_basis[each.name]](duty_answer answer)
                {
                    const time_point answered = uptime();
                    log_.write(
                        log_line(decision::rent_ordered)
                            .with("service", wanted.key.service.value)
                            .with("domain", wanted.key.domain.value)
                            .with(
                                "reclaimable",
                                wanted.key.paid_as == market::reclaimable ? 1
                                                                          : 0)
                            .with("count", wanted.count)
                            .with("requests", demand.requests)
                            .with("prompt_rate", demand.prompt_tokens)
                            .with("need", basis.need)
                            .with("reclaimable_ready", basis.reclaimable)
                            .with("on_demand_ready", basis.on_demand)
                            .with("reclaimed_lately", basis.reclaimed ? 1 : 0)
                            .with("fence", term)
                            .with("answer", to_name(answer)),
                        answered);
                    if (answer == duty_answer::accepted)
                        note_accepted(options_.rent, rented_, wanted.key);
                    else if (answer == duty_answer::unavailable)
                        note_refused(
                            options_.rent, rented_, wanted.key, answered);
                    else if (answer == duty_answer::fenced)
                        fenced_term_ = term;
                });
        }
    }
}

} // namespace bergamotusher::site
