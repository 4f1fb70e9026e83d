// Blocking HTTP client with a timeout; opens a connection for each request.
#pragma once

#include "observe/ctl/arguments.hpp"

#include <bergamotusher/error_kind.hpp>
#include <bergamotusher/time.hpp>

#include <boost/beast/http/verb.hpp>

#include <string>
#include <variant>

namespace bergamotusher::ctl
{

/// A request. Empty fields send no header.
struct http_request
{
    boost::beast::http::verb method = boost::beast::http::verb::get;
    /// Path and query, percent-encoded.
    std::string target;
    std::string body;
    std::string token;
    std::string if_match;
    std::string idempotency_key;
};

/// The response, whatever its status.
struct http_answer
{
    unsigned status = 0;
    std::string etag;
    std::string body;
};

/// The response, or a failure: `peer_unreachable` if no connection could be
/// opened, so the request was certainly not executed; `outcome_unknown` if the
/// connection failed later, when it may have been executed.
using http_result = std::variant<http_answer, failure>;

/// Sends `request` and waits for the complete response. `timeout` applies
/// separately to connecting, writing and reading. `to` must hold a valid IP
/// address and port; throws otherwise.
http_result
send(const endpoint& to, const http_request& request, duration timeout);

} // namespace bergamotusher::ctl
