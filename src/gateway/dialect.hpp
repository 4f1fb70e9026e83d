// The header fields that carry request metadata between callers, entries and
// upstreams, parsed once into plain structs. A header codec is a table of
// functions, so that supporting another protocol takes one more table.
#pragma once

#include "gateway/http_message.hpp"

#include <bergamotusher/error_kind.hpp>
#include <bergamotusher/ids.hpp>
#include <bergamotusher/time.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bergamotusher::gateway
{

/// The status of an answer of another upstream than the one that was meant: the
/// address has a new owner, and the request has not run.
inline constexpr int status_misdirected = 421;

/// A segment of a prompt, in prompt order. Requests can have leading segments
/// in common; the last segment belongs to one request or one session.
struct prompt_part
{
    std::uint64_t id = 0;
    std::uint64_t tokens = 0;
};

/// Metadata that a request carries in its header fields.
struct request_metadata
{
    /// Identifies one attempt of a client; no two attempts share it.
    std::string attempt;
    std::string host;
    /// The client's timeout, counted from when it sent the request.
    std::optional<duration> client_timeout;
    std::optional<std::string> key;
    std::string model;
    /// Number of prompt tokens and the maximum number of output tokens; absent
    /// if the request does not state them.
    std::optional<std::uint64_t> prompt_tokens;
    std::optional<std::uint64_t> output_tokens;
    std::vector<prompt_part> parts;
    /// The client resumes a stream after the event with this id.
    std::optional<std::uint64_t> resume_after;
};

/// What an entry adds to the request that it sends to an upstream.
struct attempt_metadata
{
    duration time_left{};
    upstream_id expected;
    /// Empty on routes that need no key.
    account_id account;
    std::optional<std::uint64_t> resume_after;
};

/// Metadata that an answer carries in its header fields.
struct answer_metadata
{
    /// Id of the attempt that is answered; empty if the answer does not state
    /// it.
    std::string attempt;
    /// The upstream states that it did not run the request.
    bool not_run = false;
    /// The answer carries the upstream's signature field.
    bool is_signed = false;
    /// The body has a content coding, so it is not the bytes that the upstream
    /// produced.
    bool is_encoded = false;
    /// Running and waiting requests and slots at the upstream, and how long
    /// work takes there now, in percent of the usual time; 0 if not stated.
    struct load
    {
        std::uint32_t running = 0;
        std::uint32_t waiting = 0;
        std::uint32_t slots = 0;
        std::uint32_t pace_percent = 0;
    };
    std::optional<load> upstream_load;
    /// Requests a second that the upstream takes from all entries together, if
    /// the answer names a limit.
    std::optional<double> limit;
    /// The answer names a limit that is not one number of 0 or more.
    bool has_unreadable_limit = false;
    /// Idle timeout of the connection, if the answer states one.
    std::optional<duration> idle_time;
    bool closes = false;
};

struct header_codec
{
    request_metadata (*read_request)(const request_message& request);
    answer_metadata (*read_answer)(int status, const header_fields& fields);
    /// Whether a caller's header field is forwarded to upstreams.
    bool (*is_forwarded)(std::string_view name);
    void (*write_attempt_fields)(
        std::string& out, const attempt_metadata& facts);
    /// Appends the attempt id to an answer that the entry produces itself.
    void (*write_attempt_id)(std::string& out, std::string_view attempt);
};

} // namespace bergamotusher::gateway
