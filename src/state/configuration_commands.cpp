#include "state/configuration_check.hpp"
#include "state/transitions.hpp"

#include <algorithm>
#include <utility>

namespace bergamotusher::state
{

namespace
{

constexpr wall_time never{0};

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
    const configuration& now = *state.current;
    const std::size_t sizes[] = {
        now.classes.size(), now.services.size(), now.accounts.size()};
    return sizes[entry.index()] >= state.bounds.entries;
}

std::string name_of(const configuration_entry& entry)
{
    return std::visit([](const auto& v) { return v.name.value; }, entry);
}

std::optional<failure>
problem_of(const replicated_state& state, const put_entry& command)
{
    if (command.expected_revision != state.operator_revision)
        return failure{
            error_kind::revision_conflict,
            "revision " + std::to_string(state.operator_revision) +
                " is in its place"};
    if (auto wrong = check(command.value))
        return wrong;
    if (is_full(state, command.value))
        return failure{
            error_kind::invalid_configuration,
            "name: there are too many entries"};
    return check_among(*state.current, command.value);
}

command_outcome
put(replicated_state& state, std::uint64_t index, const put_entry& command)
{
    if (auto problem = problem_of(state, command))
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

void forget_result(
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
    if (state.history.size() > state.bounds.history)
        state.history.pop_front();
}

std::optional<command_outcome> earlier_result(
    const replicated_state& state,
    const std::string& key,
    const std::string& fingerprint)
{
    const auto found = state.operator_results.find(key);
    if (key.empty() || found == state.operator_results.end())
        return std::nullopt;
    if (found->second.fingerprint != fingerprint)
        return refused(
            state,
            error_kind::key_conflict,
            "the idempotency key stands for another change");
    command_outcome outcome = found->second.outcome;
    outcome.resent = true;
    return outcome;
}

void remember_result(
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
    const std::int64_t oldest = state.clock.milliseconds - state.bounds.window;
    while (ages.size() > state.bounds.operator_results ||
           ages.begin()->first.milliseconds < oldest)
        forget_result(state, ages.begin());
}

command_outcome
refused(const replicated_state& state, error_kind kind, std::string detail)
{
    command_outcome outcome;
    outcome.error = failure{kind, std::move(detail)};
    outcome.revision = state.operator_revision;
    return outcome;
}

command_outcome apply_command(
    replicated_state& state, std::uint64_t index, const put_entry& command)
{
    const std::string fingerprint = encode(command, never);
    if (auto earlier = earlier_result(state, command.operator_key, fingerprint))
        return *earlier;
    command_outcome outcome = put(state, index, command);
    remember_result(state, command.operator_key, fingerprint, outcome);
    return outcome;
}

command_outcome quarantine(
    replicated_state& state,
    std::uint64_t index,
    const quarantine_fingerprint& command)
{
    command_outcome outcome;
    outcome.revision = state.current->revision;
    const auto& known = state.current->quarantined;
    const auto& added = command.fingerprint;
    if (added.empty() ||
        std::find(known.begin(), known.end(), added) != known.end())
        return outcome;
    const std::size_t most = state.bounds.quarantined;
    publish(
        state,
        index,
        "quarantine",
        added,
        [&](configuration& to)
        {
            to.quarantined.push_back(added);
            if (to.quarantined.size() > most)
                to.quarantined.erase(to.quarantined.begin());
        });
    outcome.revision = index;
    return outcome;
}

} // namespace bergamotusher::state
