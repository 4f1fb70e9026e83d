#include "gateway/control_link.hpp"

#include "base/clock.hpp"
#include "site/site_codec.hpp"
#include "wire/site.pb.h"

#include <algorithm>

namespace bergamotusher::gateway
{

namespace
{

namespace pb = wire::site;
using observe::decision;
using observe::log_line;

} // namespace

control_link::control_link(
    control_link_options options,
    entry_view& view,
    relay& requests,
    observe::decision_log& log,
    send_function send)
    : options_(std::move(options))
    , view_(view)
    , relay_(requests)
    , log_(log)
    , send_(std::move(send))
    , started_at_(uptime())
{
    view_.usage_window = options_.usage_window;
    view_.directory_awaited = true;
    for (const node_id& seed : options_.seeds)
        nodes_[seed] = {};
}

bool control_link::ready(time_point now) const
{
    return !draining_ && view_.site != nullptr && now < view_.site_valid_until;
}

void control_link::add_seeds(const std::vector<node_id>& seeds)
{
    options_.seeds = seeds;
    for (const node_id& seed : seeds)
        nodes_.emplace(seed, control_node{});
}

void control_link::drain(time_point now)
{
    draining_ = true;
    send_reports(now);
}

void control_link::tick(time_point now)
{
    const bool valid = view_.site != nullptr && now < view_.site_valid_until;
    if (valid != was_valid_)
    {
        was_valid_ = valid;
        log_.write(
            log_line(decision::lease_changed)
                .with("valid", valid ? 1 : 0)
                .with(
                    "site_version",
                    view_.site ? view_.site->value.version : std::uint64_t{0})
                .with("leader", leader_.value),
            now);
    }
    view_.time_offset_ms = true_time_ms(clock_, time_of_day(), now) -
                           now.time_since_epoch().count() / 1000;
    if (now < report_at_)
    {
        if (view_.limits_pressed &&
            now - told_leader_at_ >= options_.pressed_interval)
            send_to_leader(now);
        return;
    }
    for (auto& [id, node] : nodes_)
    {
        const bool lost = node.asked_at != time_point{} &&
                          now - node.answered_at > options_.node_patience;
        if (lost == node.lost)
            continue;
        node.lost = lost;
        log_.write(
            log_line(
                lost ? decision::dependency_lost
                     : decision::dependency_regained)
                .with("dependency", "control")
                .with("control_node", id.value),
            now);
    }
    forget(view_.directory, options_.keep, now);
    send_reports(now);
}

void control_link::send_reports(time_point now)
{
    report_at_ = now + (ready(now) || draining_ ? options_.report_interval
                                                : options_.urgent_interval);
    const std::string brief = report(now, false);
    for (auto& [id, node] : nodes_)
    {
        if (node.asked_at == time_point{})
            node.answered_at = now;
        node.asked_at = now;
        if (id == leader_)
            send_to_leader(now);
        else
            send_(id, brief);
    }
}

void control_link::send_to_leader(time_point now)
{
    view_.limits_pressed = false;
    told_leader_at_ = now;
    if (!leader_.empty())
        send_(leader_, report(now, true));
}

std::string control_link::report(time_point now, bool to_leader)
{
    pb::entry_report report;
    report.set_asked_at_us(now.time_since_epoch().count());
    report.set_time_of_day_ms(time_of_day().milliseconds);
    report.set_site_version(view_.site ? view_.site->value.version : 0);
    report.set_ready(ready(now));
    report.set_caller_address(options_.caller_address);
    report.set_domain(options_.domain.value);
    report.set_directory_digest(view_.directory.digest);
    const std::uint64_t newest =
        view_.usage.empty() ? 0 : view_.usage.rbegin()->first;
    view_.usage.erase(
        view_.usage.begin(),
        view_.usage.lower_bound(
            newest - std::min(newest, options_.windows_told)));
    if (!to_leader)
        return report.SerializeAsString();
    report.set_uptime_us((now - started_at_).count());
    for (auto& [account, usage] : view_.usage_of_limits)
    {
        const double admitted =
            admission::admitted_within(usage, options_.limits.bound, now);
        if (admitted <= 0)
            continue;
        pb::account_amount& amount = *report.add_admitted();
        amount.set_account(account.value);
        amount.set_amount(admitted);
    }
    for (const auto& [window, counts] : view_.usage)
        for (const auto& [account, begun] : counts)
        {
            pb::usage_count& count = *report.add_usage();
            count.set_window(window);
            count.set_account(account.value);
            count.set_begun(begun);
        }
    // Empty windows are told too: without a report they would not be closed.
    const std::uint64_t current = usage_window_at(view_, now);
    if (view_.site && !view_.site->value.accounts.empty() &&
        view_.usage.count(current) == 0)
    {
        pb::usage_count& count = *report.add_usage();
        count.set_window(current);
        count.set_account(view_.site->value.accounts.front().name.value);
        count.set_begun(0);
    }
    for (const auto& [key, seen] : view_.tallies)
    {
        pb::version_tally& tally = *report.add_tallies();
        tally.set_service(key.service.value);
        tally.set_version(key.version.value);
        tally.set_route(key.route);
        tally.set_sent(seen.sent);
        tally.set_good(seen.good);
        tally.set_bad(seen.bad);
        tally.set_timed(seen.timed);
        tally.set_log_sum(seen.log_sum);
    }
    const double seconds =
        std::max(0.05, to_seconds(now - std::exchange(rated_at_, now)));
    for (const auto& [service, counts] : view_.services)
    {
        pb::service_load& load = *report.add_loads();
        service_counts& before = rated_[service];
        load.set_service(service.value);
        load.set_running(counts.running);
        load.set_waiting(counts.waiting);
        load.set_prompt_rate(
            static_cast<double>(
                counts.prompt_tokens_read - before.prompt_tokens_read) /
            seconds);
        before = counts;
    }
    return report.SerializeAsString();
}

void control_link::take_site(
    std::uint64_t version, const std::string& content, time_point now)
{
    const std::uint64_t held = view_.site ? view_.site->value.version : 0;
    if (version <= held)
        return;
    auto parsed = options_.parse(content);
    if (const auto* wrong = std::get_if<failure>(&parsed))
    {
        log_.write(
            log_line(decision::site_rejected)
                .with("version", version)
                .with("reason", wrong->detail),
            now);
        return;
    }
    view_.site =
        site::make_lookup(std::move(std::get<site::configuration>(parsed)));
    log_.write(
        log_line(decision::site_changed)
            .with("version", version)
            .with("before", held),
        now);
}

void control_link::on_control_report(
    const node_id& from, std::string_view bytes)
{
    pb::control_report report;
    if (!report.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return;
    const time_point now = uptime();
    control_node& node = nodes_[from];
    node.answered_at = now;
    note_clock(clock_, from, {report.time_of_day_ms()}, now);
    if (!report.site().empty())
        take_site(report.site_version(), report.site(), now);
    const std::uint64_t held = view_.site ? view_.site->value.version : 0;
    if (report.confirmed_age_us() >= 0 && report.asked_at_us() != 0 &&
        report.site_version() <= held && view_.site)
    {
        const time_point asked{duration(report.asked_at_us())};
        view_.site_valid_until = std::max(
            view_.site_valid_until,
            asked - duration(report.confirmed_age_us()) + options_.site_lease);
        if (now < view_.site_valid_until)
        {
            relay_.site_confirmed();
            // The control nodes hand the entry out once they know.
            if (!was_valid_)
                report_at_ = now;
        }
    }
    if (!report.leader().empty() && report.leader() != leader_.value)
    {
        log_.write(
            log_line(decision::leader_changed)
                .with("leader", report.leader())
                .with("before", leader_.value)
                .with("from", from.value),
            now);
        leader_.value = report.leader();
    }
    if (report.members_size() > 0)
    {
        std::set<node_id> members;
        for (const std::string& each : report.members())
            members.insert({each});
        for (const node_id& each : members)
            nodes_.emplace(each, control_node{});
        // Seeds may be the only way back; others go once nobody names them.
        for (auto i = nodes_.begin(); i != nodes_.end();)
        {
            const bool is_seed =
                std::find(
                    options_.seeds.begin(), options_.seeds.end(), i->first) !=
                options_.seeds.end();
            const bool gone =
                members.count(i->first) == 0 && !is_seed && report.is_leader();
            i = gone ? nodes_.erase(i) : std::next(i);
        }
    }
    bool moved = false;
    for (const pb::move_value& each : report.moves())
    {
        site::version_move move = site::read(each);
        site::version_move& known = view_.moves[move.service];
        const bool newer =
            move.number > known.number ||
            (move.number == known.number &&
             (move.state > known.state ||
              (move.state == known.state && move.share > known.share)));
        if (!newer)
            continue;
        known = std::move(move);
        moved = true;
        log_.write(
            log_line(decision::move_changed)
                .with("service", known.service.value)
                .with("target", known.target.value)
                .with("state", to_name(known.state))
                .with("share", known.share),
            now);
    }
    if (report.entries() > 0)
        view_.entries = report.entries();
    if (report.is_leader() && report.asked_at_us() != 0)
    {
        view_.allowances.clear();
        for (const pb::account_amount& each : report.allowances())
            view_.allowances[{each.account()}] = each.amount();
        view_.allowances_at = time_point{duration(report.asked_at_us())};
    }
    if (report.is_leader())
    {
        std::set<std::string> silent(
            report.silent_upstreams().begin(), report.silent_upstreams().end());
        for (auto& [id, upstream] : view_.upstreams)
            upstream->is_silent = silent.count(id.value) > 0;
    }
    if (moved)
        relay_.upstreams_changed();
}

void control_link::on_directory(const node_id& from, std::string_view bytes)
{
    const auto news = site::decode_directory(bytes);
    if (!news)
        return;
    const time_point now = uptime();
    view_.directory_awaited = false;
    bool changed = false;
    for (const site::upstream& each : *news)
    {
        if (merge(view_.directory, each, now) != site::merge_outcome::changed)
            continue;
        changed = true;
        log_.write(
            log_line(decision::upstream_changed)
                .with("upstream", each.id.value)
                .with("service", each.service.value)
                .with("address", each.address)
                .with("state", to_name(each.state))
                .with("sequence", each.sequence)
                .with("from", from.value),
            now);
    }
    if (changed)
        relay_.upstreams_changed();
}

} // namespace bergamotusher::gateway
