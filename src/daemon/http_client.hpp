// HTTP client that opens a connection for each call, used for the platform's
// API and for control requests to engines. Callers' requests are sent by
// `upstreams_duty`.
#pragma once

#include "settings/settings.hpp"

#include <bergamotusher/time.hpp>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace bergamotusher
{

/// Target and content of one HTTP request.
struct http_call
{
    endpoint target;
    std::string method = "GET";
    std::string path = "/";
    /// Sent as JSON if not empty.
    std::string body;
    duration timeout = 1s;
    /// Additional header fields.
    std::vector<std::pair<std::string, std::string>> fields{};
};

/// Response to a call. Status 0 means that no complete response arrived; the
/// target may still have executed the call.
struct http_reply
{
    int status = 0;
    std::string body;
};

/// Sends the request on `loop`, and calls `on_complete` there exactly once.
void call_http(
    boost::asio::io_context& loop,
    const http_call& call,
    std::function<void(http_reply)> on_complete);

} // namespace bergamotusher
