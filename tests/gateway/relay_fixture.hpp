// An entry's relay on the test's event loop, with scripted upstreams and
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

namespace relay_fixture
{

using namespace bergamotusher;
using namespace bergamotusher::gateway;

/// The dialect of the tests, with the fields Attempt, Signed, Not-Run, Limit
/// ("bad" cannot be read) and Resume.
header_codec test_codec();

/// An upstream that answers each request with its next script.
struct scripted_upstream
{
    /// Bytes to send for each request; "<cut>" at the end closes the
    /// connection, "<reset>" resets it, "<die>" also refuses new ones, and
    /// "<wait>" leaves it open.
    std::vector<std::string> scripts;
    std::vector<std::string> requests;
    int connections = 0;
    /// Runs when a request has been received, before it is answered.
    std::function<void()> on_request;

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

struct entry_fixture
{
    boost::asio::io_context loop{1};
    observe::decision_log log{"test", "entry", {}};
    header_codec codec = test_codec();
    entry_view view;
    std::unique_ptr<relay> requests;
    std::unique_ptr<caller_server> callers;
    std::uint16_t port = 0;

    entry_fixture();

    /// Starts an upstream of `service` and adds it to the entry's directory.
    std::unique_ptr<scripted_upstream> add_upstream(
        const std::string& id,
        const std::string& service,
        const std::string& domain = "north");
    /// Sends `text` on a new connection and returns the bytes received until
    /// the answer is complete, the entry closes the connection, or `limit` has
    /// passed.
    std::string send_request(const std::string& text, duration limit = 2s);
    /// Runs the event loop until `done` returns true or `limit` has passed;
    /// returns whether `done` returned true.
    bool run_until(const std::function<bool()>& done, duration limit = 2s);
};

/// A request to `path` with the test account's key.
std::string
request(const std::string& method, const std::string& path, int attempt = 1);

bool contains(const std::string& text, const std::string& part);

/// A complete answer of a scripted upstream; `more_fields` are whole lines.
std::string answer(
    int status,
    const std::string& body,
    int attempt = 1,
    const std::string& more_fields = {});

/// The head of a stream, and one event of it as a chunk.
std::string stream_head(int attempt = 1);
std::string event(int id);

} // namespace relay_fixture
