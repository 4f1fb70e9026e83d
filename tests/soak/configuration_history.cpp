#include "soak/configuration_history.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <string_view>
#include <unordered_map>

namespace soak
{

using std::chrono::milliseconds;

namespace
{

constexpr int status_ok = 200;
constexpr int status_unauthenticated = 401;
constexpr int status_forbidden = 403;
constexpr int status_not_found = 404;

/// Whether `spec` allows how the probe was handled. A probe without an outcome
/// that depends on the configuration is allowed by any.
bool allows(const configuration_spec& spec, const probe_record& probe)
{
    const auto route = spec.routes.find(probe.prefix);
    const bool has_route =
        route != spec.routes.end() || probe.prefix == slow_prefix;
    const bool has_key = spec.keys.count(probe.key) > 0;
    if (!probe.services.empty())
        return has_route && has_key &&
               (probe.prefix == slow_prefix ||
                probe.services == std::set<std::string>{route->second});
    if (probe.status == status_not_found || probe.status == status_forbidden)
        return !has_route;
    if (probe.status == status_unauthenticated)
        return !has_key;
    return true;
}

bool has_outcome(const probe_record& probe)
{
    return !probe.services.empty() || probe.status == status_not_found ||
           probe.status == status_forbidden ||
           probe.status == status_unauthenticated;
}

/// When the outcome of a probe was decided at the latest.
time_point decided_at(const probe_record& probe)
{
    return probe.services.empty() ? probe.answered_at : probe.executed_at;
}

} // namespace

std::size_t configuration_history::record_sent(
    const configuration_spec& spec,
    std::string body,
    bool may_be_rejected,
    time_point at)
{
    const std::lock_guard lock(mutex_);
    changes_.push_back(
        {spec, std::move(body), may_be_rejected, at, {}, {}, {}});
    return changes_.size() - 1;
}

void configuration_history::record_acknowledged(
    std::size_t change, time_point at)
{
    const std::lock_guard lock(mutex_);
    if (!changes_[change].acknowledged_at)
        changes_[change].acknowledged_at = at;
}

void configuration_history::record_rejected(std::size_t change, time_point at)
{
    const std::lock_guard lock(mutex_);
    changes_[change].rejected_at = at;
}

void configuration_history::record_ended(std::size_t change, time_point at)
{
    const std::lock_guard lock(mutex_);
    changes_[change].ended_at = at;
}

void configuration_history::record_repeat_rejected(
    std::size_t change, time_point at)
{
    const std::lock_guard lock(mutex_);
    violations_.push_back(
        "version " + std::to_string(changes_[change].spec.version) +
        " was acknowledged, sent again alone and rejected at " +
        since_start(at));
}

void configuration_history::record_probe(
    const std::string& attempt, const probe_record& probe)
{
    const std::lock_guard lock(mutex_);
    probe_record& known = probes_[attempt];
    const probe_record executed = std::move(known);
    known = probe;
    known.services = executed.services;
    known.executed_at = executed.executed_at;
}

void configuration_history::record_execution(
    const std::string& attempt, const std::string& service, time_point at)
{
    const std::lock_guard lock(mutex_);
    probe_record& probe = probes_[attempt];
    if (probe.services.empty())
        probe.executed_at = at;
    probe.services.insert(service);
}

void configuration_history::record_read(const read_record& read)
{
    const std::lock_guard lock(mutex_);
    reads_.push_back(read);
}

void configuration_history::record_final_read_missing(unsigned node)
{
    const std::lock_guard lock(mutex_);
    violations_.push_back(
        "node " + std::to_string(node) +
        " returned no configuration at the end of the run");
}

std::uint64_t configuration_history::acknowledged_version()
{
    const std::lock_guard lock(mutex_);
    return version_in_force(time_point::max(), milliseconds(0));
}

std::size_t configuration_history::acknowledged_changes()
{
    const std::lock_guard lock(mutex_);
    return static_cast<std::size_t>(std::count_if(
        changes_.begin(),
        changes_.end(),
        [](const sent_change& each)
        { return each.acknowledged_at.has_value(); }));
}

std::string configuration_history::since_start(time_point at) const
{
    return std::to_string(
               std::chrono::duration_cast<milliseconds>(at - started_at_)
                   .count()) +
           " ms";
}

std::string configuration_history::describe(
    const std::string& attempt, const probe_record& probe) const
{
    std::string services;
    for (const std::string& each : probe.services)
        services += " " + each;
    return "probe " + attempt + " of " + probe.prefix + " with key " +
           probe.key + " at entry " + std::to_string(probe.entry) +
           ", sent at " + since_start(probe.sent_at) + ", decided by " +
           since_start(decided_at(probe)) + ": status " +
           std::to_string(probe.status) +
           (services.empty() ? ", not executed" : ", executed by" + services);
}

/// The newest version that was acknowledged `apply_time` before `at`.
std::uint64_t configuration_history::version_in_force(
    time_point at, milliseconds apply_time) const
{
    std::uint64_t newest = 0;
    for (const sent_change& each : changes_)
        if (each.acknowledged_at && at > *each.acknowledged_at + apply_time &&
            each.spec.defect == configuration_defect::none)
            newest = std::max(newest, each.spec.version);
    return newest;
}

/// The valid changes that may have been in force at `until`.
std::vector<const sent_change*>
configuration_history::changes_that_may_hold(time_point until) const
{
    std::vector<const sent_change*> all;
    for (const sent_change& each : changes_)
        if (each.spec.defect == configuration_defect::none &&
            each.sent_at <= until && !each.rejected_at)
            all.push_back(&each);
    return all;
}

/// Whether a higher version may have held when the change was acknowledged.
bool configuration_history::is_overtaken(const sent_change& change) const
{
    return std::any_of(
        changes_.begin(),
        changes_.end(),
        [&](const sent_change& each)
        {
            return each.spec.defect == configuration_defect::none &&
                   each.spec.version > change.spec.version &&
                   each.sent_at <= *change.acknowledged_at;
        });
}

void configuration_history::check_changes(std::vector<std::string>& violations)
{
    std::map<std::uint64_t, std::string> acknowledged;
    for (const sent_change& each : changes_)
    {
        const std::string subject = "version " +
                                    std::to_string(each.spec.version) +
                                    ", sent at " + since_start(each.sent_at);
        if (each.spec.defect != configuration_defect::none)
        {
            if (each.acknowledged_at)
                violations.push_back(
                    subject + ": acknowledged though invalid (" +
                    std::string(bergamotusher::to_name(each.spec.defect)) +
                    ")");
            continue;
        }
        if (each.rejected_at && !each.may_be_rejected)
            violations.push_back(
                subject + ": valid, but rejected at " +
                since_start(*each.rejected_at));
        // Once a higher version holds, a lower one is acknowledged whatever it
        // contains, and changes nothing.
        if (each.acknowledged_at && !is_overtaken(each) &&
            acknowledged.emplace(each.spec.version, each.body).first->second !=
                each.body)
            violations.push_back(
                subject + ": acknowledged with two different contents");
        const time_point end = each.acknowledged_at.value_or(
            each.rejected_at.value_or(each.ended_at.value_or(each.sent_at)));
        if (contacts_.longest_stable(each.sent_at, end) > ack_timeout)
            violations.push_back(
                subject + ": no acknowledgement until " + since_start(end) +
                ", over the time limit while the core was stable");
    }
}

void configuration_history::check_in_force(std::vector<std::string>& violations)
{
    for (const auto& record : probes_)
    {
        const probe_record& probe = record.second;
        if (!has_outcome(probe) || probe.sent_at == time_point{})
            continue;
        const time_point decided = decided_at(probe);
        const contact touch =
            contacts_.contact_of(probe.entry, probe.sent_at, decided);
        const bool executed = !probe.services.empty();
        std::uint64_t oldest = 0;
        if (touch == contact::kept)
            oldest = version_in_force(probe.sent_at, config_apply_time);
        else if (touch == contact::core_unstable)
            oldest =
                version_in_force(probe.sent_at, config_apply_time + outer_time);
        ++judged_probes_;
        const auto changes = changes_that_may_hold(decided);
        const bool allowed = std::any_of(
            changes.begin(),
            changes.end(),
            [&](const sent_change* each) {
                return each->spec.version >= oldest &&
                       allows(each->spec, probe);
            });
        if (!allowed)
            violations.push_back(
                describe(record.first, probe) + ", which no version from " +
                std::to_string(oldest) + " on allows");
        const std::uint64_t withdrawn_since =
            version_in_force(probe.sent_at, max_revocation_time);
        const bool key_may_hold = std::any_of(
            changes.begin(),
            changes.end(),
            [&](const sent_change* each)
            {
                return each->spec.version >= withdrawn_since &&
                       each->spec.keys.count(probe.key) > 0;
            });
        if (executed && !key_may_hold)
            violations.push_back(
                describe(record.first, probe) +
                ", with a key withdrawn by version " +
                std::to_string(withdrawn_since));
    }
}

struct configuration_history::judged_probe
{
    const std::string* attempt = nullptr;
    const probe_record* probe = nullptr;
    std::uint64_t oldest = 0;
    std::uint64_t newest = 0;
};

void configuration_history::check_no_regress(
    std::vector<std::string>& violations)
{
    std::map<std::pair<unsigned, std::size_t>, std::vector<judged_probe>> lives;
    for (const auto& [attempt, probe] : probes_)
    {
        if (!has_outcome(probe) || probe.sent_at == time_point{})
            continue;
        const std::size_t life = contacts_.life_of(probe.entry, probe.sent_at);
        if (life != contacts_.life_of(probe.entry, decided_at(probe)))
            continue;
        judged_probe judged{&attempt, &probe, ~std::uint64_t{0}, 0};
        for (const sent_change* each : changes_that_may_hold(decided_at(probe)))
            if (allows(each->spec, probe))
            {
                judged.oldest = std::min(judged.oldest, each->spec.version);
                judged.newest = std::max(judged.newest, each->spec.version);
            }
        if (judged.newest != 0)
            lives[{probe.entry, life}].push_back(judged);
    }
    for (auto& [life, probes] : lives)
    {
        std::vector<judged_probe> decided = probes;
        std::sort(
            decided.begin(),
            decided.end(),
            [](const judged_probe& a, const judged_probe& b)
            { return decided_at(*a.probe) < decided_at(*b.probe); });
        std::sort(
            probes.begin(),
            probes.end(),
            [](const judged_probe& a, const judged_probe& b)
            { return a.probe->sent_at < b.probe->sent_at; });
        auto next = decided.begin();
        judged_probe seen;
        for (const judged_probe& each : probes)
        {
            for (; next != decided.end() &&
                   decided_at(*next->probe) + rollback_slack <
                       each.probe->sent_at;
                 ++next)
                if (next->oldest > seen.oldest)
                    seen = *next;
            if (each.newest < seen.oldest)
                violations.push_back(
                    describe(*each.attempt, *each.probe) +
                    ", as up to version " + std::to_string(each.newest) +
                    ", after version " + std::to_string(seen.oldest) +
                    " had been seen by " +
                    describe(*seen.attempt, *seen.probe));
        }
    }
}

void configuration_history::check_reads(
    std::vector<std::string>& violations) const
{
    std::unordered_map<std::string_view, const sent_change*> by_body;
    for (const sent_change& each : changes_)
        by_body.emplace(each.body, &each);
    for (const read_record& read : reads_)
    {
        const std::string subject =
            "read at node " + std::to_string(read.node) + ", sent at " +
            since_start(read.sent_at) + ", answered at " +
            since_start(read.answered_at);
        const auto known = by_body.find(read.body);
        if (known == by_body.end())
        {
            violations.push_back(
                subject + ": a configuration that nobody sent");
            continue;
        }
        const sent_change* const found = known->second;
        if (found->spec.defect != configuration_defect::none ||
            found->rejected_at)
            violations.push_back(
                subject + ": version " + std::to_string(found->spec.version) +
                ", which was rejected or is invalid");
        const std::uint64_t oldest =
            version_in_force(read.sent_at, config_apply_time);
        if (found->spec.version < oldest)
            violations.push_back(
                subject + ": version " + std::to_string(found->spec.version) +
                ", though " + std::to_string(oldest) +
                " had been acknowledged");
    }
}

/// Among probes in calm, routes that were added are served at least a quarter
/// as often as the route that every version has.
void configuration_history::check_added_routes(
    std::vector<std::string>& violations)
{
    constexpr auto settle_time = milliseconds(8000);
    constexpr std::size_t min_requests = 20;
    constexpr double min_relative_share = 0.25;
    std::map<bool, std::pair<std::size_t, std::size_t>> sent_and_served;
    for (const auto& record : probes_)
    {
        const probe_record& probe = record.second;
        if (probe.sent_at == time_point{} || probe.prefix == slow_prefix ||
            !contacts_.is_calm(probe.sent_at - settle_time, probe.answered_at))
            continue;
        const auto changes = changes_that_may_hold(probe.answered_at);
        const std::uint64_t oldest =
            version_in_force(probe.sent_at, config_apply_time);
        const bool owed = std::all_of(
            changes.begin(),
            changes.end(),
            [&](const sent_change* each)
            {
                return each->spec.version < oldest ||
                       (each->spec.routes.count(probe.prefix) > 0 &&
                        each->spec.keys.count(probe.key) > 0);
            });
        if (!owed)
            continue;
        auto& [sent, served] = sent_and_served[probe.prefix != stable_prefix];
        ++sent;
        served += probe.status == status_ok ? 1 : 0;
    }
    const auto [first_sent, first_served] = sent_and_served[false];
    const auto [added_sent, added_served] = sent_and_served[true];
    added_route_probes_ = added_sent;
    if (added_sent < min_requests || first_sent == 0)
        return;
    const double first_share =
        static_cast<double>(first_served) / static_cast<double>(first_sent);
    const double added_share =
        static_cast<double>(added_served) / static_cast<double>(added_sent);
    if (added_share < min_relative_share * first_share)
        violations.push_back(
            "routes added later: " + std::to_string(added_served) + " of " +
            std::to_string(added_sent) + " requests served, on the first: " +
            std::to_string(first_served) + " of " + std::to_string(first_sent));
}

void configuration_history::check_timeouts(std::vector<std::string>& violations)
{
    constexpr std::size_t min_late = 8;
    constexpr double max_late_share = 0.25;
    std::size_t long_requests = 0;
    std::size_t late = 0;
    for (const auto& [attempt, probe] : probes_)
    {
        if (probe.prefix != slow_prefix || probe.sent_at == time_point{} ||
            contacts_.contact_of(
                probe.entry, probe.sent_at, probe.answered_at) != contact::kept)
            continue;
        int timeout_ms = 0;
        const std::uint64_t oldest =
            version_in_force(probe.sent_at, config_apply_time);
        for (const sent_change* each : changes_that_may_hold(probe.answered_at))
            if (each->spec.version >= oldest)
                timeout_ms = std::max(timeout_ms, each->spec.slow_timeout_ms);
        const auto took = probe.answered_at - probe.sent_at;
        long_requests += took > milliseconds(timeout_ms) ? 1 : 0;
        late += took > milliseconds(timeout_ms) + answer_slack ? 1 : 0;
    }
    if (late >= min_late &&
        static_cast<double>(late) >
            max_late_share * static_cast<double>(long_requests))
        violations.push_back(
            std::to_string(late) + " of " + std::to_string(long_requests) +
            " requests over their timeout had no answer half a second later");
}

std::vector<std::string> configuration_history::violations()
{
    const std::lock_guard lock(mutex_);
    std::vector<std::string> violations = violations_;
    judged_probes_ = 0;
    check_changes(violations);
    check_in_force(violations);
    check_no_regress(violations);
    check_reads(violations);
    check_added_routes(violations);
    check_timeouts(violations);
    return violations;
}

std::string configuration_history::summary()
{
    const std::size_t acknowledged = acknowledged_changes();
    const std::lock_guard lock(mutex_);
    return std::to_string(changes_.size()) + " changes, " +
           std::to_string(acknowledged) + " acknowledged, " +
           std::to_string(probes_.size()) + " probes, " +
           std::to_string(judged_probes_) + " judged, " +
           std::to_string(added_route_probes_) + " of added routes in calm, " +
           std::to_string(reads_.size()) + " reads";
}

} // namespace soak
