// What a control node does for a shared site: takes the operators' orders and
// the upstreams' announcements, tells entries what holds, and, where it leads,
// judges version moves, reports usage and rents upstreams.
//
// All of it runs on one loop; the replicated state is applied on the control
// duty's thread.
#pragma once

#include "admission/shared_limit.hpp"
#include "base/mailbox.hpp"
#include "base/shared_clock.hpp"
#include "daemon/control_duty.hpp"
#include "daemon/peers_duty.hpp"
#include "observe/decision_log.hpp"
#include "site/move_policy.hpp"
#include "site/rent_policy.hpp"
#include "site/site_store.hpp"
#include "site/upstream_directory.hpp"
#include "site/usage_ledger.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace bergamotusher::site
{

/// A report that a usage window's counts are final.
struct usage_report
{
    std::uint64_t fence = 0;
    usage_window window;
};

/// An order to rent.
struct rent_request
{
    std::uint64_t fence = 0;
    rent_key key;
    std::uint32_t count = 0;
};

/// What became of a call to the platform.
enum class duty_answer
{
    accepted,
    /// Nothing is to be had there now.
    unavailable,
    /// A higher fence was seen.
    fenced,
    /// Too many calls, or no answer.
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

/// The platform's side of the duties that one node at a time has. Absent
/// functions mean that the platform has no such duty.
struct duty_port
{
    std::function<void(const usage_report&, std::function<void(duty_answer)>)>
        report_usage;
    std::function<void(const rent_request&, std::function<void(duty_answer)>)>
        rent;
};

struct control_service_options
{
    node_id self;
    /// Nodes that are asked first.
    std::vector<node_id> seeds;
    /// Entries that were not heard from for so long are not handed out.
    duration entry_patience = 1500ms;
    /// Upstreams announce themselves about this often.
    duration announcement_interval = 1200ms;
    /// Upstreams and entries that are gone or silent are forgotten after this.
    duration keep = 30s;
    /// What a reader is told may be at most so old.
    duration read_age = 1200ms;
    /// How long an operator's change may take; operators wait for a second.
    duration change_time = 900ms;
    /// Between the acts of two holders of a duty.
    duration duty_pause = 3s;
    admission::sharing_options limits;
    usage_options usage;
    move_options moves;
    rent_options rent;
    duty_port duties;
};

/// An entry as the control nodes know it.
struct known_entry
{
    std::string caller_address;
    failure_domain domain;
    std::uint64_t incarnation = 0;
    std::uint64_t site_version = 0;
    bool ready = false;
    time_point heard_at;
    time_point directory_sent_at;
};

class control_service
{
public:
    using change_callback = std::function<void(std::optional<command_outcome>)>;

    control_service(
        boost::asio::io_context& loop,
        control_service_options options,
        parse_function parse,
        observe::decision_log& log);
    ~control_service();
    control_service(const control_service&) = delete;
    control_service& operator=(const control_service&) = delete;

    /// The state machine that the control duty runs.
    state_machine machine();
    /// Joins the service to the other duties; before these are started.
    void wire(control_duty& control, peers_duty& peers);
    void start();

    // Operators. The callback gets nothing if it is not known whether the
    // change holds.
    void replace(
        std::uint64_t version,
        const std::string& content,
        change_callback done);
    void start_move(
        const service_name& service,
        const version_name& target,
        std::int64_t duration_ms,
        change_callback done);
    /// The newest configuration; nothing if this node cannot be sure.
    std::optional<site_state> read() const;

    // Upstreams.
    void announce(const upstream& news);
    void withdraw(
        const upstream_id& id, std::int64_t started_ms, std::uint64_t sequence);

    // Callers.
    /// Addresses of the entries that take callers of `domain`, best first.
    std::vector<std::string> entries_for(const failure_domain& domain) const;

    /// Whether this node knows what a control node must know.
    bool ready() const;
    /// Prometheus text.
    std::string metrics() const;

private:
    struct entry_load;

    void tick();
    void schedule();
    void on_changed();
    void propose_change(std::string command, change_callback done);
    void on_answer(const proposal_answer& answer);
    void on_entry_report(const incoming_message& message);
    void on_directory(const incoming_message& message);
    void spread(const std::vector<upstream>& news, const node_id& except);
    void send_report(const node_id& to, std::int64_t asked_at_us);
    void note_leadership();
    void lead(time_point now);
    void judge_moves(std::int64_t now_ms);
    void close_windows(std::int64_t now_ms);
    void rent(time_point now);
    std::optional<duration> confirmed_age(time_point now) const;
    bool may_act(time_point now) const;
    std::set<node_id> control_nodes() const;
    void send(const node_id& to, wire::message_kind kind, std::string body);

    boost::asio::io_context& loop_;
    boost::asio::steady_timer timer_;
    control_service_options options_;
    observe::decision_log& log_;
    site_store store_;
    site_state shown_;
    control_duty* control_ = nullptr;
    peers_sender* to_peers_ = nullptr;
    proposer* proposer_ = nullptr;
    std::unique_ptr<mailbox<incoming_message>> from_peers_;
    std::unique_ptr<mailbox<proposal_answer>> from_control_;
    std::uint64_t next_ticket_ = 1;
    std::map<std::uint64_t, change_callback> pending_;

    shared_clock clock_;
    upstream_directory directory_;
    /// Heard from directly since the last tick, to be told to other nodes.
    std::map<upstream_id, upstream> refreshed_;
    std::map<node_id, known_entry> entries_;
    time_point refreshed_at_;

    // Where this node leads.
    bool leads_ = false;
    std::uint64_t lead_term_ = 0;
    time_point leads_since_;
    std::uint64_t fenced_term_ = 0;
    usage_ledger usage_;
    std::set<std::uint64_t> closing_;
    std::map<std::uint64_t, time_point> reported_;
    std::set<std::uint64_t> delivered_;
    rent_state rented_;
    std::map<usage_source, std::unique_ptr<entry_load>> loads_;
    admission::use_ledger uses_;
    std::map<service_name, std::uint64_t> judged_;
    time_point rent_at_;
};

} // namespace bergamotusher::site
