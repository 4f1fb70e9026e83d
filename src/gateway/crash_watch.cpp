#include "gateway/crash_watch.hpp"

#include "base/hash.hpp"

#include <algorithm>

namespace bergamotusher::gateway
{

namespace
{

/// Keeps ids of parts, which callers choose, apart from hashes of requests.
constexpr std::uint64_t part_subject = 1;
constexpr std::size_t max_reported_answers = 128;
/// Bounds the memory for prompt parts that were answered.
constexpr std::size_t max_answered_parts = 16'384;
constexpr duration answered_part_retention = 60s;

} // namespace

std::vector<crash_subject> crash_subjects(
    const request_message& message,
    const request_metadata& facts,
    const account_id& account)
{
    std::vector<crash_subject> subjects;
    subjects.reserve(facts.parts.size() + 1);
    for (std::size_t i = 0; i + 1 < facts.parts.size(); ++i)
        subjects.push_back(mixed_hash(part_subject, facts.parts[i].id));
    std::uint64_t whole = hash_of(account.value);
    for (const std::string* each :
         {&message.method, &message.target, &message.body})
        whole = mixed_hash(whole, hash_of(*each));
    subjects.push_back(whole);
    return subjects;
}

void note_suspect(crash_watch& watch, crash_subject subject)
{
    if (is_suspect(watch.options, watch.ledger, subject))
        return;
    record_suspect(watch.options, watch.ledger, subject);
    const auto answered = watch.answered.find(subject);
    if (answered != watch.answered.end())
        watch.answers.push_back({subject, answered->second, 0});
}

void note_death(
    crash_watch& watch,
    const std::vector<crash_subject>& subjects,
    const admission::upstream_incarnation& died,
    time_point at)
{
    for (const crash_subject subject : subjects)
    {
        admission::crash_evidence evidence{subject, died, at, {}};
        const auto answered = watch.answered.find(subject);
        if (answered != watch.answered.end())
            evidence.answered_at = answered->second;
        if (at - evidence.answered_at < watch.options.trust_time)
            continue;
        record_death(watch.options, watch.ledger, evidence);
        watch.deaths.push_back(evidence);
        watch.is_report_due = true;
    }
}

void note_answered(
    crash_watch& watch,
    const std::vector<crash_subject>& subjects,
    time_point now)
{
    for (std::size_t i = 0; i < subjects.size(); ++i)
    {
        const crash_subject subject = subjects[i];
        const bool is_part = i + 1 < subjects.size();
        if (is_part)
            watch.answered[subject] = now;
        if (!is_suspect(watch.options, watch.ledger, subject))
            continue;
        record_answered(watch.ledger, subject, now);
        watch.answers.push_back({subject, now, 0});
        watch.is_report_due = true;
    }
}

duration quarantine_left(
    const crash_watch& watch,
    const std::vector<crash_subject>& subjects,
    time_point now)
{
    duration longest{};
    for (const crash_subject subject : subjects)
        longest = std::max(
            longest,
            admission::quarantine_left(
                watch.options, watch.ledger, subject, now));
    return longest;
}

void drop_expired(crash_watch& watch, time_point now)
{
    const time_point reported_until = now - watch.options.report_time;
    while (!watch.deaths.empty() && watch.deaths.front().at < reported_until)
        watch.deaths.pop_front();
    // An answer may have been seen long before the subject was suspected.
    while (watch.answers.size() > max_reported_answers)
        watch.answers.pop_front();
    if (watch.deaths.empty() && watch.ledger.subjects.empty())
        watch.answers.clear();
    if (watch.answered.size() > max_answered_parts)
        std::erase_if(
            watch.answered,
            [&](const auto& item)
            { return now - item.second > answered_part_retention; });
    if (watch.answered.size() > max_answered_parts)
        watch.answered.clear();
    drop_expired_records(watch.options, watch.ledger, now);
}

} // namespace bergamotusher::gateway
