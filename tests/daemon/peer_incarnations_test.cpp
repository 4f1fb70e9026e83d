#include "daemon/peer_incarnations.hpp"

#include <catch2/catch.hpp>

using namespace bergamotusher;

TEST_CASE("messages are told apart by the process that sent them")
{
    peer_incarnations known;
    CHECK(record_incarnation(known, {"a"}, 5) == sender_process::known);
    CHECK(record_incarnation(known, {"a"}, 5) == sender_process::known);
    CHECK(record_incarnation(known, {"a"}, 4) == sender_process::earlier);
    CHECK(record_incarnation(known, {"a"}, 6) == sender_process::restarted);
    CHECK(record_incarnation(known, {"b"}, 1) == sender_process::known);

    SECTION("the sender of a dropped message is told so, but not at each one")
    {
        const time_point now{10s};
        CHECK(should_notify(known, {"a"}, now));
        CHECK_FALSE(should_notify(known, {"a"}, now + 50ms));
        CHECK(should_notify(known, {"b"}, now + 50ms));
        CHECK(should_notify(known, {"a"}, now + 100ms));
    }
    SECTION("a node that is forgotten may start anywhere")
    {
        forget_node(known, {"a"});
        CHECK(record_incarnation(known, {"a"}, 1) == sender_process::known);
    }
}

TEST_CASE("a process goes on above the incarnation that was heard of it")
{
    CHECK(incarnation_after_notice(4000, "9000") == 9001);

    SECTION("and is not raised by a notice of its own incarnation, or less")
    {
        CHECK(incarnation_after_notice(9001, "9001") == 9001);
        CHECK(incarnation_after_notice(9001, "9000") == 9001);
    }
    SECTION("a notice that cannot be read is refused")
    {
        for (const char* body :
             {"",
              "x",
              "90 00",
              "-1",
              "9000x",
              "18446744073709551615",
              "99999999999999999999"})
            CHECK_FALSE(incarnation_after_notice(1, body));
    }
}
