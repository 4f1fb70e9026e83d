// Evidence on what requests that crash upstreams have in common, and the
// decision which requests must not reach upstreams any more.
//
// Requests that crash an upstream need not be alike: any one part of a prompt
// may do it, at any entry. So evidence is kept by subject, a hash of a prompt
// part or of a whole request. Every request that was lost with an upstream
// counts against its subjects, and a subject is cleared by each request with it
// that is answered: the part that crashes upstreams never is. Entries report
// deaths and answers to all control nodes, and each node decides by itself, so
// that a change of the leader loses nothing.
#pragma once

#include <bergamotusher/ids.hpp>
#include <bergamotusher/time.hpp>

#include <cstdint>
#include <map>
#include <vector>

namespace bergamotusher::admission
{

/// Hash of what requests can have in common.
using crash_subject = std::uint64_t;

struct crash_options
{
    /// Deaths of different upstreams, at different moments, at which a subject
    /// is quarantined.
    std::size_t max_deaths = 3;
    /// The same for a subject that was answered before: requests that crash
    /// upstreams have other parts in common with sound requests.
    std::size_t max_deaths_after_answer = 5;
    /// Deaths within this time count as one: an upstream's loss that has
    /// another cause may take several upstreams at once.
    duration same_moment = 200ms;
    duration quarantine_time = std::chrono::minutes(10);
    /// A subject that was answered this short a time before a death is not
    /// suspected of it.
    duration trust_time = 2s;
    /// Evidence is repeated in reports for this long, since messages get lost.
    duration report_time = 5s;
    std::size_t max_subjects = 4096;
    std::size_t max_reported_suspects = 128;
};

/// One incarnation of an upstream.
struct upstream_incarnation
{
    upstream_id upstream;
    std::int64_t started_ms = 0;

    auto operator<=>(const upstream_incarnation&) const = default;
};

struct subject_record
{
    /// Deaths since the subject was last answered.
    std::map<upstream_incarnation, time_point> deaths;
    time_point answered_at;
    time_point quarantined_at;
    /// Number of deaths, at different moments, that the quarantine rests on.
    std::uint32_t quarantine_deaths = 0;
    /// Another process has evidence against the subject.
    bool suspected_elsewhere = false;
};

struct crash_ledger
{
    std::map<crash_subject, subject_record> subjects;
};

/// A request with the subject was lost when an upstream died.
struct crash_evidence
{
    crash_subject subject = 0;
    upstream_incarnation died;
    time_point at;
    /// When the entry last saw an answer to a request with the subject.
    time_point answered_at;
};

/// Returns whether the evidence quarantines the subject. Its deaths no longer
/// count against subjects that were answered before.
bool record_death(
    const crash_options& options,
    crash_ledger& ledger,
    const crash_evidence& evidence);

/// A request with a known subject was answered, which clears it of all deaths
/// and quarantines until then.
void record_answered(
    crash_ledger& ledger, crash_subject subject, time_point at);

/// A subject that is quarantined or was cleared, and since when.
struct subject_since
{
    crash_subject subject = 0;
    time_point at;
    /// The deaths that a quarantine rests on.
    std::uint32_t deaths = 0;
};

/// Another process quarantined the subject. Returns whether it was not
/// quarantined here, and is now.
bool record_quarantine(
    const crash_options& options,
    crash_ledger& ledger,
    const subject_since& quarantine,
    time_point now);

/// How much longer requests with the subject are refused; zero if they are not.
duration quarantine_left(
    const crash_options& options,
    const crash_ledger& ledger,
    crash_subject subject,
    time_point now);

/// Whether an answer to a request with the subject must be reported.
bool is_suspect(
    const crash_options& options,
    const crash_ledger& ledger,
    crash_subject subject);

std::vector<subject_since> quarantined_subjects(
    const crash_options& options, const crash_ledger& ledger, time_point now);

/// The subjects whose quarantine was ended by an answer.
std::vector<subject_since>
cleared_subjects(const crash_options& options, const crash_ledger& ledger);

/// The subjects with most deaths, at most `max_reported_suspects`.
std::vector<crash_subject>
suspects(const crash_options& options, const crash_ledger& ledger);

/// Another process suspects the subject: an answer to a request with it must be
/// reported.
void record_suspect(
    const crash_options& options, crash_ledger& ledger, crash_subject subject);

void drop_expired_records(
    const crash_options& options, crash_ledger& ledger, time_point now);

} // namespace bergamotusher::admission
