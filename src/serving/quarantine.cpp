#include "serving/quarantine.hpp"

#include <algorithm>

namespace bergamotusher::serving
{

namespace
{

duration time_between(time_point left, time_point right)
{
    return left < right ? right - left : left - right;
}

possible_death*
find_death(quarantine_state& state, const upstream_id& target, time_point now)
{
    for (possible_death& death : state.possible_deaths)
        if (death.target == target &&
            time_between(death.at, now) <= confirmation_window)
            return &death;
    return nullptr;
}

/// Whether the death may still be counted against its suspects.
bool may_still_count(const possible_death& death, time_point now)
{
    return !death.judged && !death.under_notice &&
           (death.confirmed || now - death.at < suspicion_window);
}

bool share_a_suspect(const possible_death& left, const possible_death& right)
{
    return std::any_of(
        left.suspects.begin(),
        left.suspects.end(),
        [&right](const std::string& suspect)
        { return right.suspects.contains(suspect); });
}

/// Whether other upstreams of the failure domain died at the same time without
/// a common request: then the domain failed, not the request.
bool is_domain_failure(
    const quarantine_state& state, const possible_death& death)
{
    const auto died_with_it = [&death](const possible_death& other)
    {
        return other.target != death.target && other.domain == death.domain &&
               time_between(other.at, death.at) <= coincidence_window &&
               !share_a_suspect(other, death);
    };
    return !death.domain.empty() && std::any_of(
                                        state.possible_deaths.begin(),
                                        state.possible_deaths.end(),
                                        died_with_it);
}

std::size_t
deaths_of(const quarantine_state& state, const std::string& fingerprint)
{
    const auto found = state.counted_deaths.find(fingerprint);
    return found == state.counted_deaths.end() ? 0 : found->second.size();
}

/// Counts the death against `fingerprint`; false if it was already counted.
bool count_death(
    quarantine_state& state,
    const std::string& fingerprint,
    const possible_death& death)
{
    std::vector<counted_death>& counted = state.counted_deaths[fingerprint];
    for (const counted_death& known : counted)
        if (known.target == death.target &&
            time_between(known.at, death.at) <= same_death_window)
            return false;
    counted.push_back({death.target, death.at});
    return true;
}

/// Returns the suspect of the death that has at least `deaths_to_quarantine`
/// deaths and more than any other; empty if there is none or a tie.
std::string
find_culprit(const quarantine_state& state, const possible_death& death)
{
    std::size_t most = 0;
    std::string culprit;
    for (const std::string& suspect : death.suspects)
    {
        const std::size_t deaths = deaths_of(state, suspect);
        if (deaths < deaths_to_quarantine || deaths < most)
            continue;
        culprit = deaths > most ? suspect : std::string();
        most = deaths;
    }
    return culprit;
}

/// Removes the culprit's deaths from the counts of all other suspects.
void clear_explained_deaths(quarantine_state& state, const std::string& culprit)
{
    const std::vector<counted_death> explained = state.counted_deaths[culprit];
    state.counted_deaths.erase(culprit);
    const auto is_explained = [&explained](const counted_death& death)
    {
        return std::any_of(
            explained.begin(),
            explained.end(),
            [&death](const counted_death& other)
            {
                return other.target == death.target &&
                       time_between(other.at, death.at) <= same_death_window;
            });
    };
    for (auto& [fingerprint, deaths] : state.counted_deaths)
        std::erase_if(deaths, is_explained);
    std::erase_if(
        state.counted_deaths,
        [](const auto& item) { return item.second.empty(); });
}

void judge_death(
    quarantine_state& state,
    const possible_death& death,
    time_point now,
    std::vector<crash_verdict>& verdicts)
{
    for (const std::string& suspect : death.suspects)
        if (count_death(state, suspect, death))
            verdicts.push_back(
                {suspect,
                 death.target,
                 death.domain,
                 !death.reported_by_peer,
                 false});
    const std::string culprit = find_culprit(state, death);
    if (culprit.empty())
        return;
    clear_explained_deaths(state, culprit);
    state.quarantined[culprit] = now;
    verdicts.push_back({culprit, death.target, death.domain, false, true});
}

void expire_evidence(quarantine_state& state, time_point now)
{
    std::erase_if(
        state.quarantined,
        [now](const auto& item)
        { return item.second + quarantine_duration < now; });
    std::erase_if(
        state.leave_notices,
        [now](const auto& item)
        { return item.second + quarantine_duration < now; });
    std::erase_if(
        state.counted_deaths,
        [now](const auto& item)
        { return item.second.back().at + quarantine_duration < now; });
    while (state.counted_deaths.size() > max_fingerprints)
        state.counted_deaths.erase(state.counted_deaths.begin());
    while (state.quarantined.size() > max_fingerprints)
        state.quarantined.erase(state.quarantined.begin());
}

possible_death& find_or_add_death(
    quarantine_state& state,
    const upstream_id& target,
    const failure_domain& domain,
    time_point now)
{
    possible_death* known = find_death(state, target, now);
    if (known != nullptr)
        return *known;
    possible_death death;
    death.target = target;
    death.domain = domain;
    death.at = now;
    death.under_notice = state.leave_notices.contains(target);
    return state.possible_deaths.emplace_back(std::move(death));
}

} // namespace

void note_connection_broken(
    quarantine_state& state,
    const upstream_id& target,
    const failure_domain& domain,
    const std::string& fingerprint,
    time_point now)
{
    find_or_add_death(state, target, domain, now).suspects.insert(fingerprint);
}

void note_connection_refused(
    quarantine_state& state, const upstream_id& target, time_point now)
{
    if (possible_death* death = find_death(state, target, now))
        death->confirmed = true;
}

void note_upstream_gone(
    quarantine_state& state,
    const upstream_id& target,
    const failure_domain& domain,
    const std::vector<std::string>& running,
    bool domain_lost,
    time_point now)
{
    possible_death& death = find_or_add_death(state, target, domain, now);
    death.suspects.insert(running.begin(), running.end());
    death.confirmed = true;
    death.under_notice = death.under_notice || domain_lost;
    state.leave_notices.erase(target);
}

void note_leave_notice(
    quarantine_state& state, const upstream_id& target, time_point now)
{
    state.leave_notices[target] = now;
    for (possible_death& death : state.possible_deaths)
        if (death.target == target && !death.judged)
            death.under_notice = true;
}

void note_crash_report(
    quarantine_state& state,
    const upstream_id& target,
    const failure_domain& domain,
    const std::string& fingerprint,
    time_point now)
{
    const bool known = find_death(state, target, now) != nullptr;
    possible_death& death = find_or_add_death(state, target, domain, now);
    death.suspects.insert(fingerprint);
    death.confirmed = true;
    death.reported_by_peer = death.reported_by_peer || !known;
}

void note_success(quarantine_state& state, const std::string& fingerprint)
{
    state.counted_deaths.erase(fingerprint);
    for (possible_death& death : state.possible_deaths)
        death.suspects.erase(fingerprint);
}

std::vector<crash_verdict>
judge_due_deaths(quarantine_state& state, time_point now)
{
    std::vector<crash_verdict> verdicts;
    for (possible_death& death : state.possible_deaths)
    {
        const bool due = !death.judged && death.confirmed &&
                         death.at + coincidence_window <= now;
        if (!due)
            continue;
        death.judged = true;
        if (!death.under_notice && !is_domain_failure(state, death))
            judge_death(state, death, now, verdicts);
    }
    std::erase_if(
        state.possible_deaths,
        [now](const possible_death& death)
        { return death.at + confirmation_window < now; });
    expire_evidence(state, now);
    return verdicts;
}

bool is_quarantined(
    const quarantine_state& state, const std::string& fingerprint)
{
    return state.quarantined.contains(fingerprint);
}

bool is_suspect(
    const quarantine_state& state,
    const std::string& fingerprint,
    time_point now)
{
    if (state.counted_deaths.contains(fingerprint))
        return true;
    return std::any_of(
        state.possible_deaths.begin(),
        state.possible_deaths.end(),
        [&](const possible_death& death)
        {
            return may_still_count(death, now) &&
                   death.suspects.contains(fingerprint);
        });
}

bool awaits_judgement(
    const quarantine_state& state,
    const std::string& fingerprint,
    time_point now)
{
    std::size_t open = 0;
    for (const possible_death& death : state.possible_deaths)
        open +=
            may_still_count(death, now) && death.suspects.contains(fingerprint);
    return open > 0 &&
           open + deaths_of(state, fingerprint) >= deaths_to_quarantine;
}

bool is_quarantine_candidate(
    const quarantine_state& state, const std::string& fingerprint)
{
    return deaths_of(state, fingerprint) >= deaths_to_quarantine;
}

} // namespace bergamotusher::serving
