// The part of the relay that ends requests when the process is stopped.
#include "base/clock.hpp"
#include "gateway/relay_request.hpp"

#include <deque>
#include <vector>

namespace bergamotusher::gateway
{

namespace
{

constexpr const char* reason = "this entry shuts down";

} // namespace

void relay::reject_new_requests()
{
    rejects_new_requests_ = true;
}

void relay::send_only_until(time_point end)
{
    requests_end_at_ = end;
}

bool relay::is_too_late(const request& req, time_point now) const
{
    if (!requests_end_at_ || req.may_have_run_before || req.head_forwarded)
        return false;
    const auto found = answer_times_.find(req.route->name);
    const duration time = long_answer_time(
        found == answer_times_.end() ? answer_times{} : found->second,
        req.route->target_latency);
    return !is_likely_to_end(time, req.time_left(now), *requests_end_at_ - now);
}

void relay::reject_as_draining(const request_ptr& req)
{
    reject(req, error_kind::draining, reason, drain_retry_after);
}

void relay::reject_late(time_point now)
{
    if (!requests_end_at_)
        return;
    for (auto& [service, waiting] : waiting_)
        for (const request_ptr& req : std::deque<request_ptr>(waiting))
            if (is_too_late(*req, now))
            {
                dequeue(req);
                reject_as_draining(req);
            }
}

void relay::end_requests()
{
    reject_new_requests();
    // First, so that none of them is sent to an upstream that becomes free.
    end_unsent_requests();
    std::vector<request_ptr> unanswered;
    for (const auto& [number, req] : requests_)
        if (!req->head_forwarded)
            unanswered.push_back(req);
    for (const request_ptr& req : unanswered)
    {
        pool_.cancel(req->ticket);
        record_unanswered(req);
        release_upstream(req);
        fail(req, error_kind::deadline_passed, reason);
    }
}

void relay::end_unsent_requests()
{
    std::vector<request_ptr> unsent;
    for (const auto& [number, req] : requests_)
        if (req->upstream.empty() && !req->head_forwarded)
            unsent.push_back(req);
    waiting_for_site_.clear();
    waiting_for_grant_.clear();
    for (const request_ptr& req : unsent)
    {
        if (req->is_waiting)
            dequeue(req);
        if (req->may_have_run_before)
            fail(req, error_kind::deadline_passed, reason);
        else
            reject_as_draining(req);
    }
}

} // namespace bergamotusher::gateway
