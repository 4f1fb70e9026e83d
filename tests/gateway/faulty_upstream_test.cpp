// Answers of faulty upstreams: repeated refusals on a connection that is in use
// again, and errors where a stream should continue.
#include "gateway/relay_fixture.hpp"

#include <catch2/catch.hpp>

using namespace bergamotusher;
using namespace bergamotusher::gateway;
using namespace relay_fixture;

namespace
{

std::string refusal(const std::string& attempt_field)
{
    return "HTTP/1.1 503 X\r\nNot-Run: 1\r\n" + attempt_field +
           "Content-Length: 0\r\n\r\n";
}

} // namespace

// Guards against a refusal that an upstream writes once more and that is taken
// for the answer to the next request, which then runs twice or is said not to
// have run.
TEST_CASE("a repeated refusal does not answer the next request")
{
    entry_fixture entry;
    const auto upstream = entry.add_upstream("u1", "desk");

    SECTION("when it names the earlier request")
    {
        upstream->scripts = {
            refusal("Attempt: 1\r\n"),
            refusal("Attempt: 1\r\n") + answer(200, "mine", 2)};
        CHECK(contains(
            entry.send_request(request("POST", "/order/1")), "HTTP/1.1 503"));
        // The upstream counts as full until its refusal has aged.
        entry.run_until([] { return false; }, 600ms);
        CHECK(contains(
            entry.send_request(request("POST", "/order/2", 2)), "mine"));
        CHECK(upstream->connections == 1);
    }
    SECTION("when it names no request")
    {
        upstream->scripts = {
            answer(200, "first"), refusal("") + answer(200, "mine", 2)};
        CHECK(
            contains(entry.send_request(request("POST", "/order/1")), "first"));
        std::unique_ptr<scripted_upstream> other;
        upstream->on_request = [&]
        {
            other = entry.add_upstream("u2", "desk");
            other->scripts = {answer(200, "twice", 2)};
        };
        const std::string received =
            entry.send_request(request("POST", "/order/2", 2));
        REQUIRE(upstream->connections == 1);
        REQUIRE(upstream->requests.size() == 2);
        REQUIRE(other);
        // The order may have run: it runs nowhere else and is not refused.
        CHECK(other->requests.empty());
        CHECK(contains(received, "HTTP/1.1 502"));
    }
    SECTION("when it comes right after the first copy")
    {
        upstream->scripts = {
            refusal("Attempt: 1\r\n") + refusal("Attempt: 1\r\n"),
            answer(200, "mine", 2)};
        CHECK(contains(
            entry.send_request(request("POST", "/order/1")), "HTTP/1.1 503"));
        entry.run_until([] { return false; }, 600ms);
        CHECK(contains(
            entry.send_request(request("POST", "/order/2", 2)), "mine"));
        CHECK(upstream->connections == 2);
    }
    SECTION("but one on a new connection is the answer")
    {
        upstream->scripts = {refusal("")};
        CHECK(contains(
            entry.send_request(request("POST", "/order/1")), "HTTP/1.1 503"));
    }
}

// Guards against an error of the next upstream in the middle of a stream, and
// against a stream that is ended by it as if it were complete.
TEST_CASE("an error does not continue a stream")
{
    entry_fixture entry;
    const auto first = entry.add_upstream("u1", "llm");
    const auto second = entry.add_upstream("u2", "llm");
    first->scripts = {stream_head() + event(1) + event(2) + "<cut>"};
    const std::string text = "id: 9\ndata: broken\n\n";
    const std::string length =
        "Content-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text;
    const std::string signed_error = "X\r\nSigned: yes\r\nAttempt: 1\r\n";

    SECTION("whatever the next upstream answers")
    {
        const std::string answered = GENERATE_COPY(
            "HTTP/1.1 500 " + signed_error + length,
            "HTTP/1.1 404 " + signed_error + length,
            "HTTP/1.1 429 " + signed_error + length,
            "HTTP/1.1 500 " + signed_error + "\r\n" + text + "<cut>",
            "HTTP/1.1 500 " + signed_error + "Transfer-Encoding: chunked\r\n" +
                "\r\n14\r\n" + text + "\r\n0\r\n\r\n",
            "HTTP/1.1 302 " + signed_error + "Location: /x\r\n" + length,
            "HTTP/1.1 204 " + signed_error + "\r\n<cut>",
            "HTTP/1.1 503 X\r\nNot-Run: 1\r\nAttempt: 1\r\n" + length,
            "HTTP/1.1 200 X\r\nAttempt: 1\r\n" + length,
            "HTTP/1.1 200 " + signed_error +
                "Content-Type: application/json\r\n" + length,
            "HTTP/1.1 200 " + signed_error + "\r\n<cut>",
            "HTTP/1.1 200 " + signed_error + "\r\n" + text.substr(0, 8) +
                "<cut>",
            text + "<cut>",
            std::string("<cut>"),
            stream_head() + event(1) + "0\r\n\r\n");
        CAPTURE(answered);
        second->scripts = {answered};
        const std::string received =
            entry.send_request(request("POST", "/chat/1"));
        REQUIRE(second->requests.size() == 1);
        CHECK(contains(second->requests[0], "Resume: 2\r\n"));
        const std::size_t last = received.find("id: 2\ndata: x\n\n");
        REQUIRE(last != std::string::npos);
        // Nothing but the end of that chunk and of the connection follows.
        CHECK(received.substr(last) == "id: 2\ndata: x\n\n\r\n<closed>");
    }
    SECTION("but the rest of the stream does, without a length too")
    {
        second->scripts = {
            "HTTP/1.1 200 " + signed_error + "\r\nid: 3\ndata: x\n\n<cut>"};
        const std::string received =
            entry.send_request(request("POST", "/chat/1"));
        CHECK(contains(received, "id: 3\ndata: x\n\n\r\n0\r\n\r\n"));
    }
}
