// Admission in front of the request life cycle: holds requests that wait for
// their turn, and shares the accounts' limits with the other entries. Belongs
// to the serving duty.
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

/// Admission of one entry, and the requests that it holds.
struct admission_gate
{
    admission::admission_state state;
    std::unordered_map<request_id, caller_request> held;
    /// The leader's part: what it has granted, and since when it leads.
    admission::budget_ledger ledger;
    std::optional<time_point> leading_since;
};

/// The request may start, is held, or is refused with the error.
struct gate_start
{
    caller_request request;
};
struct gate_held
{
};
using gate_result = std::variant<gate_start, gate_held, answer_error>;

/// Offers a request that arrived. One that the configuration does not know
/// goes on, to be refused by the life cycle.
gate_result offer(
    admission_gate& gate,
    const upstream_view& view,
    const configuration& config,
    caller_request request,
    time_point now);

/// What became of held requests.
struct gate_turn
{
    std::vector<caller_request> started;
    std::vector<answer_error> refused;
};

/// Starts held requests for which there is room now.
gate_turn turn(admission_gate& gate, const upstream_view& view, time_point now);

/// Gives up all held requests, for the life cycle to decide on.
std::vector<caller_request> release_all(admission_gate& gate);

/// The caller of a held request is gone; false if it is not held.
bool withdraw(admission_gate& gate, const request_id& id);

/// A started request has ended.
void finished(admission_gate& gate, const request_id& id, time_point now);

/// What this entry asks the leader for; empty if there is nothing to ask.
std::string
ask_budgets(admission_gate& gate, const configuration& config, time_point now);

/// The leader's answer to the ask of `entry`; empty if it cannot answer yet.
/// `leads` tells whether this process holds the leader lease.
std::string grant_budgets(
    admission_gate& gate,
    const node_id& entry,
    std::string_view ask,
    bool leads,
    time_point now);

/// Takes the leader's answer; false if it cannot be read.
bool take_budgets(admission_gate& gate, std::string_view answer);

} // namespace bergamotusher
