// The service that a control node provides for a shared site. It accepts
// operators' commands and upstreams' announcements, tells entries the
// configuration, version moves and upstreams, and, on the leader, judges
// version moves, reports usage and rents upstreams.
//
// All of it runs on one loop, except that the replicated state is applied on
// the control duty's thread.
#pragma once

#include "admission/crash_ledger.hpp"
#include "admission/shared_limit.hpp"
#include "base/mailbox.hpp"
#include "base/shared_clock.hpp"
#include "base/step_times.hpp"
#include "daemon/control_duty.hpp"
#include "daemon/peers_duty.hpp"
#include "observe/decision_log.hpp"
#include "routing/domain_exchange.hpp"
#include "site/departure_queue.hpp"
#include "site/entry_sync.hpp"
#include "site/move_policy.hpp"
#include "site/rent_policy.hpp"
#include "site/site_store.hpp"
#include "site/stated_limits.hpp"
#include "site/upstream_directory.hpp"
#include "site/usage_ledger.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace bergamotusher::wire::site
{
class entry_report;
class control_report;
} // namespace bergamotusher::wire::site

namespace bergamotusher::site
{

/// A report of the final counts of a usage window.
struct usage_report
{
    std::uint64_t fence = 0;
    usage_window window;
};

/// An order to rent `count` upstreams in total.
struct rent_request
{
    std::uint64_t fence = 0;
    rent_key key;
    std::uint32_t count = 0;
};

/// Answer to a call of the platform.
enum class duty_answer
{
    accepted,
    /// Nothing is available now.
    unavailable,
    /// Another caller with a higher fence was seen.
    fenced,
    /// No answer, or the call was rejected, for example for too many calls.
    failed
};

constexpr auto enum_names(duty_answer)
{
    using row = enum_name<duty_answer>;
    return std::array{
        row{duty_answer::accepted, "accepted"},
        row{duty_answer::unavailable, "unavailable"},
        row{duty_answer::fenced, "fenced"},
        row{duty_answer::failed, "failed"}};
}

/// Calls of the platform that only the leader makes. Null functions mean that
/// the platform does not offer the call.
struct duty_calls
{
    std::function<void(const usage_report&, std::function<void(duty_answer)>)>
        report_usage;
    std::function<void(const rent_request&, std::function<void(duty_answer)>)>
        rent;
};

struct control_service_options
{
    node_id self;
    /// Nodes contacted before the membership is known.
    std::vector<node_id> seeds;
    /// Failure domains that exist, beside those that upstreams and entries
    /// name.
    std::set<failure_domain> domains;
    /// Whether entries are told what each failure domain has left, by which
    /// they bound what leaves theirs.
    bool shares_domains = false;
    /// Entries without a report for this long are not returned to callers.
    duration entry_timeout = 1500ms;
    /// Interval at which upstreams announce themselves.
    duration announcement_interval = 1200ms;
    /// Upstreams and entries without a message for this long are removed.
    duration retention = 30s;
    /// A node that has run for this long has heard of every entry, and so may
    /// tell each its place among them.
    duration entry_warm_up = 3s;
    /// How long it is remembered that an upstream named a limit that it no
    /// longer names.
    duration withdrawn_limit_retention = 30s;
    /// Maximum age of the state returned to a reader.
    duration max_read_age = 1200ms;
    /// Time limit for committing an operator's change; operators wait for 1 s.
    duration change_timeout = 900ms;
    /// Time a new leader waits before it performs a duty that an earlier leader
    /// may still be performing.
    duration duty_handover_delay = 3s;
    /// Changes of upstreams are told together at this interval: hundreds may
    /// announce themselves, or leave, within a second.
    duration announcement_batch_interval = 50ms;
    /// A node that has run for this long has heard of every live upstream, and
    /// so may tell entries which ones no longer exist.
    duration directory_warm_up = 8s;
    entry_sync_options entry_sync;
    admission::sharing_options limits;
    usage_options usage;
    move_options moves;
    rent_options rent;
    duty_calls duties;
};

/// An entry known to this node by its reports.
struct known_entry
{
    std::string caller_address;
    failure_domain domain;
    std::uint64_t incarnation = 0;
    entry_run run;
    std::uint64_t site_version = 0;
    /// Of the limits of upstreams that it knows.
    std::uint64_t limit_digest = 0;
    bool ready = false;
    time_point heard_at;
    /// When it sent its last report, by its own clock.
    std::int64_t asked_at_us = 0;
    entry_sync_state sync;
};

class control_service
{
public:
    using change_callback = std::function<void(std::optional<command_outcome>)>;
    /// Told whether an upstream may rely on what it announced.
    using acknowledgement = std::function<void(bool accepted)>;

    control_service(
        boost::asio::io_context& loop,
        control_service_options options,
        configuration_parser parse,
        observe::decision_log& log);
    ~control_service();
    control_service(const control_service&) = delete;
    control_service& operator=(const control_service&) = delete;

    /// The state machine that the control duty replicates.
    state_machine replicated_state_machine();
    /// Connects the service to the other duties; call it before they start.
    void connect(control_duty& control, peers_duty& peers);
    void start();
    /// Replaces `control_service_options::seeds`.
    void configure_seeds(std::vector<node_id> seeds);

    // Operators. The callback gets no outcome if it is unknown whether the
    // change was committed.
    void replace(
        std::uint64_t version,
        const std::string& content,
        change_callback done);
    void start_move(
        const service_name& service,
        const version_name& target,
        std::int64_t duration_ms,
        change_callback done);
    /// Evacuates a failure domain, or withdraws its evacuation. Errors:
    /// `unknown_resource` if nothing names the domain, `malformed_request` if
    /// its name is empty or too long.
    void set_evacuation(
        const failure_domain& domain, bool is_evacuated, change_callback done);
    /// The newest state; null if this node cannot confirm that it is the
    /// newest.
    std::shared_ptr<const site_state> read() const;

    // Upstreams.
    /// A departure, draining or gone, is accepted once the site's state holds
    /// it; other nodes and entries are told at once.
    void announce(const upstream& announcement, acknowledgement done);
    /// `started_ms` is 0 if the notice does not name the incarnation.
    void withdraw(
        const upstream_id& id,
        std::int64_t started_ms,
        std::uint64_t sequence,
        acknowledgement done);

    // Callers.
    /// Caller addresses of the ready entries, those in `domain` first.
    std::vector<std::string> entries_for(const failure_domain& domain) const;

    /// Whether this node's state was confirmed as the newest at least once
    /// since its replica was opened.
    bool ready() const;
    /// Metrics in the Prometheus text format.
    std::string metrics() const;
    /// Times of the steps of the loop, other handlers of the loop included.
    step_times& steps()
    {
        return steps_;
    }
    const step_times& steps() const
    {
        return steps_;
    }

private:
    struct entry_load;

    /// Totals of the process up to a moment, for `log_lateness`.
    struct work_totals
    {
        time_point at;
        duration process;
        duration loop;
        duration control;
        std::uint64_t sent_messages = 0;
        std::uint64_t sent_bytes = 0;
        std::uint64_t received_messages = 0;
        std::uint64_t dropped_messages = 0;
    };
    work_totals work_so_far(time_point now) const;

    void tick();
    void schedule();
    void on_state_changed();
    bool is_known_domain(const failure_domain& domain) const;
    void propose_change(std::string command, change_callback done);
    /// Calls `done`, and logs what became of an operator's change.
    change_callback
    logged(std::string_view what, std::uint64_t version, change_callback done);
    /// Logs what the process did since the last call, if the loop was late.
    void log_lateness(time_point now);
    void on_proposal_answer(const proposal_answer& answer);
    /// Answers changes whose time is over, as when the replica is not open.
    void expire_changes(time_point now);
    void on_entry_report(const incoming_message& message);
    void on_directory(const incoming_message& message);
    void merge_announcement(const upstream& announcement, time_point now);
    /// Merges the announcements that arrived before this node's state was
    /// confirmed.
    void merge_held_announcements(time_point now);
    /// Acknowledges the notice of a departure once it is recorded.
    void record_departure(
        const upstream_id& id, const departure& value, acknowledgement done);
    /// Proposes the departures that wait, unless others are under way.
    void propose_departures();
    /// Acknowledges the notices whose departure `recorded` includes.
    void acknowledge_departures(const departure_map& recorded);
    /// Answers the notices whose time is over, and proposes the others again if
    /// their change was not recorded.
    void retry_departures(time_point now);
    /// Applies the recorded departures to the directory.
    void apply_departures(time_point now);
    void read_limits(const wire::site::entry_report& report, time_point now);
    void write_limits(
        wire::site::control_report& report, const known_entry& entry) const;
    /// Writes the place of `entry` among the entries that share limits, and
    /// their number.
    void write_seat(
        wire::site::control_report& report,
        const node_id& entry,
        time_point now) const;
    void drop_obsolete_limits(time_point now);
    /// Replicates the ceilings that the accounts' use calls for, one round at a
    /// time.
    void update_ceilings(time_point now);
    /// Number of entries that share the accounts' limits.
    std::uint32_t sharing_entries(time_point now) const;
    void read_crashes(const wire::site::entry_report& report, time_point now);
    void
    write_crashes(wire::site::control_report& report, time_point now) const;
    /// Tells the other control nodes and all entries.
    void broadcast(const std::vector<upstream>& updates);
    /// The same, together with the updates that follow within
    /// `announcement_batch_interval` of the last ones.
    void broadcast_soon(const upstream& update, time_point now);
    void flush_updates();
    /// Sends the announcements without changes to the other control nodes, so
    /// that all of them know which upstreams are alive.
    void share_refreshes(time_point now);
    void send_directory_update(
        const node_id& to, std::uint64_t digest, time_point now);
    const std::string& full_directory(time_point now);
    std::uint32_t rank_for(const node_id& entry) const;
    /// Sends the entry a report; with `answers_use` it grants parts of the
    /// limits, in answer to a report that told the entry's use.
    void
    send_report(const node_id& to, std::int64_t asked_at_us, bool answers_use);
    /// Sends every entry a report, some of them in each step of the loop: a
    /// report can hold a large site.
    void tell_entries();
    void tell_next_entries();
    /// Sends the site to live entries that lack it, as far as due.
    void send_missing_sites(time_point now);
    void update_leadership();
    /// Tells all entries when this node's state becomes confirmed: after an
    /// outage they serve again as soon as they know of it.
    void announce_confirmation(time_point now);
    void run_leader_duties(time_point now);
    void judge_moves(std::int64_t now_ms);
    void close_windows(std::int64_t now_ms);
    void send_rent_orders(time_point now);
    /// Computes what the upstreams of each failure domain take.
    void update_rooms(time_point now);
    std::vector<routing::domain_state>
    rooms_of(const service_name& service, time_point now);
    bool may_act(time_point now) const;
    std::set<node_id> control_nodes() const;
    void send(const node_id& to, wire::message_kind kind, std::string body);

    boost::asio::io_context& loop_;
    step_times steps_;
    boost::asio::steady_timer timer_;
    control_service_options options_;
    observe::decision_log& log_;
    site_store store_;
    /// Set by the control thread: one look at the state covers all changes
    /// until then.
    std::atomic<bool> state_change_posted_{false};
    std::shared_ptr<const site_state> site_ =
        std::make_shared<const site_state>();
    /// The latest moment at which `site_` was the newest state; nothing if its
    /// replica was opened since.
    std::optional<time_point> site_confirmed_at_;
    control_duty* control_ = nullptr;
    peers_duty* peers_ = nullptr;
    peers_sender* peer_sender_ = nullptr;
    proposer* proposer_ = nullptr;
    std::unique_ptr<mailbox<incoming_message>> peer_inbox_;
    std::unique_ptr<mailbox<proposal_answer>> proposal_answers_;
    std::uint64_t next_ticket_ = 1;
    struct pending_change
    {
        change_callback done;
        time_point deadline;
    };
    std::map<std::uint64_t, pending_change> pending_;

    departure_queue departures_;
    /// The notice of a departure that is not answered yet.
    struct departure_notice
    {
        upstream_id upstream;
        departure value;
        acknowledgement done;
        time_point deadline;
    };
    std::vector<departure_notice> departure_notices_;

    shared_clock clock_;
    upstream_directory directory_;
    /// Upstreams that announced themselves as ready before this node's state
    /// was confirmed: an older state may lack the departure of one of them.
    std::map<upstream_id, upstream> held_announcements_;
    /// Unchanged upstreams announced to this node since the last refresh was
    /// sent to the other control nodes.
    std::map<upstream_id, upstream> refreshed_upstreams_;
    /// Changes that are told with the next flush, and when the last were.
    std::map<upstream_id, upstream> pending_updates_;
    time_point updates_sent_at_;
    boost::asio::steady_timer flush_timer_;
    time_point started_at_;
    /// When the tick last ran, and from when on this node has heard of every
    /// entry.
    time_point ticked_at_;
    time_point entries_known_at_;
    /// The longest time between two ticks since `work_logged_`.
    duration longest_tick_interval_{};
    work_totals work_logged_;
    /// The encoded directory, and the digest for which it was made.
    std::string full_directory_;
    std::uint64_t full_directory_digest_ = 0;
    time_point full_directory_at_;
    /// When the full directory was last sent to each control node.
    std::map<node_id, time_point> directory_shared_at_;
    /// The entry to which `tell_next_entries` sent last.
    node_id last_told_entry_;
    bool is_telling_entries_ = false;
    /// When all entries were last told.
    time_point entries_told_at_;
    bool was_confirmed_ = false;
    std::map<node_id, known_entry> entries_;
    time_point refreshes_sent_at_;

    // State of the leader's duties.
    bool is_leader_ = false;
    std::uint64_t leader_term_ = 0;
    time_point leader_since_;
    std::uint64_t fenced_term_ = 0;
    usage_ledger usage_;
    std::set<std::uint64_t> closing_windows_;
    std::map<std::uint64_t, time_point> usage_sent_at_;
    std::set<std::uint64_t> delivered_windows_;
    rent_state rent_state_;
    /// Speeds learned by the entries; only those that are known.
    std::map<service_name, routing::prefill_speed> prefill_speeds_;
    std::map<entry_incarnation, std::unique_ptr<entry_load>> entry_loads_;
    /// What each failure domain's upstreams take, for the entries.
    std::map<service_name, std::vector<routing::domain_state>> rooms_;
    std::map<service_name, double> request_times_;
    time_point next_rooms_at_;
    admission::crash_options crash_options_;
    /// Evidence of all entries; kept by every node.
    admission::crash_ledger crashes_;
    /// The limits that upstreams name; kept by every node.
    limit_board upstream_limits_;
    /// Entries are told of `upstream_limits_` with the next tick.
    bool upstream_limits_changed_ = false;
    admission::use_ledger limit_usage_;
    bool is_replicating_ceilings_ = false;
    std::uint64_t ceilings_proposed_ = 0;
    /// The limits of the accounts in the site in force.
    admission::account_amounts limit_totals_;
    /// Upstreams that no control node has heard from lately, as of the leader's
    /// last tick.
    std::vector<upstream_id> silent_upstreams_;
    std::map<service_name, std::uint64_t> judged_moves_;
    time_point next_rent_at_;
};

} // namespace bergamotusher::site
