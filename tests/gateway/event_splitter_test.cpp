// Events are passed on whole or not at all.
#include "gateway/event_splitter.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace bergamotusher::gateway;

TEST_CASE("an event is passed on once its blank line has come")
{
    event_splitter splitter;
    CHECK(take_bytes(splitter, "id: 1\ndata: a\n").empty());
    CHECK(take_bytes(splitter, "\nid: 2\nda") == "id: 1\ndata: a\n\n");
    CHECK(splitter.last_id == 1);
    CHECK(splitter.events == 1);
    CHECK(splitter.partial == "id: 2\nda");
}

TEST_CASE("lines may end with a carriage return")
{
    event_splitter splitter;
    CHECK(!take_bytes(splitter, "id: 7\r\ndata: a\r\n\r\n").empty());
    CHECK(splitter.last_id == 7);
}

TEST_CASE("wherever a stream is cut, its bytes come out whole and in order")
{
    CHECK(rc::check(
        "splitting at any place",
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
                out += take_bytes(splitter, stream.substr(at, size));
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
