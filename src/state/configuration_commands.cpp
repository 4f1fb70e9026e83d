#include "state/configuration_check.hpp"
#include "state/transitions.hpp"

#include <algorithm>
#include <utility>

namespace bergamotusher::state
{

namespace
{

constexpr wall_time no_time{0};

void set(configuration& to, const work_class& value)
{
    to.classes[value.name] = value;
}

void set(configuration& to, const service& value)
{
    to.services[value.name] = value;
}

void set(configuration& to, const account& value)
{
    to.accounts[value.name] = value;
}

bool is_full(const replicated_state& state, const configuration_entry& entry)
{
    const configuration& current = *state.current;
    const std::size_t sizes[] = {
        current.classes.size(),
        current.services.size(),
        current.accounts.size()};
    return sizes[entry.index()] >= state.bounds.max_entries_per_kind;
}

std::string name_of(const configuration_entry& entry)
{
    return std::visit([](const auto& v) { return v.name.value; }, entry);
}

std::optional<failure>
validate(const replicated_state& state, const put_entry& command)
{
    if (command.expected_revision != state.operator_revision)
        return failure{
            error_kind::revision_conflict,
            "revision " + std::to_string(state.operator_revision) +
                " is in its place"};
    if (auto invalid = check(command.value))
        return invalid;
    if (is_full(state, command.value))
        return failure{
            error_kind::invalid_configuration,
            "name: there are too many entries"};
    return check_against(*state.current, command.value);
}

command_outcome put_if_current(
    replicated_state& state, std::uint64_t index, const put_entry& command)
{
    if (auto problem = validate(state, command))
    {
        command_outcome outcome;
        outcome.error = std::move(problem);
        outcome.revision = state.operator_revision;
        return outcome;
    }
    static const char* const kinds[] = {"class", "service", "account"};
    publish(
        state,
        index,
        kinds[command.value.index()],
        name_of(command.value),
        [&](configuration& to)
        { std::visit([&](const auto& v) { set(to, v); }, command.value); });
    state.operator_revision = index;
    command_outcome outcome;
    outcome.revision = index;
    return outcome;
}

void erase_result(
    replicated_state& state,
    std::set<std::pair<wall_time, std::string>>::iterator oldest)
{
    state.operator_results.erase(oldest->second);
    state.operator_results_by_age.erase(oldest);
}

} // namespace

void publish(
    replicated_state& state,
    std::uint64_t index,
    std::string what,
    std::string name,
    const std::function<void(configuration&)>& change)
{
    auto next = std::make_shared<configuration>(*state.current);
    change(*next);
    next->revision = index;
    state.current = std::move(next);
    state.history.push_back(
        {index, state.clock, std::move(what), std::move(name)});
    if (state.history.size() > state.bounds.max_history_items)
        state.history.pop_front();
}

std::optional<command_outcome> find_earlier_result(
    const replicated_state& state,
    const std::string& key,
    const std::string& fingerprint)
{
    const auto found = state.operator_results.find(key);
    if (key.empty() || found == state.operator_results.end())
        return std::nullopt;
    if (found->second.fingerprint != fingerprint)
        return refused_outcome(
            state,
            error_kind::key_conflict,
            "the idempotency key stands for another change");
    command_outcome outcome = found->second.outcome;
    outcome.resent = true;
    return outcome;
}

void store_result(
    replicated_state& state,
    const std::string& key,
    const std::string& fingerprint,
    const command_outcome& outcome)
{
    if (key.empty())
        return;
    auto& ages = state.operator_results_by_age;
    state.operator_results[key] = {fingerprint, state.clock, outcome};
    ages.insert({state.clock, key});
    const std::int64_t oldest =
        state.clock.milliseconds - state.bounds.journal_window_ms;
    while (ages.size() > state.bounds.max_operator_results ||
           ages.begin()->first.milliseconds < oldest)
        erase_result(state, ages.begin());
}

command_outcome refused_outcome(
    const replicated_state& state, error_kind kind, std::string detail)
{
    command_outcome outcome;
    outcome.error = failure{kind, std::move(detail)};
    outcome.revision = state.operator_revision;
    return outcome;
}

command_outcome apply_put(
    replicated_state& state, std::uint64_t index, const put_entry& command)
{
    const std::string fingerprint = encode(command, no_time);
    if (auto earlier =
            find_earlier_result(state, command.operator_key, fingerprint))
        return *earlier;
    command_outcome outcome = put_if_current(state, index, command);
    store_result(state, command.operator_key, fingerprint, outcome);
    return outcome;
}

command_outcome apply_quarantine(
    replicated_state& state,
    std::uint64_t index,
    const quarantine_fingerprint& command)
{
    command_outcome outcome;
    outcome.revision = state.current->revision;
    const auto& quarantined = state.current->quarantined;
    const auto& added = command.fingerprint;
    if (added.empty() ||
        std::find(quarantined.begin(), quarantined.end(), added) !=
            quarantined.end())
        return outcome;
    const std::size_t max_count = state.bounds.max_quarantined;
    publish(
        state,
        index,
        "quarantine",
        added,
        [&](configuration& to)
        {
            to.quarantined.push_back(added);
            if (to.quarantined.size() > max_count)
                to.quarantined.erase(to.quarantined.begin());
        });
    outcome.revision = index;
    return outcome;
}

} // namespace bergamotusher::state
