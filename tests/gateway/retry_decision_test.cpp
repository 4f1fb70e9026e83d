// Retry decisions for all kinds of requests and all ways in which an attempt
// can fail. A wrong decision runs a request twice, or tells a caller that a
// request did not run when it may have.
#include "gateway/retry_decision.hpp"

#include <catch2/catch.hpp>

using namespace bergamotusher;
using namespace bergamotusher::gateway;
using site::route_kind;

namespace
{

failed_attempt first_failure(route_kind kind, attempt_outcome outcome)
{
    failed_attempt attempt;
    attempt.kind = kind;
    attempt.outcome = outcome;
    attempt.attempts = 1;
    attempt.attempts_max = 2;
    attempt.time_left = 1s;
    return attempt;
}

} // namespace

TEST_CASE(
    "a request of a non-repeatable route is not retried if it may have run")
{
    for (const bool resumable : {false, true})
        for (const bool head : {false, true})
        {
            failed_attempt attempt =
                first_failure(route_kind::once, attempt_outcome::may_have_run);
            attempt.resumable = resumable;
            attempt.head_forwarded = head;
            CHECK(decide_retry(attempt) == retry_decision::fail);
        }
    SECTION("not even if only an earlier attempt may have run")
    {
        failed_attempt attempt =
            first_failure(route_kind::once, attempt_outcome::refused);
        attempt.may_have_run_before = true;
        CHECK(decide_retry(attempt) == retry_decision::fail);
    }
    SECTION("the same holds for a stream that cannot be resumed")
    {
        CHECK(
            decide_retry(first_failure(
                route_kind::stream, attempt_outcome::may_have_run)) ==
            retry_decision::fail);
    }
}

TEST_CASE("a request that did not run is retried on another upstream")
{
    for (const auto kind :
         {route_kind::once, route_kind::repeatable, route_kind::stream})
        for (const auto outcome :
             {attempt_outcome::not_sent, attempt_outcome::refused})
            CHECK(
                decide_retry(first_failure(kind, outcome)) ==
                retry_decision::retry);
    SECTION("it is rejected once no attempt or too little time is left")
    {
        failed_attempt attempt =
            first_failure(route_kind::once, attempt_outcome::refused);
        attempt.attempts_max = 1;
        CHECK(decide_retry(attempt) == retry_decision::reject);
        attempt.attempts_max = 2;
        attempt.time_left = 1ms;
        CHECK(decide_retry(attempt) == retry_decision::reject);
    }
}

TEST_CASE(
    "a resumable stream is retried before its head was forwarded, then resumed")
{
    failed_attempt attempt =
        first_failure(route_kind::stream, attempt_outcome::may_have_run);
    attempt.resumable = true;
    CHECK(decide_retry(attempt) == retry_decision::retry);
    attempt.head_forwarded = true;
    attempt.events_forwarded = true;
    CHECK(decide_retry(attempt) == retry_decision::resume);
    SECTION("an answer that is no stream fails once its head was forwarded")
    {
        attempt.kind = route_kind::repeatable;
        CHECK(decide_retry(attempt) == retry_decision::fail);
    }
}

TEST_CASE("a request is rejected only if it did not run")
{
    for (const auto kind :
         {route_kind::once, route_kind::repeatable, route_kind::stream})
        for (const auto outcome :
             {attempt_outcome::not_sent,
              attempt_outcome::refused,
              attempt_outcome::may_have_run})
            for (const bool ran : {false, true})
                for (const std::uint32_t attempts : {0U, 1U, 2U})
                {
                    failed_attempt attempt = first_failure(kind, outcome);
                    attempt.may_have_run_before = ran;
                    attempt.attempts = attempts;
                    const bool may_have_run =
                        ran || outcome == attempt_outcome::may_have_run;
                    if (may_have_run)
                    {
                        CHECK(decide_retry(attempt) != retry_decision::reject);
                        CHECK(
                            decide_without_retry(attempt) ==
                            retry_decision::fail);
                    }
                    else
                        CHECK(
                            decide_without_retry(attempt) ==
                            retry_decision::reject);
                }
}
