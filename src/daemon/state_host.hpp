// The replicated state of this process: applies committed commands, publishes
// each new configuration, and answers operators. Belongs to the control duty's
// loop.
#pragma once

#include "daemon/admin_duty.hpp"
#include "state/replicated_state.hpp"

#include <bergamotusher/control.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace bergamotusher
{

/// How the host reaches the rest of the process; all run on the control loop.
struct state_host_links
{
    /// Proposes a command; its answer comes to `take`.
    std::function<void(proposal)> propose;
    std::function<void(operator_reply)> reply;
    /// A newer configuration is applied here.
    std::function<void(std::shared_ptr<const configuration>)> publish;
};

/// An operator's request that waits for its command.
struct operator_wait
{
    operator_task task;
    /// Absent for a read, which waits for all that was committed before it.
    std::optional<state::command> proposed;
};

/// The state and the operators that wait for it.
struct state_host
{
    state_host_links links;
    state::replicated_state state;
    std::uint64_t published_revision = 0;
    std::uint64_t next_ticket = 0;
    std::map<std::uint64_t, operator_wait> waiting;
    /// Reads whose barrier is committed at an index not yet applied here.
    std::multimap<std::uint64_t, operator_task> reads;
};

/// Tickets of the host start here, apart from those of the serving duty.
inline constexpr std::uint64_t first_host_ticket = 1ULL << 62;

/// Applies a committed command; returns its encoded result.
std::string
apply(state_host& host, std::uint64_t index, std::string_view command);

/// Replaces the state by a snapshot.
std::error_code restore(state_host& host, std::string_view snapshot);

/// Takes an operator's request.
void take(
    state_host& host, operator_task task, wall_time wall, time_point now);

/// Takes the answer to one of the host's proposals.
void take(state_host& host, const proposal_answer& answer);

} // namespace bergamotusher
