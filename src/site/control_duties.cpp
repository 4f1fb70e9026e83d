// The duties of the control service on the leader: judging version moves,
// closing and reporting usage windows, and renting upstreams.
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

/// Interval between two rounds of renting.
constexpr duration rent_interval = 500ms;
/// The time in which a new leader hears of all arrivals.
constexpr duration rooms_delay = 1500ms;
/// A usage report without a successful answer is sent again after this time.
constexpr duration usage_report_timeout = 1500ms;

} // namespace

void control_service::update_leadership()
{
    const time_point now = uptime();
    const auto fence = order_fence(*control_, now);
    const bool is_leader = fence.has_value();
    if (is_leader == is_leader_ && (!is_leader || fence->term == leader_term_))
        return;
    is_leader_ = is_leader;
    leader_term_ = is_leader ? fence->term : 0;
    leader_since_ = now;
    rent_state_ = {};
    rooms_.clear();
    request_times_.clear();
    next_rooms_at_ = now + rooms_delay;
    delivered_windows_.clear();
    usage_sent_at_.clear();
    closing_windows_.clear();
    judged_moves_.clear();
    limit_usage_ = {};
    limit_usage_.created_at = now;
    set_ceilings(limit_usage_, options_.limits, site_->limit_ceilings, now);
    log_.write(
        log_line(decision::leader_changed)
            .with("leads", is_leader ? 1 : 0)
            .with("term", status_of(*control_).term)
            .with("leader", status_of(*control_).leader.value),
        now);
}

bool control_service::may_act(time_point now) const
{
    // Nobody can have performed a duty before the first leader.
    constexpr std::uint64_t first_term = 1;
    const auto fence = order_fence(*control_, now);
    return is_leader_ && fence && fence->term == leader_term_ &&
           leader_term_ != fenced_term_ &&
           (leader_term_ == first_term ||
            now >= leader_since_ + options_.duty_handover_delay);
}

void control_service::run_leader_duties(time_point now)
{
    const std::int64_t now_ms = true_time_ms(clock_, time_of_day(), now);
    judge_moves(now_ms);
    close_windows(now_ms);
    update_ceilings(now);
    drop_expired_windows(options_.usage, usage_, now_ms);
    update_rooms(now);
    if (now >= next_rent_at_)
    {
        next_rent_at_ = now + rent_interval;
        send_rent_orders(now);
    }
}

void control_service::judge_moves(std::int64_t now_ms)
{
    for (const auto& [service, move] : site_->moves)
    {
        if (move.state != move_state::active)
            continue;
        if (judged_moves_[service] != move.number)
        {
            judged_moves_[service] = move.number;
            for (auto& [source, load] : entry_loads_)
                load->baseline = load->counts;
        }
        std::map<std::string, version_evidence> routes;
        for (const auto& [source, load] : entry_loads_)
            add_evidence(routes, move, load->counts, load->baseline);
        std::vector<version_evidence> evidence;
        evidence.reserve(routes.size());
        for (auto& [route, each] : routes)
            evidence.push_back(std::move(each));
        const version_move next = advance(
            options_.moves,
            move,
            evidence,
            count_ready(directory_, move.service, move.target),
            now_ms);
        if (!(next == move))
            propose_change(
                encode_advance_move(next, time_of_day()),
                [](const std::optional<command_outcome>&)
                {
                    // The move is judged again with the next tick.
                });
    }
}

void control_service::close_windows(std::int64_t now_ms)
{
    const time_point now = uptime();
    if (!options_.duties.report_usage || !may_act(now))
        return;
    for (const usage_window& window :
         windows_to_close(options_.usage, usage_, site_->windows, now_ms))
        if (closing_windows_.insert(window.number).second)
            propose_change(
                encode_close_window(window, time_of_day()),
                [this,
                 number = window.number](const std::optional<command_outcome>&)
                { closing_windows_.erase(number); });
    for (const usage_window& window : site_->windows)
    {
        const std::int64_t ended_ms =
            static_cast<std::int64_t>(window.number + 1) *
            options_.usage.window_ms;
        if (delivered_windows_.count(window.number) > 0 ||
            now_ms - ended_ms > options_.usage.report_expiry_ms ||
            (usage_sent_at_.count(window.number) > 0 &&
             now < usage_sent_at_[window.number] + usage_report_timeout))
            continue;
        usage_sent_at_[window.number] = now;
        const std::uint64_t term = leader_term_;
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
                    delivered_windows_.insert(number);
                else if (answer == duty_answer::fenced)
                    fenced_term_ = term;
            });
    }
}

void control_service::send_rent_orders(time_point now)
{
    if (!options_.duties.rent || !may_act(now) || !site_->current)
        return;
    for (const service& each : site_->current->value.services)
    {
        service_demand demand;
        demand.evacuated = site_->evacuated.domains;
        const auto move = site_->moves.find(each.name);
        demand.is_moving = move != site_->moves.end() &&
                           move->second.state == move_state::active;
        std::vector<routing::prefill_speed> speeds;
        for (const auto& [source, load] : entry_loads_)
        {
            const auto found = load->demands.find(each.name);
            if (found == load->demands.end() ||
                now - load->reported_at > options_.entry_timeout)
                continue;
            demand.requests += found->second.requests;
            demand.prompt_tokens += found->second.prompt_tokens;
            demand.request_rate += found->second.request_rate;
            demand.refused_rate += found->second.refused_rate;
            speeds.push_back(found->second.speed);
        }
        for (const auto& [id, upstream] : directory_.upstreams)
            if (upstream.value.service == each.name &&
                upstream.value.state == upstream_state::ready)
                if (const auto limit = limit_of(
                        upstream_limits_, id, upstream.value.started_ms))
                    demand.limits.push_back(*limit);
        const routing::prefill_speed median = routing::median_speed(
            options_.rent.prefill_speed, std::move(speeds));
        if (median.samples > 0)
            prefill_speeds_[each.name] = median;
        const auto known = prefill_speeds_.find(each.name);
        if (known != prefill_speeds_.end())
            demand.speed = known->second;
        for (const target_count& wanted : due_orders(
                 options_.rent, rent_state_, each, demand, directory_, now))
        {
            const std::uint64_t term = leader_term_;
            options_.duties.rent(
                {term, wanted.key, wanted.count},
                [this,
                 wanted,
                 term,
                 demand,
                 basis = rent_state_.last_basis[each.name]](duty_answer answer)
                {
                    const time_point answered_at = uptime();
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
                            .with("prefill_speed", demand.speed.tokens_per_ms)
                            .with("need", basis.need)
                            .with(
                                "reclaimable_ready", basis.trusted_reclaimable)
                            .with("on_demand_ready", basis.on_demand)
                            .with(
                                "reclaimed_lately",
                                basis.reclaimed_lately ? 1 : 0)
                            .with("fence", term)
                            .with("answer", to_name(answer)),
                        answered_at);
                    if (answer == duty_answer::accepted)
                        record_acceptance(
                            options_.rent, rent_state_, wanted.key);
                    else if (answer == duty_answer::unavailable)
                        record_refusal(
                            options_.rent,
                            rent_state_,
                            wanted.key,
                            answered_at);
                    else if (answer == duty_answer::fenced)
                        fenced_term_ = term;
                });
        }
    }
}

} // namespace bergamotusher::site
