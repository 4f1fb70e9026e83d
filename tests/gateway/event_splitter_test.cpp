// Guards against forwarding a part of an event: the stream could not be resumed
// from there.
#include "gateway/event_splitter.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace bergamotusher::gateway;

TEST_CASE("an event is returned once its blank line was received")
{
    event_splitter splitter;
    CHECK(split_events(splitter, "id: 1\ndata: a\n").empty());
    CHECK(split_events(splitter, "\nid: 2\nda") == "id: 1\ndata: a\n\n");
    CHECK(splitter.last_id == 1);
    CHECK(splitter.events == 1);
    CHECK(splitter.partial == "id: 2\nda");
}

TEST_CASE("lines can end with CRLF")
{
    event_splitter splitter;
    CHECK(!split_events(splitter, "id: 7\r\ndata: a\r\n\r\n").empty());
    CHECK(splitter.last_id == 7);
}

TEST_CASE("a stream split at any byte yields complete events in order")
{
    CHECK(rc::check(
        "pieces of random size",
        []
        {
            std::string stream;
            const auto events = *rc::gen::inRange(1, 9);
            for (int i = 1; i <= events; ++i)
                stream +=
                    "id: " + std::to_string(i) + "\ndata: " +
                    std::string(
                        static_cast<std::size_t>(*rc::gen::inRange(0, 30)),
                        'x') +
                    "\n\n";
            event_splitter splitter;
            std::string out;
            for (std::size_t at = 0; at < stream.size();)
            {
                const auto size =
                    static_cast<std::size_t>(*rc::gen::inRange(1, 20));
                out += split_events(splitter, stream.substr(at, size));
                const bool ends_whole =
                    out.empty() || out.substr(out.size() - 2) == "\n\n";
                RC_ASSERT(ends_whole);
                at += size;
            }
            RC_ASSERT(out == stream);
            RC_ASSERT(
                splitter.last_id == std::optional<std::uint64_t>(
                                        static_cast<std::uint64_t>(events)));
        }));
}
