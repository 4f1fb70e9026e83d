// Admission control in front of the request life cycle: queues requests that
// cannot start yet, and shares the limits of client accounts with the other
// entries. Used on the serving duty's thread only.
#pragma once

#include "admission/admission.hpp"
#include "daemon/upstream_view.hpp"

#include <bergamotusher/configuration.hpp>
#include <bergamotusher/serving.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace bergamotusher
{

/// Admission state of one entry, and the requests that wait in it.
struct admission_gate
{
    admission::admission_state state;
    std::unordered_map<request_id, caller_request> waiting;
    /// Used while this process is the leader: shares granted to entries, and
    /// the time since which it leads.
    admission::budget_ledger ledger;
    std::optional<time_point> leading_since;
};

/// Result of `offer`: the request may start, waits in the gate, or is rejected
/// with an `answer_error`.
struct gate_admitted
{
    caller_request request;
};
struct gate_waiting
{
};
using gate_result = std::variant<gate_admitted, gate_waiting, answer_error>;

/// Decides on a new request. If its account, service or class is not in the
/// configuration, it starts, and the life cycle rejects it.
gate_result offer(
    admission_gate& gate,
    const upstream_view& view,
    const configuration& config,
    caller_request request,
    time_point now);

/// Waiting requests that started, and those that were rejected.
struct gate_update
{
    std::vector<caller_request> started;
    std::vector<answer_error> refused;
};

/// Starts waiting requests for which there is capacity now, and rejects those
/// that admission has dropped.
gate_update
start_waiting(admission_gate& gate, const upstream_view& view, time_point now);

/// Removes all waiting requests and returns them, for the life cycle to decide
/// on.
std::vector<caller_request> remove_all_waiting(admission_gate& gate);

/// Removes a waiting request whose caller disconnected; false if no such
/// request waits.
bool withdraw(admission_gate& gate, const request_id& id);

/// Records that a started request has ended.
void record_finished(
    admission_gate& gate, const request_id& id, time_point now);

/// Encodes the shares of account limits that this entry asks the leader for;
/// empty if it needs none.
std::string
ask_budgets(admission_gate& gate, const configuration& config, time_point now);

/// Encodes the leader's answer to the request `ask` of `entry`; empty if this
/// process does not lead, has led for less than one budget lease, or cannot
/// parse `ask`. `leads`: this process holds the leader lease.
std::string grant_budgets(
    admission_gate& gate,
    const node_id& entry,
    std::string_view ask,
    bool leads,
    time_point now);

/// Applies the shares that the leader granted; false if `answer` cannot be
/// parsed.
bool apply_budgets(admission_gate& gate, std::string_view answer);

} // namespace bergamotusher
