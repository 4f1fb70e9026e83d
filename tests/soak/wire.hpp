// A blocking HTTP client that keeps its connection, and a small server that can
// crash: a thread for each connection, since the soak is clear before it is
// fast.
#pragma once

#include <boost/beast/http.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace soak
{

using http_request =
    boost::beast::http::request<boost::beast::http::string_body>;
using http_response =
    boost::beast::http::response<boost::beast::http::string_body>;

/// What came back.
struct reply
{
    /// 0: none.
    int status = 0;
    /// The body came to its end.
    bool complete = false;
    http_response message;
};

/// A connection to one address, opened when it is first needed and kept while
/// the other side keeps it.
class kept_connection
{
public:
    explicit kept_connection(std::string address);
    ~kept_connection();

    reply ask(const http_request& request, double seconds);
    bool is_open() const;

private:
    struct state;
    std::string address_;
    std::unique_ptr<state> state_;
};

/// One request on a connection of its own.
reply ask_once(
    const std::string& address,
    const std::string& method,
    const std::string& target,
    const std::string& body,
    double seconds = 1.2);

/// Writes an answer in pieces; false once the other side is gone.
using piece_writer = std::function<bool(const std::string&)>;
using request_handler =
    std::function<void(const http_request&, const piece_writer&)>;

/// Serves an address from its construction on, until it crashes.
class host
{
public:
    host(const std::string& address, request_handler handler);
    ~host();
    host(const host&) = delete;
    host& operator=(const host&) = delete;

    /// Resets all connections and refuses new ones.
    void crash();

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace soak
