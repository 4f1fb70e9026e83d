// A caller as the API's page describes one: asks for entries, streams an
// answer, and takes a request up again at another entry when told to, or when
// its connection breaks.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace bergamotusher::tests
{

/// One answer, read whole or up to where it broke.
struct caller_answer
{
    /// 0: no connection, or it broke before the head.
    int status = 0;
    std::map<std::string, std::string> headers;
    std::string body;
    /// Events of a stream.
    std::vector<std::string> texts;
    std::vector<std::uint64_t> event_ids;
    std::string finish_reason;
    /// `[DONE]` was seen.
    bool done = false;
    /// Where a stream was told to go on; empty if it was not.
    std::string moved_to;
    /// The error event of a stream, or the problem document.
    std::string error;
};

/// What to send.
struct caller_call
{
    std::string address;
    std::string method = "GET";
    std::string path = "/";
    std::string key;
    std::string body;
    std::map<std::string, std::string> headers;
    double seconds = 20;
    /// Runs after each event of a stream; false closes the connection.
    std::function<bool(const caller_answer&)> on_event;
};

/// Makes one call.
caller_answer call(const caller_call& what);

/// Streams a question of `tokens` tokens at one of `entries`; goes on by
/// request id at the others until the answer is whole or none is left.
/// `on_event` runs after each event.
caller_answer
ask(std::vector<std::string> entries,
    const std::string& key,
    const std::string& prompt,
    unsigned tokens,
    const std::function<bool(const caller_answer&)>& on_event = {});

/// The answer of `tokens` tokens that the fake engine gives.
std::string expected_text(unsigned tokens);

/// All texts of the answer, joined.
std::string joined(const caller_answer& answer);

} // namespace bergamotusher::tests
