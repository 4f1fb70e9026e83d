// The part of the control service that collects the entries' evidence on
// requests that crash upstreams.
#include "site/control_service.hpp"
#include "site/site_codec.hpp"
#include "wire/site.pb.h"

namespace bergamotusher::site
{

namespace
{

namespace pb = wire::site;
using observe::decision;
using observe::log_line;

} // namespace

void control_service::read_crashes(
    const pb::entry_report& report, time_point now)
{
    bool suspended = false;
    for (const pb::crash_evidence& each : report.deaths())
        if (record_death(
                crash_options_,
                crashes_,
                {each.subject(),
                 {{each.upstream()}, each.started_ms()},
                 now - duration(each.age_us()),
                 each.answered_age_us() < 0
                     ? time_point{}
                     : now - duration(each.answered_age_us())}))
        {
            suspended = true;
            log_.write(
                log_line(decision::content_suspended)
                    .with("subject", each.subject())
                    .with("upstream", each.upstream())
                    .with("age_ms", duration(each.age_us())),
                now);
        }
    for (const pb::subject_state& each : report.quarantined())
        if (record_quarantine(
                crash_options_, crashes_, site::read(each, now), now))
            suspended = true;
    for (const pb::subject_state& each : report.answered())
    {
        const bool was_suspended =
            quarantine_left(crash_options_, crashes_, each.subject(), now) > 0s;
        record_answered(
            crashes_, each.subject(), now - duration(each.age_us()));
        if (was_suspended &&
            quarantine_left(crash_options_, crashes_, each.subject(), now) ==
                0s)
            log_.write(
                log_line(decision::content_resumed)
                    .with("subject", each.subject())
                    .with("answered_ago_ms", duration(each.age_us())),
                now);
    }
    if (suspended)
        for (const auto& [id, entry] : entries_)
            send_report(id, 0, false);
}

void control_service::write_crashes(
    pb::control_report& report, time_point now) const
{
    for (const auto& each : quarantined_subjects(crash_options_, crashes_, now))
        write(*report.add_quarantined(), each, now);
    for (const auto& each : cleared_subjects(crash_options_, crashes_))
        write(*report.add_answered(), each, now);
    for (const admission::crash_subject each :
         suspects(crash_options_, crashes_))
        report.add_suspects(each);
}

} // namespace bergamotusher::site
