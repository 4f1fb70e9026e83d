// The life of all requests of one entry, from acceptance to the last byte.
//
// `step` takes one input and returns what is to be done; it reads no clock,
// opens no socket and draws no random number of a device. The serving duty
// carries the actions out in their order and tells the outcome by later
// inputs.
#pragma once

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

/// Bounds of time, number and size; the defaults suit today's entries.
struct life_cycle_limits
{
    /// How long a request goes on without its caller.
    duration caller_grace = 30s;
    /// How long, and within how many bytes over all requests, the answers
    /// of ended requests are kept to be taken up.
    duration answer_kept = 60s;
    std::size_t kept_bytes = 32 << 20;
    /// Requests that may wait for an upstream at once.
    std::size_t waiting_requests = 10'000;
    /// Attempts of one request, moves off a leaving upstream not counted.
    std::uint32_t attempts = 6;
    /// A request still running on a leaving upstream moves this long before
    /// the upstream's deadline, one after another with a space between.
    duration move_margin = 2s;
    duration move_spacing = 50ms;
    /// The same for hand-over from an entry that shuts down.
    duration hand_over_margin = 5s;
    /// An answer to a hand-over that takes longer counts as a refusal.
    duration hand_over_wait = 1s;
    /// Pauses between two questions to the journal; they double.
    duration poll_first = 50ms;
    duration poll_most = 1s;
    /// Times that a lost answer of the journal is asked for again.
    std::uint32_t journal_losses = 3;
    /// Pause before a request that is held is looked at again.
    duration hold_pause = 100ms;
    /// A suspect waits this long for an upstream free of other suspects.
    duration isolation_wait = 2s;
    /// No byte of a first token, or between two tokens, for this long is a
    /// failure; more where the class's target is slow.
    duration first_silence = 10s;
    duration token_silence = 3s;
    /// How long the answer of a request that may not be repeated is waited
    /// for after its caller was told that its deadline passed.
    duration late_answer_wait = 60s;
    /// `Retry-After` where nothing better is known.
    duration retry_after = 1s;
};

/// Who this entry is, and its limits.
struct life_cycle_options
{
    node_id node;
    /// Start of the process, as in the journal's records.
    std::uint64_t incarnation = 0;
    /// Seeds the draws that choices take.
    std::uint64_t seed = 0;
    life_cycle_limits limits;
};

/// What happened since the start; never decreases.
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
    /// Input of attempts that are not current.
    std::uint64_t late_inputs = 0;
    /// Tokens that came twice within the current attempt.
    std::uint64_t duplicate_tokens = 0;
    /// Answers with a gap, a wrong length or no end.
    std::uint64_t malformed_answers = 0;
    /// Retries that had to wait for the budget.
    std::uint64_t budget_waits = 0;
    std::uint64_t taken_up = 0;
    std::uint64_t handed_over = 0;
    std::uint64_t quarantined = 0;
    std::uint64_t unknown_outcomes = 0;
};

/// What `step` needs besides the input; valid for one call.
struct serving_context
{
    std::shared_ptr<const configuration> config;
    choose_function choose;
    wall_time wall;
    /// Hashes of the prefix blocks of a prompt, as routing makes them; may
    /// be empty. The prompt is the JSON text of the messages alone, so that
    /// other fields do not part equal prompts.
    std::function<std::vector<std::uint64_t>(std::string_view prompt)>
        prefix_blocks;
};

/// Order in which waiting requests are served: priority, then deadline.
using waiting_key = std::tuple<std::uint32_t, time_point, request_id>;

/// An entry's own shutdown.
struct drain_state
{
    std::optional<time_point> deadline;
    std::vector<node_id> successors;
    bool reported = false;
};

/// All requests of one entry.
struct life_cycle
{
    life_cycle_options options;
    life_cycle_counters counters;

    std::unordered_map<request_id, std::unique_ptr<request_state>> requests;
    std::unordered_map<request_id, request_state*> connections;
    std::unordered_map<attempt_id, request_state*> attempts;
    std::map<service_name, std::set<waiting_key>> waiting;
    std::size_t waiting_count = 0;
    /// Requests that are not ended.
    std::size_t open_count = 0;
    std::set<std::pair<time_point, request_id>> wakes;

    /// Ended requests, oldest first, and the bytes that they keep.
    std::deque<request_id> ended;
    std::size_t ended_bytes = 0;
    /// Where handed-over requests went.
    std::unordered_map<request_id, node_id> moved;
    std::deque<request_id> moved_order;

    /// Attempts that were given up before they were sent; a record that the
    /// journal may yet make of one is released.
    std::unordered_set<attempt_id> given_up;
    std::deque<attempt_id> given_up_order;

    std::map<service_name, retry_budget> budgets;
    quarantine_state crashes;
    /// Upstreams that leave, and until when.
    std::map<upstream_id, time_point> leaving;
    std::optional<drain_state> drain;

    std::uint64_t attempts_made = 0;
    std::uint64_t draws_made = 0;
};

/// Takes one input; returns the actions to carry out, in order.
std::vector<serving_action> step(
    life_cycle& state,
    const serving_input& input,
    const serving_context& context,
    time_point now);

} // namespace bergamotusher::serving
