// The part of the relay that watches for requests that crash upstreams.
#include "base/clock.hpp"
#include "gateway/relay_request.hpp"

#include <utility>

namespace bergamotusher::gateway
{

using observe::decision;
using observe::log_line;

const std::vector<crash_subject>& relay::crash_subjects_of(request& req)
{
    if (req.crash_subjects.empty())
        req.crash_subjects = crash_subjects(
            req.message,
            req.facts,
            req.account == nullptr ? account_id{} : req.account->name);
    return req.crash_subjects;
}

bool relay::end_suspended(const request_ptr& req)
{
    if (view_.crashes.ledger.subjects.empty())
        return false;
    const duration left =
        quarantine_left(view_.crashes, crash_subjects_of(*req), uptime());
    if (left <= 0s)
        return false;
    constexpr const char* reason =
        "requests with this content crashed upstreams";
    if (req->may_have_run_before || req->head_forwarded)
        fail(req, error_kind::upstream_failed, reason);
    else
        reject(req, error_kind::content_suspended, reason, left);
    return true;
}

void relay::on_content_suspended()
{
    for (auto& [service, waiting] : waiting_)
        for (const request_ptr& req : std::deque<request_ptr>(waiting))
            if (quarantine_left(
                    view_.crashes, crash_subjects_of(*req), uptime()) > 0s)
            {
                dequeue(req);
                end_suspended(req);
            }
}

void relay::suspect_crash(const request_ptr& req)
{
    const auto found = view_.upstreams.find(req->upstream);
    // An upstream that leaves may end what it still runs.
    if (found == view_.upstreams.end() ||
        found->second->value.state != site::upstream_state::ready)
        return;
    const time_point now = uptime();
    if (req->events.events >= sound_events)
        return note_answered(view_.crashes, crash_subjects_of(*req), now);
    const site::upstream& upstream = found->second->value;
    const admission::upstream_incarnation incarnation{
        upstream.id, upstream.started_ms};
    lost_requests& lost = lost_[incarnation];
    lost.subjects.push_back(crash_subjects_of(*req));
    if (lost.subjects.size() > 1)
        return;
    lost.lost_at = now;
    pool_.probe(
        upstream.address,
        [this, incarnation](bool accepted)
        {
            if (accepted)
                lost_.erase(incarnation);
            else
                on_upstream_died(incarnation);
        });
}

void relay::on_upstream_died(const admission::upstream_incarnation& died)
{
    const auto found = lost_.find(died);
    if (found == lost_.end())
        return;
    const lost_requests lost = std::move(found->second);
    lost_.erase(found);
    for (const auto& subjects : lost.subjects)
        note_death(view_.crashes, subjects, died, lost.lost_at);
    log_.write(
        log_line(decision::upstream_died)
            .with("upstream", died.upstream.value)
            .with("started_ms", died.started_ms)
            .with("lost_requests", static_cast<int>(lost.subjects.size())),
        uptime());
    on_content_suspended();
}

} // namespace bergamotusher::gateway
