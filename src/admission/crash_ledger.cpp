#include "admission/crash_ledger.hpp"

#include <algorithm>
#include <utility>

namespace bergamotusher::admission
{

namespace
{

/// A subject that was answered before is quarantined by more deaths only.
bool is_quarantined(const crash_options& options, const subject_record& record)
{
    return record.quarantined_at > record.answered_at &&
           (record.answered_at == time_point{} ||
            record.quarantine_deaths >= options.max_deaths_after_answer);
}

bool is_suspected(const crash_options& options, const subject_record& record)
{
    return !record.deaths.empty() || record.suspected_elsewhere ||
           is_quarantined(options, record);
}

/// Number of deaths, where those of one moment count as one.
std::size_t
count_moments(const crash_options& options, const subject_record& record)
{
    std::vector<time_point> times;
    times.reserve(record.deaths.size());
    for (const auto& [died, at] : record.deaths)
        times.push_back(at);
    std::sort(times.begin(), times.end());
    std::size_t moments = 0;
    time_point last;
    for (const time_point at : times)
        if (moments == 0 || at - last >= options.same_moment)
        {
            ++moments;
            last = at;
        }
    return moments;
}

/// Null if there is no room for another subject.
subject_record* find_or_add(
    const crash_options& options, crash_ledger& ledger, crash_subject subject)
{
    const auto found = ledger.subjects.find(subject);
    if (found != ledger.subjects.end())
        return &found->second;
    return ledger.subjects.size() < options.max_subjects
               ? &ledger.subjects[subject]
               : nullptr;
}

void remove_explained_deaths(crash_ledger& ledger, crash_subject culprit)
{
    const auto& explained = ledger.subjects.at(culprit).deaths;
    for (auto& [subject, record] : ledger.subjects)
        if (subject != culprit && record.answered_at != time_point{})
            std::erase_if(
                record.deaths,
                [&](const auto& death)
                { return explained.count(death.first) > 0; });
}

} // namespace

bool record_death(
    const crash_options& options,
    crash_ledger& ledger,
    const crash_evidence& evidence)
{
    subject_record* record = find_or_add(options, ledger, evidence.subject);
    if (record == nullptr)
        return false;
    record->answered_at = std::max(record->answered_at, evidence.answered_at);
    if (evidence.at <= record->answered_at)
        return false;
    record->deaths.emplace(evidence.died, evidence.at);
    const std::size_t max_deaths = record->answered_at == time_point{}
                                       ? options.max_deaths
                                       : options.max_deaths_after_answer;
    const std::size_t deaths = count_moments(options, *record);
    if (is_quarantined(options, *record) || deaths < max_deaths)
        return false;
    record->quarantine_deaths = static_cast<std::uint32_t>(deaths);
    record->quarantined_at = evidence.at;
    remove_explained_deaths(ledger, evidence.subject);
    return true;
}

void record_answered(crash_ledger& ledger, crash_subject subject, time_point at)
{
    const auto found = ledger.subjects.find(subject);
    if (found == ledger.subjects.end())
        return;
    subject_record& record = found->second;
    record.answered_at = std::max(record.answered_at, at);
    record.suspected_elsewhere = false;
    std::erase_if(
        record.deaths,
        [&](const auto& death) { return death.second <= record.answered_at; });
}

bool record_quarantine(
    const crash_options& options,
    crash_ledger& ledger,
    const subject_since& quarantine,
    time_point now)
{
    // Times that processes tell each other grow by the time that messages take,
    // so the first one is kept.
    if (quarantine_left(options, ledger, quarantine.subject, now) > 0s ||
        now - quarantine.at >= options.quarantine_time)
        return false;
    subject_record* record = find_or_add(options, ledger, quarantine.subject);
    if (record == nullptr || quarantine.at <= record->answered_at)
        return false;
    record->quarantined_at = quarantine.at;
    record->quarantine_deaths = quarantine.deaths;
    return is_quarantined(options, *record);
}

duration quarantine_left(
    const crash_options& options,
    const crash_ledger& ledger,
    crash_subject subject,
    time_point now)
{
    const auto found = ledger.subjects.find(subject);
    if (found == ledger.subjects.end() ||
        !is_quarantined(options, found->second))
        return {};
    return std::max(
        duration{},
        found->second.quarantined_at + options.quarantine_time - now);
}

bool is_suspect(
    const crash_options& options,
    const crash_ledger& ledger,
    crash_subject subject)
{
    const auto found = ledger.subjects.find(subject);
    return found != ledger.subjects.end() &&
           is_suspected(options, found->second);
}

std::vector<subject_since> quarantined_subjects(
    const crash_options& options, const crash_ledger& ledger, time_point now)
{
    std::vector<subject_since> found;
    for (const auto& [subject, record] : ledger.subjects)
        if (is_quarantined(options, record) &&
            now - record.quarantined_at < options.quarantine_time)
            found.push_back(
                {subject, record.quarantined_at, record.quarantine_deaths});
    return found;
}

std::vector<subject_since>
cleared_subjects(const crash_options& options, const crash_ledger& ledger)
{
    std::vector<subject_since> found;
    for (const auto& [subject, record] : ledger.subjects)
        if (record.quarantined_at != time_point{} &&
            !is_quarantined(options, record))
            found.push_back({subject, record.answered_at});
    return found;
}

std::vector<crash_subject>
suspects(const crash_options& options, const crash_ledger& ledger)
{
    std::vector<std::pair<std::size_t, crash_subject>> by_deaths;
    for (const auto& [subject, record] : ledger.subjects)
        if (!record.deaths.empty())
            by_deaths.emplace_back(record.deaths.size(), subject);
    std::sort(by_deaths.rbegin(), by_deaths.rend());
    if (by_deaths.size() > options.max_reported_suspects)
        by_deaths.resize(options.max_reported_suspects);
    std::vector<crash_subject> found;
    found.reserve(by_deaths.size());
    for (const auto& [deaths, subject] : by_deaths)
        found.push_back(subject);
    return found;
}

void record_suspect(
    const crash_options& options, crash_ledger& ledger, crash_subject subject)
{
    if (subject_record* record = find_or_add(options, ledger, subject))
        record->suspected_elsewhere = true;
}

void drop_expired_records(
    const crash_options& options, crash_ledger& ledger, time_point now)
{
    for (auto item = ledger.subjects.begin(); item != ledger.subjects.end();)
    {
        subject_record& record = item->second;
        std::erase_if(
            record.deaths,
            [&](const auto& death)
            { return now - death.second > options.quarantine_time; });
        const time_point changed_at =
            std::max(record.quarantined_at, record.answered_at);
        const bool is_expired =
            record.deaths.empty() && now - changed_at > options.quarantine_time;
        item = is_expired ? ledger.subjects.erase(item) : std::next(item);
    }
}

} // namespace bergamotusher::admission
