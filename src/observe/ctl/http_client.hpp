// A small blocking HTTP client with a time limit: one request, one answer.
#pragma once

#include "observe/ctl/arguments.hpp"

#include <bergamotusher/error_kind.hpp>
#include <bergamotusher/time.hpp>

#include <boost/beast/http/verb.hpp>

#include <string>
#include <variant>

namespace bergamotusher::ctl
{

/// What is sent. Empty fields send no header.
struct http_request
{
    boost::beast::http::verb method = boost::beast::http::verb::get;
    /// Path and query, escaped.
    std::string target;
    std::string body;
    std::string token;
    std::string if_match;
    std::string idempotency_key;
};

/// What came back, whatever its status.
struct http_answer
{
    unsigned status = 0;
    std::string etag;
    std::string body;
};

/// `peer_unreachable` if no connection came about, so that nothing can have
/// been done; `outcome_unknown` if the answer was lost after that.
using http_result = std::variant<http_answer, failure>;

/// Sends `request` and waits for the whole answer, `timeout` at most for each
/// of connecting, writing and reading.
http_result
send(const endpoint& to, const http_request& request, duration timeout);

} // namespace bergamotusher::ctl
