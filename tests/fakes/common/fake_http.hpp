// A blocking HTTP server and client for the fakes, with a thread for each
// connection: simplicity matters more here than speed.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace bergamotusher::fakes
{

/// A complete request.
struct fake_request
{
    std::string method;
    std::string path;
    /// The names are in lower case.
    std::map<std::string, std::string> headers;
    std::string body;
};

/// Writes the response to one request, either at once or in chunks. Every
/// function returns false if the connection is closed.
class response_writer
{
public:
    virtual ~response_writer() = default;
    /// Sends a complete response; `X-Request-Id` only if the id is not empty.
    virtual bool send_response(
        int status,
        const std::string& content_type,
        const std::string& body,
        const std::string& request_id = "") = 0;
    /// Sends the header of a chunked response with status 200.
    virtual bool begin_chunked(
        const std::string& content_type, const std::string& request_id) = 0;
    /// Sends one chunk.
    virtual bool send_chunk(const std::string& text) = 0;
    /// Sends the last chunk.
    virtual bool end_chunked() = 0;
    /// Sends bytes as they are.
    virtual bool send_bytes(const std::string& bytes) = 0;
};

using request_handler =
    std::function<void(const fake_request&, response_writer&)>;

/// Listens at `address` (IP:PORT) and calls `handler` for each request, on the
/// thread of its connection, until the process ends. Throws if `address` is not
/// valid or cannot be bound.
void serve(const std::string& address, const request_handler& handler);

/// The status and body of a response; status 0 if there was none.
struct fake_response
{
    int status = 0;
    std::string body;
};

/// Sends one request and waits at most 1 s for the response.
fake_response send_request(
    const std::string& address,
    const std::string& method,
    const std::string& path,
    const std::string& token,
    const std::string& body);

/// Returns the first line of the file; empty if it cannot be read.
std::string read_token(const std::string& file);

} // namespace bergamotusher::fakes
