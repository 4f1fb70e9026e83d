// A blocking HTTP client with a persistent connection, and an HTTP server that
// can simulate a crash. The server uses one thread per connection, which is
// simpler than asynchronous handlers and fast enough for the soak test.
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

/// The response to a request, possibly partial.
struct reply
{
    /// HTTP status; 0 if no response head was received.
    int status = 0;
    /// The body was received to its end.
    bool complete = false;
    http_response response;
};

/// A connection to one address, opened by the first request and reused until
/// the server closes it.
class persistent_connection
{
public:
    explicit persistent_connection(std::string address);
    ~persistent_connection();

    reply send(const http_request& request, double timeout_seconds);
    bool is_open() const;

private:
    struct state;
    std::string address_;
    std::unique_ptr<state> state_;
};

/// Sends one request on a new connection.
reply send_once(
    const std::string& address,
    const std::string& method,
    const std::string& target,
    const std::string& body,
    double timeout_seconds = 1.2);

/// Writes the next bytes of a response, head included; returns false once the
/// connection is broken.
using response_writer = std::function<bool(const std::string&)>;
using request_handler =
    std::function<void(const http_request&, const response_writer&)>;

/// Serves requests on an address from construction until `crash`.
class http_server
{
public:
    http_server(const std::string& address, request_handler handler);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Shuts down all connections and accepts no new ones.
    void crash();

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace soak
