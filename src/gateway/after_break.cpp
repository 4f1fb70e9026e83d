#include "gateway/after_break.hpp"

namespace bergamotusher::gateway
{

next_step give_up(const broken_send& send)
{
    const bool ran =
        send.ran_before || send.outcome == send_outcome::may_have_run;
    return ran || send.head_passed ? next_step::fail : next_step::refuse;
}

next_step after_break(const broken_send& send)
{
    const bool is_stream = send.kind == site::route_kind::stream;
    const bool idempotent = send.kind == site::route_kind::repeatable ||
                            (is_stream && send.resumable);
    const bool ran =
        send.ran_before || send.outcome == send_outcome::may_have_run;
    const bool allowed = idempotent || !ran;
    const bool has_room = send.outcome == send_outcome::not_sent
                              ? send.failed_connects <= failed_connects_max
                              : send.attempts < send.attempts_max;
    if (!allowed || !has_room || send.time_left < least_time_for_send)
        return give_up(send);
    if (!send.head_passed)
        return next_step::send_again;
    // Only a stream whose events have ids can go on under the same head.
    return is_stream && send.resumable && send.events_passed ? next_step::resume
                                                             : next_step::fail;
}

} // namespace bergamotusher::gateway
