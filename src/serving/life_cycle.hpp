// State machine of all requests of one entry, from acceptance to the last byte
// of the answer.
//
// `step` takes one input and returns the actions to carry out. It reads no
// clock, opens no socket and uses no random device. The serving worker thread
// carries the actions out in order and reports their outcome as later inputs.
#pragma once

#include "serving/crash_reports.hpp"
#include "serving/quarantine.hpp"
#include "serving/request_state.hpp"
#include "serving/retry_budget.hpp"

#include <bergamotusher/choice.hpp>
#include <bergamotusher/configuration.hpp>
#include <bergamotusher/serving.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace bergamotusher::serving
{

/// Limits on time, count and size.
struct life_cycle_limits
{
    /// How long a repeatable request continues after its client disconnected.
    duration disconnect_grace = 30s;
    /// How long the answers of ended requests are retained so that clients can
    /// reattach, and how many bytes all of them may take.
    duration answer_retention = 60s;
    std::size_t max_retained_bytes = 32 << 20;
    /// Requests that may be queued for an upstream, over all services.
    std::size_t max_waiting_requests = 10'000;
    /// Failed attempts of one request; failures of upstreams that leave are not
    /// counted.
    std::uint32_t max_attempts = 6;
    /// Requests still running on an upstream that leaves start to move this
    /// long before its deadline, spaced so that they do not all move at once.
    duration move_margin = 2s;
    duration move_spacing = 50ms;
    /// Hand-over from an entry that shuts down starts this long before its
    /// deadline, with the same spacing.
    duration hand_over_margin = 5s;
    /// A hand-over that is not answered within this time counts as declined.
    duration hand_over_timeout = 1s;
    /// Interval between two journal polls; it doubles from the first value up
    /// to the second.
    duration min_poll_interval = 50ms;
    duration max_poll_interval = 1s;
    /// How often a journal request is repeated after its answer was lost.
    std::uint32_t max_lost_journal_answers = 3;
    /// Interval at which placement of a delayed request is tried again.
    duration recheck_interval = 100ms;
    /// How long a crash suspect waits for an upstream that runs no other
    /// suspect.
    duration isolation_timeout = 2s;
    /// The attempt fails if no first token, or no further token, arrives within
    /// these times. Classes with slow latency targets get more.
    duration first_token_timeout = 10s;
    duration token_gap_timeout = 3s;
    /// How long the answer of an unrepeatable request is still awaited after
    /// its client was told that the deadline passed.
    duration late_answer_timeout = 60s;
    /// `Retry-After` where no better estimate is available.
    duration retry_after = 1s;
};

/// Identity and limits of this entry.
struct life_cycle_options
{
    node_id node;
    /// Identifies this start of the process in journal records.
    std::uint64_t incarnation = 0;
    /// Seed of the random numbers used for choices.
    std::uint64_t seed = 0;
    life_cycle_limits limits;
};

/// Counts since the start of the process; they never decrease.
struct life_cycle_counters
{
    std::uint64_t accepted = 0;
    std::uint64_t refused = 0;
    std::uint64_t finished = 0;
    std::uint64_t failed = 0;
    std::uint64_t attempts = 0;
    std::uint64_t retries = 0;
    std::uint64_t moves = 0;
    std::uint64_t resumes = 0;
    std::uint64_t recomputed_tokens = 0;
    /// Inputs that were ignored: for attempts that are not current, or
    /// repeated.
    std::uint64_t late_inputs = 0;
    /// Tokens received twice within the current attempt.
    std::uint64_t duplicate_tokens = 0;
    /// Answers with a missing token, a wrong length or no end mark.
    std::uint64_t malformed_answers = 0;
    /// Retries that were delayed by the retry budget.
    std::uint64_t budget_waits = 0;
    std::uint64_t taken_up = 0;
    std::uint64_t handed_over = 0;
    std::uint64_t quarantined = 0;
    std::uint64_t unknown_outcomes = 0;
};

/// Environment of one call of `step`; valid only during that call.
struct serving_context
{
    std::shared_ptr<const configuration> config;
    choose_function choose;
    wall_time wall;
    /// Returns the hashes of a prompt's prefix blocks, computed as in routing;
    /// may be empty. The prompt is the JSON text of the messages alone, so that
    /// requests with equal prompts match even if other fields differ.
    std::function<std::vector<std::uint64_t>(std::string_view prompt)>
        prefix_blocks;
    /// Returns the other entries that answer callers now; may be empty.
    std::function<std::vector<node_id>()> live_entries;
};

/// Queue order of waiting requests: priority, then deadline.
using waiting_key = std::tuple<std::uint32_t, time_point, request_id>;

/// Shutdown of this entry.
struct drain_state
{
    std::optional<time_point> deadline;
    std::vector<node_id> successors;
    bool reported = false;
};

/// State of all requests of one entry.
struct life_cycle
{
    life_cycle_options options;
    life_cycle_counters counters;

    std::unordered_map<request_id, std::unique_ptr<request_state>> requests;
    std::unordered_map<request_id, request_state*> connections;
    std::unordered_map<attempt_id, request_state*> attempts;
    std::map<service_name, std::set<waiting_key>> waiting;
    std::size_t waiting_count = 0;
    /// Number of requests that have not ended.
    std::size_t open_count = 0;
    std::set<std::pair<time_point, request_id>> wake_queue;

    /// Ended requests, oldest first, and the bytes that they occupy.
    std::deque<request_id> retained_requests;
    std::size_t total_retained_bytes = 0;
    /// Entries that took over handed-over requests.
    std::unordered_map<request_id, node_id> handed_over_to;
    std::deque<request_id> handed_over_order;

    /// Attempts that were abandoned before dispatch. If the journal still
    /// records one of them, that record is released.
    std::unordered_set<attempt_id> abandoned_attempts;
    std::deque<attempt_id> abandoned_order;

    std::map<service_name, retry_budget> budgets;
    quarantine_state crash_evidence;
    std::vector<open_crash_report> crash_reports;
    /// Upstreams that gave notice, with the deadline of each.
    std::map<upstream_id, time_point> leaving;
    std::optional<drain_state> drain;

    std::uint64_t attempts_made = 0;
    std::uint64_t draws_made = 0;
};

/// Processes one input and returns the actions to carry out, in order.
std::vector<serving_action> step(
    life_cycle& state,
    const serving_input& input,
    const serving_context& context,
    time_point now);

} // namespace bergamotusher::serving
