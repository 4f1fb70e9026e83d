// What an entry keeps of one request, from its arrival until its answer is
// no longer held for being taken up.
#pragma once

#include "serving/delivered_text.hpp"

#include <bergamotusher/serving.hpp>

#include <optional>
#include <string>
#include <vector>

namespace bergamotusher::serving
{

/// How far a request has come.
enum class request_phase
{
    /// It waits for an upstream to have room, in the queue of its service.
    waiting,
    /// It waits for a pause, the retry budget or a judgement to pass.
    holding,
    /// The journal was asked to record its next attempt.
    journalling,
    /// Another dispatch holds its idempotency key; the journal is asked again.
    polling,
    /// An attempt is at an upstream.
    running,
    /// It was answered; kept so that the answer can be taken up.
    ended
};

/// The attempt that is current.
struct running_attempt
{
    attempt_id id;
    choice where;
    /// Set once it was handed to the upstream's connection to send.
    bool dispatched = false;
    /// The upstream's connection took the whole request.
    bool sent = false;
    /// The upstream went away while the journal was asked.
    bool target_lost = false;
    time_point started;
    std::optional<time_point> first_token;
    time_point last_progress;
    /// Index of the next token of this attempt.
    std::uint64_t next_index = 0;
    /// Prompt and delivered tokens that it computes a second time.
    std::uint32_t recomputed_tokens = 0;
};

/// The end of a request.
struct final_answer
{
    int status = 200;
    std::string content_type;
    /// For an answer that was not produced in pieces.
    std::string body;
    std::string finish_reason;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t answered_tokens = 0;
    /// Set if it ended badly.
    std::optional<failure> error;
    run_claim run = run_claim::unknown;
    std::optional<duration> retry_after;
};

/// A hand-over that was asked for and not answered yet.
struct pending_hand_over
{
    node_id successor;
    time_point give_up;
};

/// One request.
struct request_state
{
    caller_request request;
    /// The connection that answers go to; empty while no caller is there.
    request_id connection;
    bool head_sent = false;

    work_class target;
    /// Route prefix or class, for evidence.
    std::string route;
    bool repeatable = true;
    bool deduplicates = false;
    std::uint32_t retry_percent = 0;
    std::string fingerprint;
    std::vector<std::uint64_t> prefix_blocks;
    std::uint32_t prompt_tokens = 0;
    /// Limit that the caller set on the answer; 0 is none.
    std::uint32_t max_tokens = 0;

    time_point accepted;
    time_point deadline;
    request_phase phase = request_phase::holding;
    std::optional<running_attempt> attempt;

    delivered_text produced;
    /// Events given to the connection, or skipped at its wish.
    std::uint64_t emitted = 0;

    /// An earlier attempt may have run, in part or in whole.
    bool may_have_run = false;
    /// Attempts that count against the limit and the retry budget.
    std::uint32_t charged_attempts = 0;
    /// The next attempt is charged to the retry budget.
    bool next_is_retry = false;
    /// It was counted as waiting for the budget.
    bool waits_for_budget = false;
    /// Why the last attempt failed.
    std::optional<attempt_failure> last_failure;
    /// The upstream that it failed on.
    upstream_id failed_on;
    std::vector<upstream_id> excluded;
    std::vector<failure_domain> avoided;
    /// The version of the first attempt; others come only if it has none.
    version_name version;
    std::uint32_t attempts_started = 0;

    /// When a holding or polling request asks again.
    time_point retry_at;
    duration poll_pause{};
    /// The journal's record stands on this attempt.
    attempt_id journalled;
    /// Questions whose answer was lost.
    std::uint32_t journal_losses = 0;
    /// The journal was asked for the key while no upstream was to be had.
    bool probed = false;
    /// When the caller went away.
    std::optional<time_point> abandoned;
    /// When the attempt must have moved to another upstream.
    std::optional<time_point> move_at;
    /// When the request must have gone to another entry.
    std::optional<time_point> hand_over_at;
    std::optional<pending_hand_over> handing_over;
    std::size_t next_successor = 0;
    std::size_t declined_offers = 0;
    /// First time at which a suspect found no upstream free of others.
    std::optional<time_point> isolating_since;

    /// The caller has its answer; the attempt goes on for the journal only.
    bool answered = false;
    std::optional<final_answer> ending;
    /// An ended request is forgotten then.
    time_point forget_at;
    std::size_t kept_bytes = 0;
    /// The next time at which `tick` looks at it.
    time_point wake_at = time_point::max();
};

} // namespace bergamotusher::serving
