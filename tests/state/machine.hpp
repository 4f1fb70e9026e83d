// Helpers that build and apply commands in tests of the replicated state.
#pragma once

#include "state/replicated_state.hpp"

#include <string>
#include <utility>

namespace bergamotusher::state
{

/// A replicated state with a log; each command is appended and applied.
struct state_machine
{
    replicated_state state;
    std::uint64_t index = 0;
    wall_time now{1'700'000'000'000};

    command_outcome operator()(const command& value)
    {
        return *parse_result(apply(state, ++index, encode(value, now)));
    }
};

inline work_class quick_class(std::uint32_t priority = 1)
{
    work_class value;
    value.name.value = "quick";
    value.priority = priority;
    return value;
}

inline put_entry
put(configuration_entry value, std::uint64_t expected, std::string key = "")
{
    return {std::move(value), expected, std::move(key)};
}

/// Adds the class "quick" and the service "assistant" that uses it.
inline void add_service(state_machine& machine)
{
    const auto first =
        machine(put(quick_class(), machine.state.operator_revision));
    service value;
    value.name.value = "assistant";
    value.default_class.value = "quick";
    machine(put(value, first.revision));
}

inline begin_request
begin_by(const std::string& key, const std::string& owner, int attempt = 1)
{
    begin_request request;
    request.record.key = {{"binder"}, key};
    request.record.fingerprint = "f";
    request.record.owner.value = owner;
    request.record.owner_incarnation = 1;
    request.record.attempt.value = owner + std::to_string(attempt);
    return request;
}

template<class Request>
Request to_request(const begin_request& begun)
{
    Request request;
    request.key = begun.record.key;
    request.owner = begun.record.owner;
    request.owner_incarnation = begun.record.owner_incarnation;
    request.attempt = begun.record.attempt;
    return request;
}

inline finish_request finish_of(const begin_request& begun, std::string body)
{
    auto request = to_request<finish_request>(begun);
    request.answer = {200, "text/plain", std::move(body), false};
    return request;
}

inline release_request release_of(const begin_request& begun)
{
    return to_request<release_request>(begun);
}

} // namespace bergamotusher::state
