#include "gateway/control_link.hpp"

#include "base/clock.hpp"
#include "site/site_codec.hpp"
#include "wire/site.pb.h"

#include <algorithm>
#include <random>

namespace bergamotusher::gateway
{

namespace
{

namespace pb = wire::site;
using observe::decision;
using observe::log_line;

/// Each node gets every n-th report. While the entry is not ready it reports
/// often, to a few nodes at a time: all entries do so at once when the control
/// nodes are overloaded or have just started.
std::uint64_t rounds_between_reports(
    const control_link_options& options,
    bool is_ready,
    bool is_leader,
    std::size_t nodes)
{
    if (is_ready)
        return is_leader ? 1 : options.leader_reports_per_report;
    const std::size_t at_once = options.unready_reports_at_once;
    return std::max<std::uint64_t>(1, (nodes + at_once - 1) / at_once);
}

/// The least time between two reports of this entry to the leader.
duration leader_report_interval(
    const control_link_options& options, const entry_view& view)
{
    const duration leader_time = view.is_grant_awaited
                                     ? options.leader_time_per_awaited_grant
                                     : options.leader_time_per_report;
    return std::clamp(
        view.entries * leader_time,
        options.min_leader_report_interval,
        options.max_leader_report_interval);
}

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
    , run_id_(std::random_device{}() | 1U)
{
    view_.usage_window = options_.usage_window;
    view_.awaiting_directory = true;
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
    if (valid != site_was_valid_)
    {
        site_was_valid_ = valid;
        log_.write(
            log_line(decision::lease_changed)
                .with("valid", valid ? 1 : 0)
                .with(
                    "site_version",
                    view_.site ? view_.site->value.version : std::uint64_t{0})
                .with("leader", leader_.value),
            now);
    }
    view_.true_time_offset_ms = true_time_ms(clock_, time_of_day(), now) -
                                now.time_since_epoch().count() / 1000;
    step_exchanges(now);
    if (view_.crashes.is_report_due && now < next_report_at_ &&
        now - crashes_reported_at_ >= options_.min_leader_report_interval)
    {
        reports_to_all_ = true;
        return send_reports(now);
    }
    if (view_.is_limit_report_due && now < next_report_at_ &&
        now - limits_reported_at_ >= options_.min_leader_report_interval)
    {
        reports_to_all_ = true;
        return send_reports(now);
    }
    if (now < next_report_at_)
    {
        if ((view_.limits_nearly_used || view_.is_grant_awaited) &&
            now - leader_reported_at_ >=
                leader_report_interval(options_, view_))
            send_leader_report(now);
        return;
    }
    for (auto& [id, node] : nodes_)
    {
        const bool lost = node.last_report_at != time_point{} &&
                          now - node.last_reply_at > options_.node_timeout;
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
    remove_expired(view_.directory, options_.upstream_retention, now);
    drop_obsolete(
        view_.upstream_limits,
        view_.directory,
        true_time(view_, now) / 1ms - options_.withdrawn_limit_retention / 1ms);
    send_reports(now);
}

void control_link::send_reports(time_point now)
{
    next_report_at_ =
        now + (ready(now) || draining_ ? options_.report_interval
                                       : options_.unready_report_interval);
    if (std::exchange(view_.crashes.is_report_due, false))
    {
        reports_to_all_ = true;
        crashes_reported_at_ = now;
    }
    if (std::exchange(view_.is_limit_report_due, false))
    {
        reports_to_all_ = true;
        limits_reported_at_ = now;
    }
    const std::string base_report = encode_report(now, false);
    ++report_round_;
    const bool is_urgent = draining_ || std::exchange(reports_to_all_, false);
    std::size_t index = 0;
    for (auto& [id, node] : nodes_)
    {
        const bool is_leader = id == leader_;
        const std::uint64_t rounds = rounds_between_reports(
            options_, ready(now), is_leader, nodes_.size());
        const bool is_turn = (report_round_ + index++) % rounds == 0;
        if (!is_turn && !is_urgent)
            continue;
        if (node.last_report_at == time_point{})
            node.last_reply_at = now;
        node.last_report_at = now;
        if (!is_leader)
            send_report(id, base_report);
        // An early report to the leader takes the place of this one, and the
        // leader of many entries gets one in some rounds only.
        else if (
            is_urgent || now - leader_reported_at_ >=
                             leader_report_interval(options_, view_))
            send_leader_report(now);
    }
}

void control_link::send_leader_report(time_point now)
{
    view_.limits_nearly_used = false;
    view_.is_grant_awaited = false;
    leader_reported_at_ = now;
    if (!leader_.empty())
        send_report(leader_, encode_report(now, true));
}

void control_link::write_limit_use(pb::entry_report& report, time_point now)
{
    for (auto& [account, usage] : view_.limit_usage)
    {
        const double admitted =
            admission::admitted_within(usage, options_.limits.bound, now);
        if (admitted > 0)
            site::write(*report.add_admitted(), account, admitted);
    }
    for (const auto& [account, amount] : view_.grants)
        site::write(*report.add_held_grants(), account, amount);
    report.set_held_since_us(
        view_.grants_reported_at.time_since_epoch().count());
    for (const auto& [account, amount] : view_.wanted)
        site::write(*report.add_wanted(), account, amount);
    reported_wanted_ = std::exchange(view_.wanted, {});
}

void control_link::install_grants(
    const pb::control_report& report, time_point report_sent_at)
{
    view_.grants_reported_at = report_sent_at;
    view_.grants = site::read_amounts(report.allowances());
    view_.exhausted_limits.clear();
    for (const auto& [account, amount] : reported_wanted_)
        if (view_.grants[account] < view_.limit_usage[account].sum + amount)
            view_.exhausted_limits.insert(account);
    relay_.on_limits_granted(report_sent_at);
}

void control_link::write_crashes(pb::entry_report& report, time_point now) const
{
    const crash_watch& crashes = view_.crashes;
    for (const admission::crash_evidence& each : crashes.deaths)
    {
        pb::crash_evidence& death = *report.add_deaths();
        death.set_subject(each.subject);
        death.set_upstream(each.died.upstream.value);
        death.set_started_ms(each.died.started_ms);
        death.set_age_us((now - each.at).count());
        death.set_answered_age_us(
            each.answered_at == time_point{}
                ? -1
                : (now - each.answered_at).count());
    }
    for (const admission::subject_since& each : crashes.answers)
        site::write(*report.add_answered(), each, now);
    for (const auto& each :
         quarantined_subjects(crashes.options, crashes.ledger, now))
        site::write(*report.add_quarantined(), each, now);
}

void control_link::read_crashes(
    const pb::control_report& report, time_point now)
{
    crash_watch& crashes = view_.crashes;
    for (const std::uint64_t subject : report.suspects())
        note_suspect(crashes, subject);
    for (const pb::subject_state& each : report.answered())
        record_answered(
            crashes.ledger, each.subject(), now - duration(each.age_us()));
    bool suspended = false;
    for (const pb::subject_state& each : report.quarantined())
        if (record_quarantine(
                crashes.options, crashes.ledger, site::read(each, now), now))
        {
            suspended = true;
            log_.write(
                log_line(decision::content_suspended)
                    .with("subject", each.subject())
                    .with("age_ms", duration(each.age_us())),
                now);
        }
    if (suspended)
        relay_.on_content_suspended();
}

std::string control_link::encode_limits() const
{
    pb::entry_report report;
    for (const site::stated_limit& each : statements(view_.upstream_limits))
        site::write(*report.add_limits(), each);
    return report.SerializeAsString();
}

void control_link::send_report(const node_id& to, const std::string& report)
{
    const auto node = nodes_.find(to);
    const bool lacks_limits =
        node != nodes_.end() && !node->second.lost &&
        node->second.limit_digest != view_.upstream_limits.digest;
    // Two encoded parts of a message are one message.
    send_(to, lacks_limits ? report + encode_limits() : report);
}

void control_link::read_limits(
    const node_id& from, const pb::control_report& report, time_point now)
{
    nodes_[from].limit_digest = report.limit_digest();
    const std::int64_t now_ms = true_time(view_, now) / 1ms;
    for (const site::stated_limit& each :
         site::read_limits(report.limits(), now_ms))
    {
        if (!record_limit(view_, each))
            continue;
        relay_.on_limits_changed();
        log_.write(
            log_line(decision::upstream_limited)
                .with("upstream", each.upstream.value)
                .with("requests_per_s", each.requests_per_s.value_or(-1))
                .with("age_ms", now_ms - each.read_at_ms)
                .with("from", from.value),
            now);
    }
    // Only the leader's list of entries is one that all entries go by.
    if (report.entry_number() > 0 && report.is_leader() && from == leader_)
        view_.seat = {report.entry_number() - 1, report.entry_count()};
}

std::string control_link::encode_report(time_point now, bool to_leader)
{
    pb::entry_report report;
    report.set_asked_at_us(now.time_since_epoch().count());
    report.set_time_of_day_ms(time_of_day().milliseconds);
    report.set_site_version(view_.site ? view_.site->value.version : 0);
    report.set_run_id(run_id_);
    report.set_ready(ready(now));
    report.set_caller_address(options_.caller_address);
    report.set_domain(options_.domain.value);
    report.set_directory_digest(view_.directory.digest);
    write_crashes(report, now);
    report.set_limit_digest(view_.upstream_limits.digest);
    const std::uint64_t newest_window =
        view_.started_requests.empty() ? 0
                                       : view_.started_requests.rbegin()->first;
    view_.started_requests.erase(
        view_.started_requests.begin(),
        view_.started_requests.lower_bound(
            newest_window -
            std::min(newest_window, options_.usage_windows_reported)));
    if (!to_leader)
        return report.SerializeAsString();
    report.set_uptime_us((now - started_at_).count());
    write_limit_use(report, now);
    for (const auto& [window, counts] : view_.started_requests)
        for (const auto& [account, started] : counts)
        {
            pb::usage_count& count = *report.add_usage();
            count.set_window(window);
            count.set_account(account.value);
            count.set_begun(started);
        }
    // A window without requests is reported too: the control nodes close a
    // usage window only once it was reported.
    const std::uint64_t current = usage_window_at(view_, now);
    if (view_.site && !view_.site->value.accounts.empty() &&
        view_.started_requests.count(current) == 0)
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
        tally.set_good(seen.successes);
        tally.set_bad(seen.failures);
        tally.set_timed(seen.latency_samples);
        tally.set_log_sum(seen.log_latency_sum);
    }
    const double seconds =
        std::max(0.05, to_seconds(now - std::exchange(rates_since_, now)));
    for (const auto& [service, counts] : view_.services)
    {
        pb::service_load& load = *report.add_loads();
        service_counts& before = rate_baseline_[service];
        load.set_service(service.value);
        load.set_running(counts.running);
        load.set_waiting(counts.waiting);
        load.set_prompt_rate(
            static_cast<double>(counts.prefill_tokens - before.prefill_tokens) /
            seconds);
        load.set_request_rate(
            static_cast<double>(counts.sent - before.sent) / seconds);
        load.set_arrival_rate(
            static_cast<double>(counts.arrived - before.arrived) / seconds);
        load.set_refused_rate(
            static_cast<double>(
                counts.refused_for_limits - before.refused_for_limits) /
            seconds);
        before = counts;
        site::write(
            *load.mutable_prefill_speed(), view_.prefill_speeds[service]);
    }
    return report.SerializeAsString();
}

void control_link::install_site(
    std::uint64_t version, const std::string& content, time_point now)
{
    const std::uint64_t held = view_.site ? view_.site->value.version : 0;
    if (version <= held)
        return;
    auto parsed = options_.parse(content);
    if (const auto* error = std::get_if<failure>(&parsed))
    {
        log_.write(
            log_line(decision::site_rejected)
                .with("version", version)
                .with("reason", error->detail),
            now);
        return;
    }
    view_.site = site::index_configuration(
        std::move(std::get<site::configuration>(parsed)));
    // Services set the rates of their upstreams.
    relay_.on_upstreams_changed();
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
    node.last_reply_at = now;
    record_clock_sample(clock_, from, {report.time_of_day_ms()}, now);
    // Before the lease is renewed: an entry that starts, or was cut off, sends
    // nothing until it knows the newest evacuations.
    install_evacuations(from, report, now);
    if (!report.site().empty())
        install_site(report.site_version(), report.site(), now);
    const std::uint64_t held = view_.site ? view_.site->value.version : 0;
    const time_point report_sent_at{duration(report.asked_at_us())};
    // A control node may repeat what an earlier process at this address sent,
    // by another clock.
    const bool is_own_report =
        report_sent_at >= started_at_ && report_sent_at <= now;
    if (report.confirmed_age_us() >= 0 && is_own_report &&
        report.site_version() <= held && view_.site)
    {
        view_.site_confirmed_at = std::max(
            view_.site_confirmed_at,
            report_sent_at - duration(report.confirmed_age_us()));
        view_.site_valid_until = view_.site_confirmed_at + options_.site_lease;
        if (now < view_.site_valid_until)
        {
            relay_.on_site_confirmed();
            // Control nodes list the entry for callers only after it reports
            // that it is ready, so it reports at once.
            if (!site_was_valid_)
            {
                next_report_at_ = now;
                reports_to_all_ = true;
            }
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
        // Configured nodes are kept, since they may be the only way to reach
        // the cluster again. Others are dropped once the leader no longer lists
        // them.
        for (auto i = nodes_.begin(); i != nodes_.end();)
        {
            const bool is_seed =
                std::find(
                    options_.seeds.begin(), options_.seeds.end(), i->first) !=
                options_.seeds.end();
            const bool remove_node =
                members.count(i->first) == 0 && !is_seed && report.is_leader();
            i = remove_node ? nodes_.erase(i) : std::next(i);
        }
    }
    bool moves_changed = false;
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
        moves_changed = true;
        log_.write(
            log_line(decision::move_changed)
                .with("service", known.service.value)
                .with("target", known.target.value)
                .with("state", to_name(known.state))
                .with("share", known.share),
            now);
    }
    if (report.directory_digest() == view_.directory.digest)
        confirm_all(view_.directory, now);
    if (report.entries() > 0)
        view_.entries = report.entries();
    // The ledger of another node does not count what this node granted.
    if (report.allowances_size() > 0 && from == leader_ && is_own_report &&
        report_sent_at > view_.grants_reported_at)
        install_grants(report, report_sent_at);
    for (const pb::service_speed& each : report.speeds())
        routing::adopt_shared_speed(
            options_.prefill_speed,
            view_.prefill_speeds[{each.service()}],
            site::read(each.prefill_speed()));
    read_crashes(report, now);
    read_limits(from, report, now);
    if (report.is_leader())
    {
        read_rooms(report, now);
        std::set<std::string> silent(
            report.silent_upstreams().begin(), report.silent_upstreams().end());
        for (auto& [id, upstream] : view_.upstreams)
            upstream->is_silent = silent.count(id.value) > 0;
    }
    if (moves_changed)
        relay_.on_upstreams_changed();
}

void control_link::on_directory(const node_id& from, std::string_view bytes)
{
    const auto directory = site::decode_directory(bytes);
    if (!directory)
        return;
    const time_point now = uptime();
    if (directory->is_settled)
        view_.awaiting_directory = false;
    const std::uint64_t digest_before = view_.directory.digest;
    std::set<upstream_id> listed;
    for (const auto& [value, age] : directory->upstreams)
    {
        listed.insert(value.id);
        if (merge(view_.directory, value, now, age) !=
            site::merge_outcome::changed)
            continue;
        log_.write(
            log_line(decision::upstream_changed)
                .with("upstream", value.id.value)
                .with("service", value.service.value)
                .with("address", value.address)
                .with("state", to_name(value.state))
                .with("sequence", value.sequence)
                .with("from", from.value),
            now);
    }
    if (directory->is_complete)
        remove_unlisted(
            view_.directory, listed, options_.unlisted_retention, now);
    if (view_.directory.digest != digest_before)
        relay_.on_upstreams_changed();
}

} // namespace bergamotusher::gateway
