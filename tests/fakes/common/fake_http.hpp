// A blocking HTTP server and client for the fakes: a thread for each
// connection, because fakes are small and clear before they are fast.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace bergamotusher::fakes
{

/// One request, read whole.
struct fake_request
{
    std::string method;
    std::string path;
    /// Names in lower case.
    std::map<std::string, std::string> headers;
    std::string body;
};

/// Writes one answer, whole or in pieces. Every function returns false once
/// the other side is gone.
class fake_answer
{
public:
    virtual ~fake_answer() = default;
    virtual bool whole(
        int status,
        const std::string& type,
        const std::string& body,
        const std::string& id = "") = 0;
    virtual bool begin(const std::string& type, const std::string& id) = 0;
    virtual bool piece(const std::string& text) = 0;
    virtual bool end() = 0;
};

using fake_handler = std::function<void(const fake_request&, fake_answer&)>;

/// Serves `handler` on IP:PORT until the process ends.
void serve(const std::string& address, const fake_handler& handler);

/// The status and body of an answer; status 0 if there was none.
struct fake_response
{
    int status = 0;
    std::string body;
};

/// Sends one request and waits for its answer, at most a second.
fake_response send_request(
    const std::string& address,
    const std::string& method,
    const std::string& path,
    const std::string& token,
    const std::string& body);

/// The text of the file, without its line end; empty if it cannot be read.
std::string read_token(const std::string& file);

} // namespace bergamotusher::fakes
