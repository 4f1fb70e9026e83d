// An entry's evidence on requests that crash upstreams: what it observed and
// has to report, and what it was told.
#pragma once

#include "admission/crash_ledger.hpp"
#include "gateway/dialect.hpp"
#include "gateway/http_message.hpp"

#include <deque>
#include <map>
#include <vector>

namespace bergamotusher::gateway
{

using admission::crash_subject;

struct crash_watch
{
    admission::crash_options options;
    admission::crash_ledger ledger;
    /// When this entry last saw an answer to a request with each prompt part.
    std::map<crash_subject, time_point> answered;
    /// Observations that are repeated in reports for
    /// `crash_options::report_time`.
    std::deque<admission::crash_evidence> deaths;
    std::deque<admission::subject_since> answers;
    /// A death was observed since the last report.
    bool is_report_due = false;
};

/// The subjects of a request: its prompt parts but the last, which no other
/// request has, and the request as a whole.
std::vector<crash_subject> crash_subjects(
    const request_message& message,
    const request_metadata& facts,
    const account_id& account);

/// Another process suspects the subject.
void note_suspect(crash_watch& watch, crash_subject subject);

/// A request was lost because its upstream died, at `at`.
void note_death(
    crash_watch& watch,
    const std::vector<crash_subject>& subjects,
    const admission::upstream_incarnation& died,
    time_point at);

/// A request was answered.
void note_answered(
    crash_watch& watch,
    const std::vector<crash_subject>& subjects,
    time_point now);

/// How much longer a request with these subjects is refused; zero if it is not.
duration quarantine_left(
    const crash_watch& watch,
    const std::vector<crash_subject>& subjects,
    time_point now);

void drop_expired(crash_watch& watch, time_point now);

} // namespace bergamotusher::gateway
