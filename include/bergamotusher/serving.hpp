// The request life cycle: what it is told and what it asks for.
//
// `serving::step` (src/serving/life_cycle.hpp) is a pure function from an
// input to a list of actions. The serving duty feeds it and carries the
// actions out; tests feed it directly. Every attempt carries an attempt id,
// and input of an attempt that is not current is dropped and counted.
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

/// A caller's request, checked and authenticated by the callers duty.
struct caller_request
{
    request_id id;
    account_id account;
    service_name service;
    upstream_kind kind = upstream_kind::engine;
    /// Empty: the service's default class.
    class_name wanted_class;
    std::string method;
    /// Path below the service, for a plain service.
    std::string path;
    std::string content_type;
    /// For an engine, the JSON body in the OpenAI shape.
    std::string body;
    /// Whether the caller wants a stream of events.
    bool stream = false;
    std::string idempotency_key;
    /// What the caller said; the route and the service decide otherwise.
    std::optional<bool> repeatable;
};

// --- Inputs ---------------------------------------------------------------

/// A new request from a caller.
struct request_arrived
{
    caller_request request;
};

/// A caller takes a request of its own up again. The first event it gets is
/// the one after `last_event`.
struct request_resumed
{
    /// A new id for this connection; answers go to it.
    request_id connection;
    request_id request;
    account_id account;
    std::uint64_t last_event = 0;
};

/// The caller's connection is gone. The request goes on for a while, so that
/// it can be taken up.
struct caller_gone
{
    request_id connection;
};

/// The journal's answer to `journal_begin`; no value: no quorum, nothing
/// was recorded, or `lost`: nobody can tell.
struct journal_answered
{
    request_id request;
    attempt_id attempt;
    std::optional<begin_result> result;
    bool lost = false;
};

/// The whole request was handed to the upstream's connection.
struct attempt_sent
{
    attempt_id attempt;
};

/// One token, or one piece of text, of a stream; counted from 0 within the
/// attempt.
struct attempt_token
{
    attempt_id attempt;
    std::uint64_t index = 0;
    std::string text;
};

/// The attempt ended well, with its end-of-stream mark and full length seen.
struct attempt_finished
{
    attempt_id attempt;
    int status = 200;
    std::string content_type;
    /// For an answer that is not a stream.
    std::string body;
    std::string finish_reason;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t cached_tokens = 0;
    std::uint32_t answered_tokens = 0;
    /// Pieces that the connection gave out, if it counts them; an answer
    /// of which fewer or more were seen is malformed.
    std::optional<std::uint64_t> pieces;
};

/// How an attempt failed.
enum class attempt_failure
{
    /// No connection came about: no byte can have reached the upstream.
    connection_refused,
    /// The upstream itself said that it did not run the request.
    refused,
    /// The connection broke after bytes may have been sent.
    broken,
    /// The answer is not what the protocol allows.
    malformed,
    /// No byte came for too long.
    silent,
    /// The upstream answered with a server error of its own.
    server_error
};

/// The attempt ended badly.
struct attempt_failed
{
    attempt_id attempt;
    attempt_failure reason = attempt_failure::broken;
    /// The upstream's status, if it gave one.
    int status = 0;
    std::string detail;
};

/// The upstream leaves at `deadline`; its work must be elsewhere by then.
struct upstream_leaves
{
    upstream_id target;
    time_point deadline;
};

/// The upstream is gone. `domain_lost` if its whole failure domain went.
struct upstream_gone
{
    upstream_id target;
    bool domain_lost = false;
};

/// Another entry quarantined, or crashed upstreams with, this fingerprint.
struct crash_reported
{
    std::string fingerprint;
    upstream_id target;
    failure_domain domain;
};

/// This entry shuts down; `deadline` is when its instance goes, if known.
struct drain_started
{
    std::optional<time_point> deadline;
    /// Entries that can take requests over.
    std::vector<node_id> successors;
};

/// A request that another entry hands over to this one.
struct request_handed_over
{
    caller_request request;
    /// Text delivered so far, token by token.
    std::vector<std::string> delivered;
    /// Time left until the first deadline.
    duration time_left{};
    node_id from;
    /// The version that the text came from; empty if there is none.
    version_name version;
    /// Attempts that failed so far; the limit holds over entries.
    std::uint32_t failed_attempts = 0;
};

/// The answer to `hand_over`: the successor has it, or does not.
struct hand_over_answered
{
    request_id request;
    bool taken = false;
};

/// Time has passed; sent at least every 20 ms.
struct tick
{
};

using serving_input = std::variant<
    request_arrived,
    request_resumed,
    caller_gone,
    journal_answered,
    attempt_sent,
    attempt_token,
    attempt_finished,
    attempt_failed,
    upstream_leaves,
    upstream_gone,
    crash_reported,
    drain_started,
    request_handed_over,
    hand_over_answered,
    tick>;

// --- Actions --------------------------------------------------------------

/// Commit that `attempt` is about to be sent.
struct journal_begin
{
    request_id request;
    journal_record record;
};

/// Commit the answer of a request that may not be repeated.
struct journal_finish
{
    journal_key key;
    attempt_id attempt;
    stored_answer answer;
};

/// Commit that the request was certainly not run.
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
    /// Fail with `silent` when no byte comes for this long.
    duration silence_limit = 10s;
};

/// Close the attempt's connection; nothing of it is wanted any more.
struct cancel_attempt
{
    attempt_id attempt;
};

/// Begin the answer on a caller's connection.
struct answer_head
{
    request_id connection;
    request_id request;
    int status = 200;
    std::string content_type;
    bool stream = false;
};

/// One piece of a streamed answer. `event` counts from 1 over the whole
/// request, whatever attempts and entries it went through.
struct answer_piece
{
    request_id connection;
    std::uint64_t event = 0;
    std::string text;
};

/// The answer is whole. `body` holds it where it was not streamed; for an
/// engine this is the text alone.
struct answer_end
{
    request_id connection;
    std::string body;
    std::string finish_reason;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t answered_tokens = 0;
};

/// An error answer; on a stream already begun, an error event.
struct answer_error
{
    request_id connection;
    request_id request;
    failure error;
    run_claim run = run_claim::unknown;
    std::optional<duration> retry_after;
};

/// Tell the caller, on its open stream, to take the request up at another
/// entry, and end the stream.
struct answer_moved
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

/// Tell the entry that handed a request over whether this one has it.
struct hand_over_reply
{
    node_id to;
    request_id request;
    bool taken = false;
};

/// Tell every entry that an upstream died while it ran `fingerprint`.
struct report_crash
{
    std::string fingerprint;
    upstream_id target;
    failure_domain domain;
};

/// What an attempt showed of its upstream; for routing, health and moves.
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

/// Nothing accepted is left; the process may stop.
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
    answer_moved,
    hand_over,
    hand_over_reply,
    report_crash,
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
