// What may be sent again, over all kinds of requests and all ways to break.
#include "gateway/after_break.hpp"

#include <catch2/catch.hpp>

using namespace bergamotusher;
using namespace bergamotusher::gateway;
using site::route_kind;

namespace
{

broken_send first_break(route_kind kind, send_outcome outcome)
{
    broken_send send;
    send.kind = kind;
    send.outcome = outcome;
    send.attempts = 1;
    send.attempts_max = 2;
    send.time_left = 1s;
    return send;
}

} // namespace

TEST_CASE("a request that runs once is never sent again if it may have run")
{
    for (const bool resumable : {false, true})
        for (const bool head : {false, true})
        {
            broken_send send =
                first_break(route_kind::once, send_outcome::may_have_run);
            send.resumable = resumable;
            send.head_passed = head;
            CHECK(after_break(send) == next_step::fail);
        }
    SECTION("also if only an earlier send may have run")
    {
        broken_send send = first_break(route_kind::once, send_outcome::refused);
        send.ran_before = true;
        CHECK(after_break(send) == next_step::fail);
    }
    SECTION("a stream that cannot be resumed is such a request")
    {
        CHECK(
            after_break(
                first_break(route_kind::stream, send_outcome::may_have_run)) ==
            next_step::fail);
    }
}

TEST_CASE("what has not run may go to another upstream")
{
    for (const auto kind :
         {route_kind::once, route_kind::repeatable, route_kind::stream})
        for (const auto outcome :
             {send_outcome::not_sent, send_outcome::refused})
            CHECK(
                after_break(first_break(kind, outcome)) ==
                next_step::send_again);
    SECTION("and is refused truthfully where there is no more room")
    {
        broken_send send = first_break(route_kind::once, send_outcome::refused);
        send.attempts_max = 1;
        CHECK(after_break(send) == next_step::refuse);
        send.attempts_max = 2;
        send.time_left = 1ms;
        CHECK(after_break(send) == next_step::refuse);
    }
}

TEST_CASE("a broken stream goes on only under its own head")
{
    broken_send send =
        first_break(route_kind::stream, send_outcome::may_have_run);
    send.resumable = true;
    CHECK(after_break(send) == next_step::send_again);
    send.head_passed = true;
    send.events_passed = true;
    CHECK(after_break(send) == next_step::resume);
    SECTION("never a repeatable answer whose head was passed")
    {
        send.kind = route_kind::repeatable;
        CHECK(after_break(send) == next_step::fail);
    }
}

TEST_CASE("a refusal is only ever given for what has not run")
{
    for (const auto kind :
         {route_kind::once, route_kind::repeatable, route_kind::stream})
        for (const auto outcome :
             {send_outcome::not_sent,
              send_outcome::refused,
              send_outcome::may_have_run})
            for (const bool ran : {false, true})
                for (const std::uint32_t attempts : {0U, 1U, 2U})
                {
                    broken_send send = first_break(kind, outcome);
                    send.ran_before = ran;
                    send.attempts = attempts;
                    const bool may_have_run =
                        ran || outcome == send_outcome::may_have_run;
                    if (may_have_run)
                    {
                        CHECK(after_break(send) != next_step::refuse);
                        CHECK(give_up(send) == next_step::fail);
                    }
                    else
                        CHECK(give_up(send) == next_step::refuse);
                }
}
