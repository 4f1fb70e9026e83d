#include "state/operator_api.hpp"

#include "state/configuration_check.hpp"
#include "state/configuration_json.hpp"

#include <charconv>
#include <optional>
#include <utility>
#include <vector>

namespace bergamotusher::state
{

namespace
{

using nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_accepted = 202;

std::vector<std::string> split_path(const std::string& path)
{
    std::vector<std::string> segments;
    std::size_t start = 1;
    while (start <= path.size())
    {
        const std::size_t end = std::min(path.find('/', start), path.size());
        segments.push_back(path.substr(start, end - start));
        start = end + 1;
    }
    return segments;
}

std::optional<std::uint64_t> parse_revision(std::string_view header)
{
    if (header.size() >= 2 && header.front() == '"' && header.back() == '"')
        header = header.substr(1, header.size() - 2);
    std::uint64_t value = 0;
    const char* end = header.data() + header.size();
    const auto [read, error] = std::from_chars(header.data(), end, value);
    if (error != std::errc{} || read != end)
        return std::nullopt;
    return value;
}

operator_answer error_response(error_kind kind, std::string detail)
{
    return make_answer(failure{kind, std::move(detail)});
}

template<class Map>
operator_answer list_entries(
    const std::string& what, const Map& entries, const replicated_state& state)
{
    json values = json::array();
    for (const auto& [name, value] : entries)
        values.push_back(to_json(value));
    const json body{{"revision", state.operator_revision}, {what, values}};
    return {status_ok, body.dump(), state.operator_revision};
}

template<class Map>
operator_answer show_entry(
    const std::string& name, const Map& entries, const replicated_state& state)
{
    const auto found = entries.find({name});
    if (found == entries.end())
        return error_response(
            error_kind::unknown_resource, "there is no '" + name + "'");
    const json body{
        {"revision", state.operator_revision},
        {"value", to_json(found->second)}};
    return {status_ok, body.dump(), state.operator_revision};
}

template<class Map>
operator_answer read_entries(
    const std::vector<std::string>& path,
    const Map& entries,
    const replicated_state& state)
{
    constexpr std::size_t segments_with_name = 4;
    return path.size() == segments_with_name
               ? show_entry(path.back(), entries, state)
               : list_entries(path.back(), entries, state);
}

operator_answer read_configuration(
    const std::vector<std::string>& path, const replicated_state& state)
{
    if (path[2] == "classes")
        return read_entries(path, state.current->classes, state);
    if (path[2] == "services")
        return read_entries(path, state.current->services, state);
    return read_entries(path, state.current->accounts, state);
}

operator_answer read_history(const replicated_state& state)
{
    json items = json::array();
    for (const history_item& item : state.history)
        items.push_back(
            {{"revision", item.revision},
             {"at_ms", item.at.milliseconds},
             {"what", item.what},
             {"name", item.name}});
    return {
        status_ok, json{{"history", items}}.dump(), state.operator_revision};
}

template<class Parsed>
operator_decision
put_command(Parsed parsed, std::uint64_t revision, const std::string& key)
{
    if (const auto* problem = std::get_if<failure>(&parsed))
        return make_answer(*problem);
    return command{put_entry{std::get<0>(std::move(parsed)), revision, key}};
}

operator_decision write_configuration(
    const std::vector<std::string>& path, const operator_request& request)
{
    if (request.idempotency_key.empty())
        return error_response(
            error_kind::missing_idempotency_key, "Idempotency-Key");
    const auto revision = parse_revision(request.if_match);
    if (!revision)
        return error_response(
            error_kind::malformed_request,
            "If-Match: must be the revision that was read");
    const auto& key = request.idempotency_key;
    const std::string& name = path.back();
    if (path[2] == "classes")
        return put_command(parse_class(name, request.body), *revision, key);
    if (path[2] == "services")
        return put_command(parse_service(name, request.body), *revision, key);
    return put_command(parse_account(name, request.body), *revision, key);
}

operator_decision decide_configuration(
    const std::vector<std::string>& path,
    const operator_request& request,
    const replicated_state& state)
{
    constexpr std::size_t segments_with_name = 4;
    if (path.size() == 3 && path[2] == "history")
    {
        if (request.method != "GET")
            return error_response(
                error_kind::method_not_allowed, request.method);
        return read_history(state);
    }
    const bool known = path.size() >= 3 && path.size() <= segments_with_name &&
                       (path[2] == "classes" || path[2] == "services" ||
                        path[2] == "accounts");
    if (!known)
        return error_response(error_kind::unknown_resource, request.path);
    if (request.method == "GET")
        return read_configuration(path, state);
    if (request.method == "PUT" && path.size() == segments_with_name)
        return write_configuration(path, request);
    return error_response(error_kind::method_not_allowed, request.method);
}

operator_decision start_move_command(const operator_request& request)
{
    if (request.idempotency_key.empty())
        return error_response(
            error_kind::missing_idempotency_key, "Idempotency-Key");
    auto parsed = parse_move(request.body);
    if (const auto* problem = std::get_if<failure>(&parsed))
        return make_answer(*problem);
    auto& start = std::get<start_move>(parsed);
    start.operator_key = request.idempotency_key;
    return command{std::move(start)};
}

operator_answer show_move(const std::string& id, const replicated_state& state)
{
    const auto found = state.moves.find({id});
    if (found == state.moves.end())
        return error_response(
            error_kind::unknown_resource, "there is no move " + id);
    return {status_ok, to_json(found->second).dump(), 0};
}

operator_answer list_moves(const replicated_state& state)
{
    json moves = json::array();
    for (const auto& [id, each] : state.moves)
        moves.push_back(to_json(each));
    return {status_ok, json{{"moves", moves}}.dump(), 0};
}

operator_decision decide_moves(
    const std::vector<std::string>& path,
    const operator_request& request,
    const replicated_state& state)
{
    if (path.size() > 3)
        return error_response(error_kind::unknown_resource, request.path);
    if (request.method == "GET")
        return path.size() == 3 ? show_move(path[2], state) : list_moves(state);
    if (request.method == "POST" && path.size() == 2)
        return start_move_command(request);
    return error_response(error_kind::method_not_allowed, request.method);
}

} // namespace

operator_decision
decide(const operator_request& request, const replicated_state& state)
{
    const auto path = split_path(request.path);
    if (path.size() >= 2 && path[0] == "v1" && path[1] == "config")
        return decide_configuration(path, request, state);
    if (path.size() >= 2 && path[0] == "v1" && path[1] == "moves")
        return decide_moves(path, request, state);
    return error_response(error_kind::unknown_resource, request.path);
}

operator_answer
make_answer(const command& proposed, const command_outcome& outcome)
{
    if (outcome.error)
        return make_answer(*outcome.error, outcome.revision);
    json body{
        {"revision", outcome.revision},
        {"state", "accepted"},
        {"resent", outcome.resent}};
    if (std::holds_alternative<start_move>(proposed))
    {
        body["id"] = outcome.move.value;
        return {status_accepted, body.dump(), 0};
    }
    return {status_ok, body.dump(), outcome.revision};
}

operator_answer make_answer(const failure& problem, std::uint64_t revision)
{
    const error_answer& row = error_answer_for(problem.kind);
    json body{
        {"type", "about:blank"},
        {"title", std::string(row.title)},
        {"status", row.http_status},
        {"kind", std::string(row.name)},
        {"run", std::string(to_name(row.run))},
        {"detail", problem.detail}};
    if (revision != 0)
        body["revision"] = revision;
    return {
        row.http_status,
        body.dump(-1, ' ', false, json::error_handler_t::replace),
        revision};
}

} // namespace bergamotusher::state
