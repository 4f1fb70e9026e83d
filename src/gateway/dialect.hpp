// The header fields by which callers, an entry and upstreams tell each other
// about a request, read once into plain structs. A dialect is a table of
// functions, so that another wire costs one table.
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

/// A part of a prompt, in order. Requests share parts; the last one is the
/// request's own or its session's.
struct prompt_part
{
    std::uint64_t id = 0;
    std::uint64_t tokens = 0;
};

/// What a request says of itself.
struct request_facts
{
    /// Unique for each attempt of a client.
    std::string attempt;
    std::string host;
    /// How long the client waits from the sending on.
    std::optional<duration> patience;
    std::optional<std::string> key;
    std::string model;
    /// Tokens in, and at most out; absent if the request names none.
    std::optional<std::uint64_t> prompt_tokens;
    std::optional<std::uint64_t> output_tokens;
    std::vector<prompt_part> parts;
    /// The client goes on with a stream after this event.
    std::optional<std::uint64_t> resume_after;
};

/// What an entry tells the upstream beside what the caller sent.
struct send_facts
{
    duration time_left{};
    upstream_id expected;
    /// Empty on routes that are open to all.
    account_id account;
    std::optional<std::uint64_t> resume_after;
};

/// What an answer says of itself.
struct answer_facts
{
    /// The attempt it answers; empty if it does not say.
    std::string attempt;
    /// The upstream states that it did not run the request.
    bool not_run = false;
    /// It bears the upstream's signature.
    bool is_signed = false;
    /// The body is not the upstream's own bytes.
    bool is_encoded = false;
    /// Running, waiting and slots at the upstream, if it tells its load.
    struct load
    {
        std::uint32_t running = 0;
        std::uint32_t waiting = 0;
        std::uint32_t slots = 0;
    };
    std::optional<load> upstream_load;
    /// How long the connection may stay idle, if the answer says so.
    std::optional<duration> idle_time;
    bool closes = false;
};

struct dialect
{
    request_facts (*read_request)(const request_message& request);
    answer_facts (*read_answer)(int status, const header_fields& fields);
    /// Whether a caller's field is passed on to upstreams.
    bool (*passes_on)(std::string_view name);
    void (*write_send)(std::string& out, const send_facts& facts);
    /// The field that repeats the attempt in an answer of the entry's own.
    void (*write_attempt)(std::string& out, std::string_view attempt);
};

} // namespace bergamotusher::gateway
