#include "gateway/retry_decision.hpp"

namespace bergamotusher::gateway
{

retry_decision decide_without_retry(const failed_attempt& attempt)
{
    const bool ran = attempt.may_have_run_before ||
                     attempt.outcome == attempt_outcome::may_have_run;
    return ran || attempt.head_forwarded ? retry_decision::fail
                                         : retry_decision::reject;
}

retry_decision decide_retry(const failed_attempt& attempt)
{
    const bool is_stream = attempt.kind == site::route_kind::stream;
    const bool idempotent = attempt.kind == site::route_kind::repeatable ||
                            (is_stream && attempt.resumable);
    const bool ran = attempt.may_have_run_before ||
                     attempt.outcome == attempt_outcome::may_have_run;
    const bool allowed = idempotent || !ran;
    const bool has_attempts_left =
        attempt.outcome == attempt_outcome::not_sent
            ? attempt.failed_connects <= failed_connects_max
            : attempt.attempts < attempt.attempts_max;
    if (!allowed || !has_attempts_left ||
        attempt.time_left < min_time_for_attempt)
        return decide_without_retry(attempt);
    if (!attempt.head_forwarded)
        return retry_decision::retry;
    // Once the head was forwarded, only a stream whose events have ids can
    // continue at another upstream.
    return is_stream && attempt.resumable && attempt.events_forwarded
               ? retry_decision::resume
               : retry_decision::fail;
}

} // namespace bergamotusher::gateway
