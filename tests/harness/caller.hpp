// An HTTP client that follows the client protocol of the API: streams an answer
// and reattaches to its request at another entry when the entry sends it there
// or the connection breaks.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace bergamotusher::tests
{

/// An HTTP response, complete or up to the point where the connection broke.
struct client_response
{
    /// HTTP status; 0 if there was no connection or it broke before the header
    /// was complete.
    int status = 0;
    /// Whether the end of the response was received, as its head frames it.
    bool complete = false;
    std::map<std::string, std::string> headers;
    std::string body;
    /// Of a stream: the text of each event.
    std::vector<std::string> texts;
    /// Of a stream: the id of each event that has one.
    std::vector<std::uint64_t> event_ids;
    std::string finish_reason;
    /// Whether the end marker `[DONE]` was received.
    bool done = false;
    /// The entry (IP:PORT) named by a `moved` event, at which the client has to
    /// reattach; empty if there was none.
    std::string moved_to;
    /// The data of a stream's error event, or the body of a response with
    /// status 400 or above.
    std::string error;
};

/// An HTTP request and where to send it.
struct client_request
{
    /// IP:PORT.
    std::string address;
    std::string method = "GET";
    std::string path = "/";
    /// Bearer token.
    std::string key;
    std::string body;
    std::map<std::string, std::string> headers;
    /// Time limit from the connection to the end of the response.
    double seconds = 20;
    /// Called after each event of a stream; returning false closes the
    /// connection.
    std::function<bool(const client_response&)> on_event;
};

/// Sends the request on a new connection and reads the response.
client_response send_request(const client_request& request);

/// Streams a chat completion of `tokens` tokens for `prompt` from the first of
/// `entries`. When the connection breaks, reattaches by request id at the next
/// entry, or at the entry named by a `moved` event, until the answer is
/// complete, an error arrives or no entry is left. `on_event` is called after
/// each event.
client_response stream_completion(
    std::vector<std::string> entries,
    const std::string& key,
    const std::string& prompt,
    unsigned tokens,
    const std::function<bool(const client_response&)>& on_event = {});

/// The text of `tokens` tokens that the fake engine generates.
std::string expected_text(unsigned tokens);

/// The concatenated texts of all events.
std::string joined_text(const client_response& answer);

} // namespace bergamotusher::tests
