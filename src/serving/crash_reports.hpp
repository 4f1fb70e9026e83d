// Crash reports that other entries have not acknowledged yet.
//
// A report is repeated until each entry that was live when it was made has
// acknowledged it, so that a lost message is repaired.
#pragma once

#include <bergamotusher/serving.hpp>

#include <set>
#include <string>
#include <vector>

namespace bergamotusher::serving
{

/// How long an error about a reported request is held back for
/// acknowledgements, so that an entry that is dead does not hold answers.
inline constexpr duration acknowledgement_timeout = 500ms;
/// Pause before the first repetition; it doubles with each one.
inline constexpr duration first_report_pause = 50ms;
/// A report is not repeated after this time. Shorter than
/// `confirmation_window`, within which another entry recognizes a repeated
/// report as the same death.
inline constexpr duration report_lifetime = 5s;

/// A report and the entries that have not acknowledged it.
struct open_crash_report
{
    report_crash report;
    std::set<node_id> awaited;
    time_point made;
    time_point repeat_at;
    duration pause = first_report_pause;
};

/// Adds a report that is sent now; `live` are the entries to wait for.
void add_report(
    std::vector<open_crash_report>& reports,
    const report_crash& report,
    const std::vector<node_id>& live,
    time_point now);

/// Records that `from` has noted the report.
void note_acknowledged(
    std::vector<open_crash_report>& reports,
    const node_id& from,
    const std::string& fingerprint,
    const upstream_id& target);

/// Whether an answer about `fingerprint` must wait for acknowledgements.
bool awaits_acknowledgement(
    const std::vector<open_crash_report>& reports,
    const std::string& fingerprint,
    time_point now);

/// Returns the reports to repeat now, and drops expired ones.
std::vector<report_crash>
due_repeats(std::vector<open_crash_report>& reports, time_point now);

} // namespace bergamotusher::serving
