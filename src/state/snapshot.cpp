#include "state/convert.hpp"
#include "state/transitions.hpp"

#include <utility>

namespace bergamotusher::state
{

namespace
{

void write_results(wire::state_snapshot& to, const replicated_state& from)
{
    for (const auto& [key, result] : from.operator_results)
    {
        auto* added = to.add_operator_results();
        added->set_key(key);
        added->set_fingerprint(result.fingerprint);
        added->set_at_ms(result.at.milliseconds);
        write(*added->mutable_result(), result.outcome);
    }
}

void write_journal(wire::state_snapshot& to, const replicated_state& from)
{
    for (const auto& [key, entry] : from.requests.entries)
    {
        auto* added = to.add_journal();
        write(*added->mutable_record(), entry.record);
        added->set_changed_ms(entry.changed.milliseconds);
        added->set_released(entry.released);
    }
}

void read_results(replicated_state& to, const wire::state_snapshot& from)
{
    for (const auto& each : from.operator_results())
    {
        to.operator_results[each.key()] = {
            each.fingerprint(), {each.at_ms()}, read(each.result())};
        to.operator_results_by_age.insert({{each.at_ms()}, each.key()});
    }
}

void read_journal(replicated_state& to, const wire::state_snapshot& from)
{
    for (const auto& each : from.journal())
    {
        journal_record record = read(each.record());
        const journal_key key = record.key;
        to.requests.entries[key] = {
            std::move(record), {each.changed_ms()}, each.released()};
    }
    rebuild_indexes(to.requests);
}

} // namespace

std::string snapshot(const replicated_state& state)
{
    wire::state_snapshot to;
    to.set_applied(state.applied);
    to.set_clock_ms(state.clock.milliseconds);
    to.set_operator_revision(state.operator_revision);
    write(*to.mutable_configuration(), *state.current);
    for (const history_item& item : state.history)
    {
        auto* added = to.add_history();
        added->set_revision(item.revision);
        added->set_at_ms(item.at.milliseconds);
        added->set_what(item.what);
        added->set_name(item.name);
    }
    write_results(to, state);
    write_journal(to, state);
    for (const auto& [id, each] : state.moves)
        write(*to.add_moves(), each);
    for (const auto& [service, version] : state.settled_versions)
    {
        auto* added = to.add_settled();
        added->set_service(service.value);
        added->set_version(version.value);
    }
    return to.SerializeAsString();
}

std::error_code restore(replicated_state& state, std::string_view snapshot)
{
    wire::state_snapshot from;
    if (!from.ParseFromArray(
            snapshot.data(), static_cast<int>(snapshot.size())))
        return error_kind::malformed_message;
    replicated_state to;
    to.bounds = state.bounds;
    to.applied = from.applied();
    to.clock.milliseconds = from.clock_ms();
    to.operator_revision = from.operator_revision();
    to.current =
        std::make_shared<const configuration>(read(from.configuration()));
    for (const auto& each : from.history())
        to.history.push_back(
            {each.revision(), {each.at_ms()}, each.what(), each.name()});
    read_results(to, from);
    read_journal(to, from);
    for (const auto& each : from.moves())
        to.moves[{each.id()}] = read(each);
    for (const auto& each : from.settled())
        to.settled_versions[{each.service()}] = {each.version()};
    state = std::move(to);
    return {};
}

} // namespace bergamotusher::state
