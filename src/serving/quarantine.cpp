#include "serving/quarantine.hpp"

#include <algorithm>

namespace bergamotusher::serving
{

namespace
{

duration distance(time_point left, time_point right)
{
    return left < right ? right - left : left - right;
}

possible_death*
find_death(quarantine_state& state, const upstream_id& target, time_point now)
{
    for (possible_death& death : state.possible)
        if (death.target == target &&
            distance(death.at, now) <= confirmation_window)
            return &death;
    return nullptr;
}

/// Whether the death may yet be counted against its suspects.
bool is_open(const possible_death& death, time_point now)
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

/// Whether others of the domain died with it and no request explains that.
bool is_coincidence(const quarantine_state& state, const possible_death& death)
{
    const auto died_with_it = [&death](const possible_death& other)
    {
        return other.target != death.target && other.domain == death.domain &&
               distance(other.at, death.at) <= coincidence_window &&
               !share_a_suspect(other, death);
    };
    return !death.domain.empty() &&
           std::any_of(
               state.possible.begin(), state.possible.end(), died_with_it);
}

std::size_t
deaths_of(const quarantine_state& state, const std::string& fingerprint)
{
    const auto found = state.suspects.find(fingerprint);
    return found == state.suspects.end() ? 0 : found->second.size();
}

/// Counts the death against `fingerprint`, unless it was told before.
bool count_death(
    quarantine_state& state,
    const std::string& fingerprint,
    const possible_death& death)
{
    std::vector<counted_death>& counted = state.suspects[fingerprint];
    for (const counted_death& known : counted)
        if (known.target == death.target &&
            distance(known.at, death.at) <= same_death_window)
            return false;
    counted.push_back({death.target, death.at});
    return true;
}

/// The one suspect of the death that has enough deaths and more than any
/// other; empty if there is none, or several that nothing tells apart.
std::string
guilty_of(const quarantine_state& state, const possible_death& death)
{
    std::size_t most = 0;
    std::string guilty;
    for (const std::string& suspect : death.suspects)
    {
        const std::size_t deaths = deaths_of(state, suspect);
        if (deaths < deaths_to_quarantine || deaths < most)
            continue;
        guilty = deaths > most ? suspect : std::string();
        most = deaths;
    }
    return guilty;
}

/// What the guilty one's deaths explain counts against nobody else.
void clear_neighbours(quarantine_state& state, const std::string& guilty)
{
    const std::vector<counted_death> explained = state.suspects[guilty];
    state.suspects.erase(guilty);
    const auto is_explained = [&explained](const counted_death& death)
    {
        return std::any_of(
            explained.begin(),
            explained.end(),
            [&death](const counted_death& other)
            {
                return other.target == death.target &&
                       distance(other.at, death.at) <= same_death_window;
            });
    };
    for (auto& [fingerprint, deaths] : state.suspects)
        std::erase_if(deaths, is_explained);
    std::erase_if(
        state.suspects, [](const auto& item) { return item.second.empty(); });
}

void judge_one(
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
                 !death.reported_here,
                 false});
    const std::string guilty = guilty_of(state, death);
    if (guilty.empty())
        return;
    clear_neighbours(state, guilty);
    state.quarantined[guilty] = now;
    verdicts.push_back({guilty, death.target, death.domain, false, true});
}

void forget_old(quarantine_state& state, time_point now)
{
    std::erase_if(
        state.quarantined,
        [now](const auto& item)
        { return item.second + quarantine_time < now; });
    std::erase_if(
        state.noticed,
        [now](const auto& item)
        { return item.second + quarantine_time < now; });
    std::erase_if(
        state.suspects,
        [now](const auto& item)
        { return item.second.back().at + quarantine_time < now; });
    while (state.suspects.size() > most_fingerprints)
        state.suspects.erase(state.suspects.begin());
    while (state.quarantined.size() > most_fingerprints)
        state.quarantined.erase(state.quarantined.begin());
}

possible_death& note_death(
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
    death.under_notice = state.noticed.contains(target);
    return state.possible.emplace_back(std::move(death));
}

} // namespace

void note_broken(
    quarantine_state& state,
    const upstream_id& target,
    const failure_domain& domain,
    const std::string& fingerprint,
    time_point now)
{
    note_death(state, target, domain, now).suspects.insert(fingerprint);
}

void note_refused(
    quarantine_state& state, const upstream_id& target, time_point now)
{
    if (possible_death* death = find_death(state, target, now))
        death->confirmed = true;
}

void note_gone(
    quarantine_state& state,
    const upstream_id& target,
    const failure_domain& domain,
    const std::vector<std::string>& running,
    bool domain_lost,
    time_point now)
{
    possible_death& death = note_death(state, target, domain, now);
    death.suspects.insert(running.begin(), running.end());
    death.confirmed = true;
    death.under_notice = death.under_notice || domain_lost;
    state.noticed.erase(target);
}

void note_notice(
    quarantine_state& state, const upstream_id& target, time_point now)
{
    state.noticed[target] = now;
    for (possible_death& death : state.possible)
        if (death.target == target && !death.judged)
            death.under_notice = true;
}

void note_report(
    quarantine_state& state,
    const upstream_id& target,
    const failure_domain& domain,
    const std::string& fingerprint,
    time_point now)
{
    const bool known = find_death(state, target, now) != nullptr;
    possible_death& death = note_death(state, target, domain, now);
    death.suspects.insert(fingerprint);
    death.confirmed = true;
    death.reported_here = death.reported_here || !known;
}

void note_ended_well(quarantine_state& state, const std::string& fingerprint)
{
    state.suspects.erase(fingerprint);
    for (possible_death& death : state.possible)
        death.suspects.erase(fingerprint);
}

std::vector<crash_verdict> judge(quarantine_state& state, time_point now)
{
    std::vector<crash_verdict> verdicts;
    for (possible_death& death : state.possible)
    {
        const bool due = !death.judged && death.confirmed &&
                         death.at + coincidence_window <= now;
        if (!due)
            continue;
        death.judged = true;
        if (!death.under_notice && !is_coincidence(state, death))
            judge_one(state, death, now, verdicts);
    }
    std::erase_if(
        state.possible,
        [now](const possible_death& death)
        { return death.at + confirmation_window < now; });
    forget_old(state, now);
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
    if (state.suspects.contains(fingerprint))
        return true;
    return std::any_of(
        state.possible.begin(),
        state.possible.end(),
        [&](const possible_death& death) {
            return is_open(death, now) && death.suspects.contains(fingerprint);
        });
}

bool awaits_judgement(
    const quarantine_state& state,
    const std::string& fingerprint,
    time_point now)
{
    std::size_t open = 0;
    for (const possible_death& death : state.possible)
        open += is_open(death, now) && death.suspects.contains(fingerprint);
    return open > 0 &&
           open + deaths_of(state, fingerprint) >= deaths_to_quarantine;
}

bool is_prime_suspect(
    const quarantine_state& state, const std::string& fingerprint)
{
    return deaths_of(state, fingerprint) >= deaths_to_quarantine;
}

} // namespace bergamotusher::serving
