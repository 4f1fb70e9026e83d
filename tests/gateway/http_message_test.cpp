// Header fields must be forwarded as they were received.
#include "gateway/http_message.hpp"

#include <catch2/catch.hpp>

#include <limits>

using namespace bergamotusher::gateway;

namespace
{

parse_outcome read(request_parser& parser, std::string text)
{
    boost::beast::error_code error;
    parser.eager(true);
    return feed(parser, text, error);
}

} // namespace

TEST_CASE("a parsed request keeps order, spelling and duplicates of its fields")
{
    request_parser parser;
    REQUIRE(
        read(
            parser,
            "POST /a/b?c=%20 HTTP/1.1\r\nhOST: x\r\nX-One: 1\r\nx-one: 2\r\n"
            "Content-Length: 3\r\n\r\nabc") == parse_outcome::done);
    CHECK(parser.message.method == "POST");
    CHECK(parser.message.target == "/a/b?c=%20");
    CHECK(parser.message.body == "abc");
    REQUIRE(parser.message.fields.size() == 4);
    CHECK(parser.message.fields[0].name == "hOST");
    CHECK(parser.message.fields[2].name == "x-one");
    CHECK(count_fields(parser.message.fields, "X-ONE") == 2);
}

TEST_CASE("a request can be parsed byte by byte")
{
    const std::string text =
        "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    request_parser parser;
    parser.eager(true);
    std::string buffer;
    parse_outcome outcome = parse_outcome::needs_more;
    for (const char c : text)
    {
        REQUIRE(outcome == parse_outcome::needs_more);
        buffer += c;
        boost::beast::error_code error;
        outcome = feed(parser, buffer, error);
    }
    CHECK(outcome == parse_outcome::done);
    CHECK(parser.message.body == "abcde");
}

TEST_CASE("bytes after a request stay in the buffer for the next one")
{
    request_parser parser;
    parser.eager(true);
    std::string buffer = "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1";
    boost::beast::error_code error;
    CHECK(feed(parser, buffer, error) == parse_outcome::done);
    CHECK(buffer == "GET /2 HTTP/1.1");
}

TEST_CASE("an answer with a length is parsed without a body limit")
{
    answer_parser parser;
    parser.eager(true);
    parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    std::string buffer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
    boost::beast::error_code error;
    REQUIRE(feed(parser, buffer, error) == parse_outcome::done);
    CHECK(parser.body == "hello");
}

TEST_CASE("bytes that are no HTTP message are reported as malformed")
{
    request_parser parser;
    CHECK(read(parser, "\x01\x02 nothing\r\n\r\n") == parse_outcome::malformed);
}

TEST_CASE("hop-by-hop fields are recognized, also those named by Connection")
{
    CHECK(is_hop_by_hop("keep-alive", ""));
    CHECK(is_hop_by_hop("X-Mine", "close, x-mine"));
    CHECK_FALSE(is_hop_by_hop("X-Mine", "close"));
}

TEST_CASE(
    "chunks state their length in hexadecimal, and empty ones are omitted")
{
    std::string out;
    append_chunk(out, std::string(26, 'x'));
    CHECK(out.substr(0, 4) == "1a\r\n");
    append_chunk(out, "");
    CHECK(out.size() == 4 + 26 + 2);
}
