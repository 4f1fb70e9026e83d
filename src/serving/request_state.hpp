// State that an entry keeps for one request, from its arrival until its
// retained answer expires.
#pragma once

#include "serving/delivered_text.hpp"

#include <bergamotusher/serving.hpp>

#include <optional>
#include <string>
#include <vector>

namespace bergamotusher::serving
{

/// Stage of a request's processing.
enum class request_phase
{
    /// Queued in its service's queue until an upstream has room.
    waiting,
    /// Not queued: placement is tried again at `retry_at`, because no upstream
    /// was available, the retry budget was spent, or a crash that involved the
    /// request has not been judged yet.
    delayed,
    /// The journal was asked to record the next attempt; no answer yet.
    journalling,
    /// Another dispatch holds the idempotency key; the journal is asked again
    /// at `retry_at`.
    polling_journal,
    /// An attempt has been dispatched to an upstream.
    running,
    /// Failed; the error is held back until other entries have noted the crash
    /// reports about the request, at most until `retry_at`.
    failing,
    /// Answered; the answer is retained so that a client can reattach.
    ended
};

/// The current attempt of a request.
struct running_attempt
{
    attempt_id id;
    choice target;
    /// Set when the dispatch action was issued.
    bool dispatched = false;
    /// Set when the whole request was written to the upstream's connection.
    bool sent = false;
    /// The upstream was lost or gave notice that it leaves. An attempt that
    /// still waits for the journal must not be dispatched then.
    bool target_unavailable = false;
    time_point started;
    std::optional<time_point> first_token;
    time_point last_progress;
    /// Index of the next expected token, counted from the start of this
    /// attempt.
    std::uint64_t next_index = 0;
    /// Prompt and delivered tokens that the upstream must process again.
    std::uint32_t recomputed_tokens = 0;
};

/// Final result of a request.
struct final_answer
{
    int status = 200;
    std::string content_type;
    /// Body of an answer that was not streamed by the upstream.
    std::string body;
    std::string finish_reason;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t answered_tokens = 0;
    /// Set if the request failed.
    std::optional<failure> error;
    run_claim run = run_claim::unknown;
    std::optional<duration> retry_after;
};

/// An error that is held back from the client.
struct held_error
{
    failure error;
    std::optional<duration> retry_after;
};

/// A hand-over offered to another entry that has not answered yet.
struct pending_hand_over
{
    node_id successor;
    time_point expires_at;
};

/// State of one request.
struct request_state
{
    caller_request request;
    /// Client connection that receives the answer; empty while no client is
    /// connected.
    request_id connection;
    bool head_sent = false;

    work_class request_class;
    /// Matched route prefix, or the class name without one; labels the
    /// observations of attempts.
    std::string route;
    bool repeatable = true;
    bool deduplicates = false;
    std::uint32_t retry_percent = 0;
    std::string fingerprint;
    std::vector<std::uint64_t> prefix_blocks;
    std::uint32_t prompt_tokens = 0;
    /// The client's limit on answer tokens; 0 means no limit.
    std::uint32_t max_tokens = 0;

    time_point accepted;
    time_point deadline;
    request_phase phase = request_phase::delayed;
    std::optional<running_attempt> attempt;

    delivered_text produced;
    /// Events sent to the connection, including those that the client already
    /// had when it reattached.
    std::uint64_t emitted = 0;

    /// An earlier attempt may have run, partly or completely.
    bool may_have_run = false;
    /// Failed attempts that count against the attempt limit.
    std::uint32_t charged_attempts = 0;
    /// The next attempt counts against the retry budget.
    bool next_is_retry = false;
    /// Already counted in `budget_waits` for the current wait.
    bool waits_for_budget = false;
    /// Why the last attempt failed.
    std::optional<attempt_failure> last_failure;
    /// Upstream of the last failed attempt.
    upstream_id failed_upstream;
    std::vector<upstream_id> excluded_upstreams;
    std::vector<failure_domain> avoided_domains;
    /// Version of the latest attempt. Later attempts prefer it while it has
    /// traffic and is not on trial.
    version_name version;
    std::uint32_t attempts_started = 0;

    /// When a `delayed` or `polling_journal` request is placed again, or the
    /// error of a `failing` one is sent at the latest.
    time_point retry_at;
    duration poll_interval{};
    /// Attempt named in the journal's record; empty if there is no record.
    attempt_id recorded_attempt;
    /// Journal requests in a row whose answer was lost.
    std::uint32_t lost_journal_answers = 0;
    /// The journal was already asked about the key without an available
    /// upstream.
    bool journal_probed = false;
    /// When the client disconnected.
    std::optional<time_point> disconnected_at;
    /// When to move the attempt off an upstream that leaves.
    std::optional<time_point> move_at;
    /// When to offer the request to another entry.
    std::optional<time_point> hand_over_at;
    std::optional<pending_hand_over> pending_offer;
    std::size_t next_successor = 0;
    std::size_t declined_offers = 0;
    /// Since when a crash suspect has waited for an upstream that runs no other
    /// suspect.
    std::optional<time_point> isolation_started;

    /// The client was told of the passed deadline; the attempt continues only
    /// so that its answer can be stored in the journal.
    bool caller_answered = false;
    std::optional<held_error> held;
    std::optional<final_answer> outcome;
    /// When the state of an ended request is deleted.
    time_point expires_at;
    std::size_t retained_bytes = 0;
    /// Next time at which `tick` must process the request.
    time_point wake_at = time_point::max();
};

} // namespace bergamotusher::serving
