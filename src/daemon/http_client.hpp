// One HTTP request on a connection of its own, for the platform's API and
// for orders to engines. Attempts of callers go through `upstreams_duty`.
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

/// What to ask, and of whom.
struct http_call
{
    endpoint target;
    std::string method = "GET";
    std::string path = "/";
    /// Sent as JSON if not empty.
    std::string body;
    duration time_limit = 1s;
    /// More header fields.
    std::vector<std::pair<std::string, std::string>> fields{};
};

/// What came back. Status 0: no answer; the call may have had its effect.
struct http_reply
{
    int status = 0;
    std::string body;
};

/// Makes the call on `loop`; `done` runs there, once.
void call_http(
    boost::asio::io_context& loop,
    const http_call& call,
    std::function<void(http_reply)> done);

} // namespace bergamotusher
