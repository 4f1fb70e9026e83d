#include "site/control_service.hpp"

#include "base/clock.hpp"
#include "site/entry_load.hpp"
#include "site/evacuation_log.hpp"
#include "site/site_codec.hpp"
#include "wire/site.pb.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace bergamotusher::site
{

namespace
{

namespace pb = wire::site;
using observe::decision;
using observe::log_line;

/// Interval of the periodic work.
constexpr duration tick_interval = 100ms;
/// Interval of the housekeeping of what upstreams and entries told.
constexpr duration refresh_interval = 1s;
constexpr std::size_t peer_mailbox_capacity = 4096;
constexpr std::size_t control_mailbox_capacity = 1024;
/// Announcements that an upstream may miss before it is reported as silent.
constexpr int max_missed_announcements = 4;

std::optional<duration>
age_of(const std::optional<time_point>& at, time_point now)
{
    return at ? std::optional(now - *at) : std::nullopt;
}

} // namespace

control_service::control_service(
    boost::asio::io_context& loop,
    control_service_options options,
    configuration_parser parse,
    observe::decision_log& log)
    : loop_(loop)
    , timer_(loop)
    , options_(std::move(options))
    , log_(log)
    , store_(
          parse,
          [this]
          {
              if (!state_change_posted_.exchange(true))
                  boost::asio::post(
                      loop_,
                      [this]
                      {
                          state_change_posted_ = false;
                          on_state_changed();
                      });
          })
    , flush_timer_(loop)
    , started_at_(uptime())
{
}

control_service::~control_service() = default;

state_machine control_service::replicated_state_machine()
{
    state_machine machine;
    machine.apply = [this](std::uint64_t index, const std::string& command)
    {
        return store_.apply(index, command);
    };
    machine.snapshot = [this]
    {
        return store_.snapshot();
    };
    machine.restore = [this](std::uint64_t, const std::string& bytes)
    {
        if (const std::error_code error = store_.restore(bytes))
            throw std::system_error(error, "cannot read a snapshot");
    };
    return machine;
}

void control_service::connect(control_duty& control, peers_duty& peers)
{
    control_ = &control;
    peer_sender_ = &make_sender(peers, peer_mailbox_capacity);
    peers_ = &peers;
    peer_inbox_ = std::make_unique<mailbox<incoming_message>>(
        loop_,
        peer_mailbox_capacity,
        [this](incoming_message&& message)
        {
            if (message.kind == wire::entry_report)
                on_entry_report(message);
            else
                on_directory(message);
        });
    proposal_answers_ = std::make_unique<mailbox<proposal_answer>>(
        loop_,
        control_mailbox_capacity,
        [this](proposal_answer&& answer) { on_proposal_answer(answer); });
    proposer_ = &make_proposer(
        control,
        control_mailbox_capacity,
        [this](control_message&& news)
        {
            if (auto* answer = std::get_if<proposal_answer>(&news))
                proposal_answers_->push(std::move(*answer));
            // Both the state and its confirmation come from the control thread,
            // so that the confirmation is of the state applied by now.
            else if (auto* lease = std::get_if<configuration_lease>(&news))
                store_.confirm(lease->confirmed_at);
        });
    for (const auto kind : {wire::entry_report, wire::site_directory})
        on_message(
            peers,
            kind,
            [this](incoming_message&& message)
            { peer_inbox_->push(std::move(message)); });
}

void control_service::start()
{
    schedule();
}

void control_service::configure_seeds(std::vector<node_id> seeds)
{
    options_.seeds = std::move(seeds);
}

void control_service::schedule()
{
    timer_.expires_after(tick_interval);
    timer_.async_wait(
        [this](const boost::system::error_code& error)
        {
            if (error)
                return;
            tick();
            schedule();
        });
}

void control_service::send(
    const node_id& to, wire::message_kind kind, std::string body)
{
    bergamotusher::send(*peer_sender_, {to, kind, std::move(body)});
}

std::set<node_id> control_service::control_nodes() const
{
    const control_status status = status_of(*control_);
    std::set<node_id> nodes(options_.seeds.begin(), options_.seeds.end());
    if (status.commit > 0)
        nodes.clear();
    for (const auto* ids : {&status.members.voters, &status.members.learners})
        nodes.insert(ids->begin(), ids->end());
    nodes.erase(options_.self);
    return nodes;
}

void control_service::on_state_changed()
{
    const measured_step step(steps_, "read the replicated state");
    const confirmed_site newest = store_.read();
    site_confirmed_at_ = newest.confirmed_at;
    const auto before = std::exchange(site_, newest.state);
    if (site_ == before)
        return;
    const time_point now = uptime();
    if (site_->departures != before->departures)
    {
        apply_departures(now);
        acknowledge_departures(site_->departures);
    }
    if (is_leader_)
        set_ceilings(limit_usage_, options_.limits, site_->limit_ceilings, now);
    if (site_->version != before->version)
    {
        limit_totals_.clear();
        if (site_->current)
            for (const account& each : site_->current->value.accounts)
                if (each.rate > 0)
                    limit_totals_[each.name] = admission::window_total(
                        options_.limits.bound, each.rate, each.burst);
        log_.write(
            log_line(decision::site_changed)
                .with("version", site_->version)
                .with("before", before->version)
                .with("applied", site_->applied),
            now);
    }
    if (site_->moves != before->moves)
        for (const auto& [service, move] : site_->moves)
            log_.write(
                log_line(decision::move_changed)
                    .with("service", service.value)
                    .with("target", move.target.value)
                    .with("number", move.number)
                    .with("state", to_name(move.state))
                    .with("share", move.share)
                    .with("reason", move.reason),
                now);
    const bool has_new_orders =
        site_->moves != before->moves || site_->evacuated != before->evacuated;
    if (site_->evacuated != before->evacuated)
        log_evacuations(log_, site_->evacuated, before->evacuated, "site", now);
    if (site_->version == before->version && !has_new_orders)
        return;
    // The leader tells entries at once; other nodes tell them in reply to their
    // next report. Of versions in quick succession, ticks tell the newest.
    const bool is_due = has_new_orders || now - entries_told_at_ >=
                                              options_.entry_sync.site_interval;
    if (is_due && status_of(*control_).role == consensus::role::leader)
        tell_entries();
}

void control_service::tell_entries()
{
    last_told_entry_ = {};
    entries_told_at_ = uptime();
    if (!std::exchange(is_telling_entries_, true))
        tell_next_entries();
}

void control_service::tell_next_entries()
{
    const measured_step step(steps_, "sent reports to entries");
    constexpr int entries_per_step = 16;
    auto next = entries_.upper_bound(last_told_entry_);
    for (int i = 0; i < entries_per_step && next != entries_.end(); ++i, ++next)
    {
        last_told_entry_ = next->first;
        send_report(next->first, 0, false);
    }
    is_telling_entries_ = next != entries_.end();
    if (is_telling_entries_)
        boost::asio::post(loop_, [this] { tell_next_entries(); });
}

void control_service::send_missing_sites(time_point now)
{
    std::vector<node_id> due;
    for (const auto& [id, entry] : entries_)
    {
        entry_sync_state sync = entry.sync;
        if (now - entry.heard_at < options_.entry_timeout &&
            should_send_site(
                options_.entry_sync,
                site_->version,
                entry.site_version,
                0,
                sync,
                now))
            due.push_back(id);
    }
    for (const node_id& id : due)
        send_report(id, 0, false);
}

void control_service::propose_change(std::string command, change_callback done)
{
    const std::uint64_t ticket = next_ticket_++;
    const time_point deadline = uptime() + options_.change_timeout;
    pending_.emplace(ticket, pending_change{std::move(done), deadline});
    const bool accepted =
        propose(*proposer_, {ticket, std::move(command), deadline});
    if (!accepted)
        on_proposal_answer({ticket, proposal_outcome::not_committed, {}, 0});
}

void control_service::on_proposal_answer(const proposal_answer& answer)
{
    const measured_step step(steps_, "answered a change");
    const auto found = pending_.find(answer.ticket);
    if (found == pending_.end())
        return;
    const change_callback done = std::move(found->second.done);
    pending_.erase(found);
    if (answer.outcome == proposal_outcome::committed)
        done(decode_result(answer.result));
    else
        done(std::nullopt);
}

void control_service::expire_changes(time_point now)
{
    std::vector<std::uint64_t> expired;
    for (const auto& [ticket, change] : pending_)
        if (change.deadline <= now)
            expired.push_back(ticket);
    for (const std::uint64_t ticket : expired)
        on_proposal_answer({ticket, proposal_outcome::unknown, {}, 0});
}

void control_service::replace(
    std::uint64_t version, const std::string& content, change_callback done)
{
    // An operator that got no answer sends the same again, to any node.
    if (holds(*site_, version, content))
        return logged("configuration", version, std::move(done))(
            command_outcome{std::nullopt, site_->version});
    propose_change(
        encode_replace(version, content, time_of_day()),
        logged(
            "configuration",
            version,
            [this, version, done = std::move(done)](
                std::optional<command_outcome> outcome)
            {
                if (outcome && outcome->wrong)
                    log_.write(
                        log_line(decision::site_rejected)
                            .with("version", version)
                            .with("held", outcome->version)
                            .with("reason", outcome->wrong->detail),
                        uptime());
                done(std::move(outcome));
            }));
}

control_service::change_callback control_service::logged(
    std::string_view what, std::uint64_t version, change_callback done)
{
    return [this, what, version, done = std::move(done), began_at = uptime()](
               std::optional<command_outcome> outcome)
    {
        const time_point now = uptime();
        const control_status status = status_of(*control_);
        log_.write(
            log_line(decision::change_answered)
                .with("what", what)
                .with("version", version)
                .with(
                    "outcome",
                    !outcome         ? "unknown"
                    : outcome->wrong ? "refused"
                                     : "accepted")
                .with("took_ms", now - began_at)
                .with("held", site_->version)
                .with("waiting", std::uint64_t{pending_.size()})
                .with("leader", status.leader.value)
                .with("last_index", status.last_index)
                .with("commit", status.commit)
                .with("applied", status.applied),
            now);
        done(std::move(outcome));
    };
}

void control_service::start_move(
    const service_name& service,
    const version_name& target,
    std::int64_t duration_ms,
    change_callback done)
{
    propose_change(
        encode_start_move(
            service,
            target,
            duration_ms,
            {true_time_ms(clock_, time_of_day(), uptime())}),
        logged("version move", 0, std::move(done)));
}

std::shared_ptr<const site_state> control_service::read() const
{
    const time_point now = uptime();
    const confirmed_site newest = store_.read();
    const auto age = age_of(newest.confirmed_at, now);
    const bool is_confirmed = age && *age <= options_.max_read_age;
    log_.write(
        log_line(decision::site_read)
            .with("version", newest.state->version)
            .with("applied", newest.state->applied)
            .with("confirmed_age_ms", age.value_or(duration(-1)))
            .with("outcome", is_confirmed ? "answered" : "unconfirmed"),
        now);
    return is_confirmed ? newest.state : nullptr;
}

void control_service::on_entry_report(const incoming_message& message)
{
    const measured_step step(steps_, "read an entry's report");
    pb::entry_report report;
    if (!report.ParseFromString(message.body))
        return;
    const time_point now = uptime();
    known_entry& entry = entries_[message.from];
    const bool was_ready = entry.ready;
    const bool is_new_incarnation = entry.incarnation != message.incarnation;
    entry.caller_address = report.caller_address();
    entry.domain.value = report.domain();
    entry.incarnation = message.incarnation;
    record_run(entry.run, report.run_id(), message.incarnation);
    entry.site_version = report.site_version();
    entry.limit_digest = report.limit_digest();
    entry.ready = report.ready();
    entry.heard_at = now;
    entry.asked_at_us = report.asked_at_us();
    record_clock_sample(clock_, message.from, {report.time_of_day_ms()}, now);
    if (is_new_incarnation || was_ready != entry.ready)
        log_.write(
            log_line(decision::membership_changed)
                .with("entry", message.from.value)
                .with("ready", entry.ready ? 1 : 0)
                .with("incarnation", entry.incarnation),
            now);
    const entry_incarnation source{message.from, entry.run.first_incarnation};
    for (const pb::usage_count& each : report.usage())
        record_usage(
            usage_, source, each.window(), {each.account()}, each.begun());
    if (is_leader_ && report.uptime_us() > 0)
        record_use(
            limit_usage_,
            options_.limits,
            message.from,
            entry.run.first_incarnation,
            {read_amounts(report.admitted()),
             read_amounts(report.held_grants()),
             time_point{duration(report.held_since_us())},
             read_amounts(report.wanted()),
             time_point{duration(report.asked_at_us())},
             duration(report.uptime_us())},
            now);
    if (report.loads_size() > 0 || report.tallies_size() > 0)
    {
        auto& load = entry_loads_[source];
        if (!load)
            load = std::make_unique<entry_load>();
        load->reported_at = now;
        for (const pb::version_tally& each : report.tallies())
            load->counts[{each.service(), each.version(), each.route()}] = {
                each.good(), each.bad(), each.timed(), each.log_sum()};
        load->demands.clear();
        for (const pb::service_load& each : report.loads())
        {
            service_demand& demand = load->demands[{each.service()}];
            demand.requests =
                static_cast<double>(each.running() + each.waiting());
            demand.prompt_tokens = each.prompt_rate();
            demand.request_rate = each.request_rate();
            demand.arrival_rate = each.arrival_rate();
            demand.running = each.running();
            demand.refused_rate = each.refused_rate();
            demand.speed = site::read(each.prefill_speed());
        }
    }
    read_crashes(report, now);
    read_limits(report, now);
    send_report(message.from, report.asked_at_us(), report.uptime_us() > 0);
    send_directory_update(message.from, report.directory_digest(), now);
}

void control_service::send_report(
    const node_id& to, std::int64_t asked_at_us, bool answers_use)
{
    note_step_work("sent reports to entries");
    const time_point now = uptime();
    known_entry& entry = entries_[to];
    const control_status status = status_of(*control_);
    pb::control_report report;
    report.set_asked_at_us(asked_at_us);
    report.set_time_of_day_ms(time_of_day().milliseconds);
    const auto age = age_of(site_confirmed_at_, now);
    report.set_confirmed_age_us(age && asked_at_us != 0 ? age->count() : -1);
    report.set_site_version(site_->version);
    if (site_->content && should_send_site(
                              options_.entry_sync,
                              site_->version,
                              entry.site_version,
                              rank_for(to),
                              entry.sync,
                              now))
        report.set_site(*site_->content);
    report.set_directory_digest(directory_.digest);
    report.set_leader(status.leader.value);
    for (const node_id& node : control_nodes())
        report.add_members(node.value);
    report.add_members(options_.self.value);
    for (const auto& [service, move] : site_->moves)
        write(*report.add_moves(), move);
    for (const failure_domain& each : site_->evacuated.domains)
        report.add_evacuated_domains(each.value);
    report.set_evacuation_revision(site_->evacuated.revision);
    write_seat(report, to, now);
    report.set_is_leader(is_leader_);
    if (is_leader_ && answers_use)
        for (const auto& [account, granted] : admission::grant(
                 limit_usage_,
                 options_.limits,
                 to,
                 limit_totals_,
                 report.entries(),
                 now))
            write(*report.add_allowances(), account, granted);
    if (is_leader_)
        for (const auto& [service, speed] : prefill_speeds_)
        {
            pb::service_speed& learned = *report.add_speeds();
            learned.set_service(service.value);
            write(*learned.mutable_prefill_speed(), speed);
        }
    if (is_leader_)
        for (const auto& [service, rooms] : rooms_)
            for (const routing::domain_state& each : rooms)
            {
                pb::domain_room& room = *report.add_rooms();
                room.set_service(service.value);
                room.set_domain(each.domain.value);
                room.set_arrival_rate(each.arrival_rate);
                room.set_capacity(each.capacity);
            }
    if (is_leader_)
        for (const upstream_id& id : silent_upstreams_)
            report.add_silent_upstreams(id.value);
    write_crashes(report, now);
    write_limits(report, entry);
    send(to, wire::control_report, report.SerializeAsString());
}

void control_service::announce_confirmation(time_point now)
{
    const auto age = age_of(site_confirmed_at_, now);
    const bool confirmed = age && *age < options_.max_read_age;
    if (confirmed && !was_confirmed_)
        for (const auto& [id, entry] : entries_)
            if (!entry.ready)
                send_report(id, entry.asked_at_us, false);
    was_confirmed_ = confirmed;
}

void control_service::tick()
{
    const measured_step step(steps_, "did what was due");
    const time_point now = uptime();
    constexpr duration longest_tick = 1s;
    const duration interval = now - std::exchange(ticked_at_, now);
    longest_tick_interval_ = std::max(longest_tick_interval_, interval);
    if (interval > longest_tick)
        entries_known_at_ = now + options_.entry_warm_up;
    expire_changes(now);
    retry_departures(now);
    update_leadership();
    merge_held_announcements(now);
    announce_confirmation(now);
    if (is_leader_)
        send_missing_sites(now);
    if (is_leader_)
        silent_upstreams_ = find_silent(
            directory_,
            options_.announcement_interval * max_missed_announcements,
            now);
    // The leader tells entries; the other nodes answer their reports.
    if (std::exchange(upstream_limits_changed_, false) && is_leader_)
        for (const auto& [id, entry] : entries_)
            if (entry.limit_digest != upstream_limits_.digest)
                send_report(id, 0, false);
    if (now - refreshes_sent_at_ >= refresh_interval)
    {
        refreshes_sent_at_ = now;
        log_lateness(now);
        drop_obsolete_limits(now);
        share_refreshes(now);
        remove_expired(directory_, options_.retention, now);
        drop_expired_uses(limit_usage_, options_.limits, now);
        drop_expired_records(crash_options_, crashes_, now);
        for (auto i = entries_.begin(); i != entries_.end();)
            i = now - i->second.heard_at > options_.retention
                    ? entries_.erase(i)
                    : std::next(i);
        for (auto i = entry_loads_.begin(); i != entry_loads_.end();)
            i = now - i->second->reported_at > options_.retention
                    ? entry_loads_.erase(i)
                    : std::next(i);
    }
    if (is_leader_)
        run_leader_duties(now);
}

bool control_service::ready() const
{
    return site_confirmed_at_.has_value();
}

} // namespace bergamotusher::site
