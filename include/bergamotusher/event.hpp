// Typed events of the time line. Each process records them with a hybrid
// logical timestamp; `bergamotctl timeline` merges the events of all processes.
#pragma once

#include <bergamotusher/enum_names.hpp>
#include <bergamotusher/ids.hpp>
#include <bergamotusher/time.hpp>

#include <array>
#include <cstdint>
#include <string>

namespace bergamotusher
{

/// A hybrid logical timestamp: wall time that is never earlier than that of a
/// causally preceding event.
struct hybrid_time
{
    /// Milliseconds since the Unix epoch, UTC.
    std::int64_t wall = 0;
    /// Orders events of the same millisecond.
    std::uint32_t logical = 0;

    auto operator<=>(const hybrid_time&) const = default;
};

/// Type of an event.
enum class event_kind
{
    process_started,
    process_draining,
    process_stopped,
    duty_restarted,
    request_accepted,
    request_refused,
    request_finished,
    request_failed,
    request_handed_over,
    request_taken_up,
    attempt_dispatched,
    attempt_failed,
    attempt_resumed,
    answer_dropped,
    upstream_announced,
    upstream_leaving,
    upstream_lost,
    upstream_ejected,
    upstream_readmitted,
    fingerprint_quarantined,
    term_started,
    leader_elected,
    leader_stepped_down,
    lease_lapsed,
    voter_changed,
    configuration_committed,
    configuration_applied,
    journal_begun,
    journal_finished,
    journal_released,
    move_started,
    move_widened,
    move_completed,
    move_taken_back,
    version_stopped,
    order_sent,
    order_refused,
    reclaim_notice,
    instance_requested,
    instance_refused
};

/// One event. Fields that do not apply stay empty.
struct event
{
    hybrid_time at;
    event_kind kind = event_kind::process_started;
    node_id node;
    request_id request;
    attempt_id attempt;
    upstream_id target;
    move_id move;
    /// Revision, term or count, depending on the kind.
    std::uint64_t number = 0;
    /// Additional text for people; never parsed.
    std::string detail;

    bool operator==(const event&) const = default;
};

constexpr auto enum_names(event_kind)
{
    using k = event_kind;
    using row = enum_name<k>;
    return std::array{
        row{k::process_started, "process_started"},
        row{k::process_draining, "process_draining"},
        row{k::process_stopped, "process_stopped"},
        row{k::duty_restarted, "duty_restarted"},
        row{k::request_accepted, "request_accepted"},
        row{k::request_refused, "request_refused"},
        row{k::request_finished, "request_finished"},
        row{k::request_failed, "request_failed"},
        row{k::request_handed_over, "request_handed_over"},
        row{k::request_taken_up, "request_taken_up"},
        row{k::attempt_dispatched, "attempt_dispatched"},
        row{k::attempt_failed, "attempt_failed"},
        row{k::attempt_resumed, "attempt_resumed"},
        row{k::answer_dropped, "answer_dropped"},
        row{k::upstream_announced, "upstream_announced"},
        row{k::upstream_leaving, "upstream_leaving"},
        row{k::upstream_lost, "upstream_lost"},
        row{k::upstream_ejected, "upstream_ejected"},
        row{k::upstream_readmitted, "upstream_readmitted"},
        row{k::fingerprint_quarantined, "fingerprint_quarantined"},
        row{k::term_started, "term_started"},
        row{k::leader_elected, "leader_elected"},
        row{k::leader_stepped_down, "leader_stepped_down"},
        row{k::lease_lapsed, "lease_lapsed"},
        row{k::voter_changed, "voter_changed"},
        row{k::configuration_committed, "configuration_committed"},
        row{k::configuration_applied, "configuration_applied"},
        row{k::journal_begun, "journal_begun"},
        row{k::journal_finished, "journal_finished"},
        row{k::journal_released, "journal_released"},
        row{k::move_started, "move_started"},
        row{k::move_widened, "move_widened"},
        row{k::move_completed, "move_completed"},
        row{k::move_taken_back, "move_taken_back"},
        row{k::version_stopped, "version_stopped"},
        row{k::order_sent, "order_sent"},
        row{k::order_refused, "order_refused"},
        row{k::reclaim_notice, "reclaim_notice"},
        row{k::instance_requested, "instance_requested"},
        row{k::instance_refused, "instance_refused"}};
}

} // namespace bergamotusher
