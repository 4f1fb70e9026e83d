// An entry's relay on a loop of the test, between a scripted upstream and
// callers on loopback.
#pragma once

#include "gateway/caller_server.hpp"
#include "gateway/relay.hpp"
#include "observe/decision_log.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace relay_world
{

using namespace bergamotusher;
using namespace bergamotusher::gateway;

/// A word dialect for tests: Attempt, Signed, Not-Run, Resume.
dialect test_words();

/// An upstream that answers each request with the next script.
struct scripted_upstream
{
    /// Bytes to send for a request; "<cut>" at the end closes the connection,
    /// "<reset>" resets it, and "<wait>" leaves it open.
    std::vector<std::string> scripts;
    std::vector<std::string> requests;
    int connections = 0;

    scripted_upstream(boost::asio::io_context& loop, std::string id);
    std::string address() const;

    std::string id;

private:
    struct session;
    void accept();
    boost::asio::io_context& loop_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::vector<std::weak_ptr<session>> sessions_;
};

struct world
{
    boost::asio::io_context loop{1};
    observe::decision_log log{"test", "entry", {}};
    dialect words = test_words();
    entry_view view;
    std::unique_ptr<relay> requests;
    std::unique_ptr<caller_server> callers;
    std::uint16_t port = 0;

    world();

    /// Adds an upstream of `service` to the entry's directory.
    std::unique_ptr<scripted_upstream>
    upstream(const std::string& id, const std::string& service);
    /// Sends `text` on a new connection and returns what comes back until the
    /// answer is whole, the entry closes, or `limit` has passed.
    std::string ask(const std::string& text, duration limit = 2s);
    /// Turns the loop until `done` or the limit; whether it was done.
    bool run_until(const std::function<bool()>& done, duration limit = 2s);
};

/// A request to `path` with the test's key.
std::string
request(const std::string& method, const std::string& path, int attempt = 1);

/// A whole answer of the scripted upstream.
std::string answer(int status, const std::string& body, int attempt = 1);

/// The head of a stream, and one event of it as a chunk.
std::string stream_head(int attempt = 1);
std::string event(int id);

} // namespace relay_world
