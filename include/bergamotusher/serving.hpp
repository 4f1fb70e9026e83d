// Inputs and actions of the request life cycle.
//
// `serving::step` (src/serving/life_cycle.hpp) is a pure function from an input
// to a list of actions. The serving duty (worker thread) passes it the inputs
// and carries out the actions; tests call it directly. Each attempt has an
// attempt id; input for an attempt that is no longer current is dropped and
// counted.
#pragma once

#include <bergamotusher/choice.hpp>
#include <bergamotusher/error_kind.hpp>
#include <bergamotusher/event.hpp>
#include <bergamotusher/evidence.hpp>
#include <bergamotusher/ids.hpp>
#include <bergamotusher/journal.hpp>
#include <bergamotusher/time.hpp>
#include <bergamotusher/upstream.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace bergamotusher
{

/// A caller's request, validated and authenticated by the callers duty (worker
/// thread).
struct caller_request
{
    request_id id;
    account_id account;
    service_name service;
    upstream_kind kind = upstream_kind::engine;
    /// The requested class; empty for the service's default class.
    class_name wanted_class;
    std::string method;
    /// Path below the service, for plain services.
    std::string path;
    std::string content_type;
    /// For an engine, the JSON body in the OpenAI shape.
    std::string body;
    /// Whether the caller asked for a streamed answer (server-sent events).
    bool stream = false;
    std::string idempotency_key;
    /// Whether the caller declared the request as repeatable. It can only
    /// restrict the setting of the route or the service; without a value that
    /// setting applies.
    std::optional<bool> repeatable;
};

// --- Inputs ---------------------------------------------------------------

/// A new request from a caller.
struct request_arrived
{
    caller_request request;
};

/// A caller reattaches to one of its requests. The first event that it receives
/// is the one after `last_event`.
struct caller_reattached
{
    /// New id for this connection; answers are sent to it.
    request_id connection;
    request_id request;
    account_id account;
    std::uint64_t last_event = 0;
};

/// The caller disconnected. The request continues for a while, so that the
/// caller can reattach.
struct caller_disconnected
{
    request_id connection;
};

/// The answer to `journal_begin`. Without a `result` there was no quorum and
/// nothing was recorded, or, if `lost` is true, it is not known whether it was
/// recorded.
struct journal_answered
{
    request_id request;
    attempt_id attempt;
    std::optional<begin_result> result;
    bool lost = false;
};

/// The whole request was passed to the connection to the upstream.
struct attempt_sent
{
    attempt_id attempt;
};

/// One token or piece of text of a stream; `index` counts from 0 within the
/// attempt.
struct attempt_token
{
    attempt_id attempt;
    std::uint64_t index = 0;
    std::string text;
};

/// The attempt succeeded: its end-of-stream mark and its full length were
/// received.
struct attempt_finished
{
    attempt_id attempt;
    int status = 200;
    std::string content_type;
    /// Body of an answer that is not streamed.
    std::string body;
    std::string finish_reason;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t cached_tokens = 0;
    std::uint32_t answered_tokens = 0;
    /// Number of pieces that the connection delivered, if it counts them; the
    /// answer is malformed if a different number was received.
    std::optional<std::uint64_t> pieces;
};

/// Why an attempt failed.
enum class attempt_failure
{
    /// No connection was established, so no byte can have reached the upstream.
    connection_refused,
    /// The upstream answered that it did not run the request.
    refused,
    /// The connection broke after bytes may have been sent.
    broken,
    /// The answer violates the protocol.
    malformed,
    /// No byte was received for too long.
    silent,
    /// The upstream answered with a server error.
    server_error
};

/// The attempt failed.
struct attempt_failed
{
    attempt_id attempt;
    attempt_failure reason = attempt_failure::broken;
    /// HTTP status from the upstream; 0 if it gave none.
    int status = 0;
    std::string detail;
};

/// The upstream leaves at `deadline`; its requests must resume elsewhere by
/// then.
struct upstream_leaves
{
    upstream_id target;
    time_point deadline;
};

/// The upstream is lost. `domain_lost` is true if its whole failure domain was
/// lost.
struct upstream_gone
{
    upstream_id target;
    bool domain_lost = false;
};

/// Another entry quarantined this request fingerprint, or saw an upstream crash
/// while running it.
struct crash_reported
{
    std::string fingerprint;
    upstream_id target;
    failure_domain domain;
    /// The entry that waits for an acknowledgement; empty if there is none.
    node_id reply_to{};
};

/// Another entry has noted this entry's report of a crash.
struct crash_acknowledged
{
    node_id from;
    std::string fingerprint;
    upstream_id target;
};

/// This entry shuts down; `deadline` is when its instance is reclaimed, if
/// known.
struct drain_started
{
    std::optional<time_point> deadline;
    /// Entries to which requests can be handed over.
    std::vector<node_id> successors;
};

/// A request that another entry hands over to this entry.
struct request_handed_over
{
    caller_request request;
    /// Text delivered to the caller so far, by token.
    std::vector<std::string> delivered;
    /// Time left until the deadline that the first entry set.
    duration time_left{};
    node_id from;
    /// The version that produced the delivered text; empty if there is none.
    version_name version;
    /// Number of failed attempts so far; the limit applies across entries.
    std::uint32_t failed_attempts = 0;
};

/// Answer to `hand_over`: whether the successor accepted the request.
struct hand_over_answered
{
    request_id request;
    bool taken = false;
};

/// Timer; sent at least every 20 ms.
struct tick
{
};

using serving_input = std::variant<
    request_arrived,
    caller_reattached,
    caller_disconnected,
    journal_answered,
    attempt_sent,
    attempt_token,
    attempt_finished,
    attempt_failed,
    upstream_leaves,
    upstream_gone,
    crash_reported,
    crash_acknowledged,
    drain_started,
    request_handed_over,
    hand_over_answered,
    tick>;

// --- Actions --------------------------------------------------------------

/// Commit to the journal that `attempt` is about to be sent.
struct journal_begin
{
    request_id request;
    journal_record record;
};

/// Commit to the journal the answer of a request that must run at most once.
struct journal_finish
{
    journal_key key;
    attempt_id attempt;
    stored_answer answer;
};

/// Commit to the journal that the request was certainly not run.
struct journal_release
{
    journal_key key;
    attempt_id attempt;
};

/// Send the request to an upstream.
struct dispatch
{
    request_id request;
    attempt_id attempt;
    upstream_id target;
    std::string address;
    upstream_kind kind = upstream_kind::engine;
    std::string method;
    std::string path;
    std::string content_type;
    std::string body;
    std::string idempotency_key;
    bool stream = false;
    std::uint32_t priority = 1;
    /// The attempt fails as `silent` if no byte is received for this long.
    duration silence_limit = 10s;
};

/// Close the attempt's connection; its remaining output is not needed.
struct cancel_attempt
{
    attempt_id attempt;
};

/// Start the answer on a caller's connection.
struct answer_head
{
    request_id connection;
    request_id request;
    int status = 200;
    std::string content_type;
    bool stream = false;
};

/// One piece of a streamed answer. `event` counts from 1 over the whole
/// request, across attempts and entries.
struct answer_piece
{
    request_id connection;
    std::uint64_t event = 0;
    std::string text;
};

/// End of the answer. `body` contains it if it was not streamed; for an engine
/// this is only the text.
struct answer_end
{
    request_id connection;
    std::string body;
    std::string finish_reason;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t answered_tokens = 0;
};

/// An error answer, or an error event if the stream has already started.
struct answer_error
{
    request_id connection;
    request_id request;
    failure error;
    run_claim run = run_claim::unknown;
    std::optional<duration> retry_after;
};

/// Tell the caller on its open stream to reattach to the request at another
/// entry, and end the stream.
struct redirect_caller
{
    request_id connection;
    request_id request;
    node_id successor;
};

/// Hand a request to another entry.
struct hand_over
{
    node_id successor;
    request_handed_over state;
};

/// Tell the entry that handed over a request whether this entry accepted it.
struct hand_over_reply
{
    node_id to;
    request_id request;
    bool taken = false;
};

/// Tell other entries that an upstream crashed while it ran `fingerprint`.
struct report_crash
{
    std::string fingerprint;
    upstream_id target;
    failure_domain domain;
    /// The entries to tell; empty for all others.
    std::vector<node_id> to{};
};

/// Tell the entry that reported a crash that the report is noted.
struct acknowledge_crash
{
    node_id to;
    std::string fingerprint;
    upstream_id target;
};

/// Result of an attempt; input to routing, upstream health and version moves.
struct attempt_observed
{
    upstream_id target;
    evidence_key key;
    std::optional<attempt_failure> failure;
    std::optional<duration> first_token;
    std::optional<duration> mean_gap;
    std::uint32_t recomputed_tokens = 0;
    std::uint32_t cached_tokens = 0;
    std::uint32_t answered_tokens = 0;
};

/// Record an event on the time line.
struct record_event
{
    event value;
};

/// No accepted request is left; the process may stop.
struct drained
{
};

using serving_action = std::variant<
    journal_begin,
    journal_finish,
    journal_release,
    dispatch,
    cancel_attempt,
    answer_head,
    answer_piece,
    answer_end,
    answer_error,
    redirect_caller,
    hand_over,
    hand_over_reply,
    report_crash,
    acknowledge_crash,
    attempt_observed,
    record_event,
    drained>;

constexpr auto enum_names(attempt_failure)
{
    using f = attempt_failure;
    using row = enum_name<f>;
    return std::array{
        row{f::connection_refused, "connection_refused"},
        row{f::refused, "refused"},
        row{f::broken, "broken"},
        row{f::malformed, "malformed"},
        row{f::silent, "silent"},
        row{f::server_error, "server_error"}};
}

} // namespace bergamotusher
