#include "gateway/relay_fixture.hpp"

#include "base/clock.hpp"
#include "site/sample_site.hpp"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <limits>
#include <sstream>

namespace relay_fixture
{

namespace
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost_error = boost::system::error_code;

request_metadata read_request(const request_message& message)
{
    request_metadata facts;
    if (const auto* value = find_field(message.fields, "Attempt"))
        facts.attempt = *value;
    if (const auto* value = find_field(message.fields, "Host"))
        facts.host = *value;
    if (const auto* value = find_field(message.fields, "Key"))
        facts.key = *value;
    if (const auto* value = find_field(message.fields, "Parts"))
    {
        std::istringstream ids(*value);
        for (std::uint64_t id = 0; ids >> id;)
            facts.parts.push_back({id, 10});
    }
    if (const auto* value = find_field(message.fields, "Patience-Ms"))
        facts.client_timeout =
            std::chrono::milliseconds(parse_number(*value).value_or(0));
    return facts;
}

answer_metadata read_answer(int, const header_fields& fields)
{
    answer_metadata facts;
    if (const auto* value = find_field(fields, "Attempt"))
        facts.attempt = *value;
    facts.is_signed = find_field(fields, "Signed") != nullptr;
    facts.not_run = find_field(fields, "Not-Run") != nullptr;
    if (const auto* value = find_field(fields, "Limit"))
    {
        facts.has_unreadable_limit = *value == "bad";
        if (!facts.has_unreadable_limit)
            facts.limit = std::stod(*value);
    }
    return facts;
}

bool is_forwarded(std::string_view name)
{
    return name != "Key";
}

void write_attempt_fields(std::string& out, const attempt_metadata& facts)
{
    append_field(out, "Account", facts.account.value);
    if (facts.resume_after)
        append_field(out, "Resume", std::to_string(*facts.resume_after));
}

void write_attempt_id(std::string& out, std::string_view attempt)
{
    append_field(out, "Attempt", attempt);
}

} // namespace

header_codec test_codec()
{
    return {
        read_request,
        read_answer,
        is_forwarded,
        write_attempt_fields,
        write_attempt_id};
}

struct scripted_upstream::session
    : std::enable_shared_from_this<scripted_upstream::session>
{
    session(tcp::socket connected, scripted_upstream& upstream)
        : socket(std::move(connected)), owner(upstream)
    {
    }

    void read()
    {
        socket.async_read_some(
            asio::buffer(chunk),
            [self = shared_from_this()](boost_error error, std::size_t size)
            {
                if (error)
                    return;
                self->handle_bytes(size);
                if (self->socket.is_open())
                    self->read();
            });
    }

    void handle_bytes(std::size_t size)
    {
        buffer.append(chunk.data(), size);
        if (buffer.find("\r\n\r\n") == std::string::npos)
            return;
        owner.requests.push_back(std::exchange(buffer, {}));
        if (owner.on_request)
            owner.on_request();
        std::string script;
        if (!owner.scripts.empty())
        {
            script = owner.scripts.front();
            owner.scripts.erase(owner.scripts.begin());
        }
        const auto marker = script.find('<');
        const std::string action =
            marker == std::string::npos ? "" : script.substr(marker);
        answer = script.substr(0, marker);
        asio::async_write(
            socket,
            asio::buffer(answer),
            [self = shared_from_this(), action](boost_error, std::size_t)
            {
                boost_error ignored;
                if (action == "<reset>")
                    self->socket.set_option(
                        asio::socket_base::linger(true, 0), ignored);
                if (action == "<die>")
                    self->owner.acceptor_.close(ignored);
                if (action == "<reset>" || action == "<cut>" ||
                    action == "<die>")
                    self->socket.close(ignored);
            });
    }

    tcp::socket socket;
    scripted_upstream& owner;
    std::string answer;
    std::array<char, 4096> chunk{};
    std::string buffer;
};

scripted_upstream::scripted_upstream(asio::io_context& loop, std::string name)
    : id(std::move(name))
    , loop_(loop)
    , acceptor_(loop, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
{
    accept();
}

std::string scripted_upstream::address() const
{
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
}

void scripted_upstream::accept()
{
    acceptor_.async_accept(
        [this](boost_error error, tcp::socket socket)
        {
            if (error)
                return;
            ++connections;
            auto created = std::make_shared<session>(std::move(socket), *this);
            created->read();
            sessions_.push_back(created);
            accept();
        });
}

entry_fixture::entry_fixture()
{
    view.site = site::index_configuration(sample::configuration());
    view.site_valid_until = uptime() + 1h;
    view.site_confirmed_at = uptime() + 1h;
    requests = std::make_unique<relay>(loop, codec, relay_options{}, view, log);
    // The server needs a fixed port, so a free one is looked up first.
    tcp::acceptor probe(
        loop, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    port = probe.local_endpoint().port();
    probe.close();
    caller_server_options options;
    options.address = {"127.0.0.1", port};
    callers = std::make_unique<caller_server>(
        loop, *requests, options, [this] { return view.site->value.limits; });
}

std::unique_ptr<scripted_upstream> entry_fixture::add_upstream(
    const std::string& id,
    const std::string& service,
    const std::string& domain)
{
    auto created = std::make_unique<scripted_upstream>(loop, id);
    site::upstream value;
    value.id = {id};
    value.service = {service};
    value.address = created->address();
    value.domain = {domain};
    value.slots = 8;
    value.sequence = 1;
    merge(view.directory, value, uptime());
    requests->on_upstreams_changed();
    return created;
}

bool entry_fixture::run_until(const std::function<bool()>& done, duration limit)
{
    const time_point end = uptime() + limit;
    while (!done())
    {
        if (uptime() > end)
            return false;
        loop.restart();
        loop.run_for(std::chrono::milliseconds(2));
    }
    return true;
}

std::string entry_fixture::send_request(const std::string& text, duration limit)
{
    tcp::socket socket(loop);
    socket.connect(tcp::endpoint(asio::ip::address_v4::loopback(), port));
    asio::write(socket, asio::buffer(text));
    std::string received;
    std::array<char, 4096> chunk{};
    bool done = false;
    std::function<void()> read = [&]
    {
        socket.async_read_some(
            asio::buffer(chunk),
            [&](boost_error error, std::size_t size)
            {
                received.append(chunk.data(), size);
                if (error)
                {
                    if (error != asio::error::operation_aborted)
                        received += "<closed>";
                    done = true;
                    return;
                }
                answer_parser parser;
                parser.eager(true);
                parser.body_limit(std::numeric_limits<std::uint64_t>::max());
                std::string copy = received;
                boost::beast::error_code ignored;
                done = feed(parser, copy, ignored) == parse_outcome::done;
                if (!done)
                    read();
            });
    };
    read();
    run_until([&] { return done; }, limit);
    boost_error ignored;
    socket.close(ignored);
    loop.restart();
    loop.poll();
    return received;
}

std::string
request(const std::string& method, const std::string& path, int attempt)
{
    return method + " " + path +
           " HTTP/1.1\r\nHost: shop.example\r\nKey: key-1\r\nAttempt: " +
           std::to_string(attempt) + "\r\nContent-Length: 0\r\n\r\n";
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

std::string answer(
    int status,
    const std::string& body,
    int attempt,
    const std::string& more_fields)
{
    return "HTTP/1.1 " + std::to_string(status) +
           " X\r\nSigned: yes\r\nAttempt: " + std::to_string(attempt) + "\r\n" +
           more_fields + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

std::string stream_head(int attempt)
{
    return "HTTP/1.1 200 OK\r\nSigned: yes\r\nAttempt: " +
           std::to_string(attempt) + "\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string event(int id)
{
    std::string chunk;
    append_chunk(chunk, "id: " + std::to_string(id) + "\ndata: x\n\n");
    return chunk;
}

} // namespace relay_fixture
