#include "daemon/callers_duty.hpp"

#include "adapters/engine.hpp"
#include "admission/connection_gate.hpp"
#include "base/digest.hpp"
#include "daemon/outbox.hpp"

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <charconv>
#include <unordered_map>

namespace bergamotusher
{

namespace
{

constexpr std::string_view bearer_prefix = "Bearer ";
constexpr std::string_view services_path = "/v1/services/";
constexpr std::string_view requests_path = "/v1/requests/";
constexpr std::size_t max_idempotency_key_length = 255;
constexpr int http_ok = 200;
constexpr int http_see_other = 303;

// A caller's connection whose response is not complete.
struct connection
{
    std::shared_ptr<http_exchange> exchange;
    account_id account;
    request_id request;
    upstream_kind kind = upstream_kind::engine;
    int status = 200;
    std::string content_type;
    bool streaming = false;
};

} // namespace

struct callers_duty::state
{
    state(
        boost::asio::io_context& loop,
        mailbox<serving_input>& serving,
        callers_options o)
        : options(std::move(o)), to_serving(loop, serving)
    {
        gate.limit = options.limits.connections;
    }

    callers_options options;
    outbox<serving_input> to_serving;
    callers_counters counters;
    std::shared_ptr<const configuration> config =
        std::make_shared<configuration>();
    std::unordered_map<std::string, account_id> account_by_digest;
    admission::connection_gate gate;
    std::unordered_map<request_id, connection> connections;
    std::uint64_t next_request = 1;
    std::unique_ptr<http_server> server;
};

namespace
{

using duty_state = callers_duty::state;
using exchange_ptr = std::shared_ptr<http_exchange>;

const account* find_account(const duty_state& duty, const http_request& request)
{
    const std::string field = request.header("authorization");
    if (field.rfind(bearer_prefix, 0) != 0)
        return nullptr;
    const auto found = duty.account_by_digest.find(
        sha256_hex(field.substr(bearer_prefix.size())));
    if (found == duty.account_by_digest.end())
        return nullptr;
    const auto entry = duty.config->accounts.find(found->second);
    return entry == duty.config->accounts.end() ? nullptr : &entry->second;
}

request_id make_request_id(duty_state& duty)
{
    return {
        duty.options.node.value + "-" +
        std::to_string(duty.options.incarnation) + "-" +
        std::to_string(duty.next_request++)};
}

std::optional<bool> parse_repeatable(const http_request& request)
{
    const std::string field = request.header("bergamotusher-repeatable");
    if (field == "false")
        return false;
    if (field == "true")
        return true;
    return std::nullopt;
}

void fill_common_fields(caller_request& into, const http_request& from)
{
    into.wanted_class.value = from.header("bergamotusher-class");
    into.method = from.method;
    into.content_type = from.header("content-type");
    into.idempotency_key = from.header("idempotency-key");
    into.repeatable = parse_repeatable(from);
}

// Fills `into` from a chat completion request. Returns a failure if the body is
// not a valid one.
std::optional<failure>
parse_chat(caller_request& into, const http_request& from)
{
    const auto body = nlohmann::json::parse(from.body, nullptr, false);
    if (!body.is_object())
        return failure{error_kind::malformed_request, "body is no JSON object"};
    const auto model = body.find("model");
    if (model == body.end() || !model->is_string())
        return failure{error_kind::malformed_request, "model is no string"};
    const auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array() || messages->empty())
        return failure{
            error_kind::malformed_request, "messages is no list with elements"};
    const auto stream = body.find("stream");
    if (stream != body.end() && !stream->is_boolean())
        return failure{error_kind::malformed_request, "stream is no boolean"};
    into.kind = upstream_kind::engine;
    into.service.value = model->get<std::string>();
    into.path = "/v1/chat/completions";
    into.stream = stream != body.end() && stream->get<bool>();
    into.body = from.body;
    return std::nullopt;
}

std::optional<failure>
parse_service_request(caller_request& into, const http_request& from)
{
    const std::string rest = from.target.substr(services_path.size());
    const std::size_t slash = rest.find('/');
    into.kind = upstream_kind::plain;
    into.service.value = rest.substr(0, slash);
    into.path = slash == std::string::npos ? "/" : rest.substr(slash);
    into.body = from.body;
    if (into.service.empty())
        return failure{error_kind::unknown_service, ""};
    return std::nullopt;
}

// Keeps the exchange until its response is complete or its caller has
// disconnected. Answers with an error and returns false if the account or the
// entry has too many connections.
bool register_connection(
    const std::shared_ptr<duty_state>& duty,
    const request_id& id,
    const account& owner,
    upstream_kind kind,
    const exchange_ptr& exchange)
{
    if (!admission::open_connection(duty->gate, owner.name, owner.connections))
    {
        ++duty->counters.over_connection_limit;
        answer_problem(*exchange, {error_kind::too_many_connections, ""});
        return false;
    }
    duty->connections[id] = {exchange, owner.name, id, kind, 200, "", false};
    exchange->on_disconnect(
        [duty, id]
        {
            const auto found = duty->connections.find(id);
            if (found == duty->connections.end())
                return;
            admission::close_connection(duty->gate, found->second.account);
            duty->connections.erase(found);
            duty->to_serving.send(caller_disconnected{id});
        });
    return true;
}

void accept_request(
    const std::shared_ptr<duty_state>& duty,
    const account& owner,
    const http_request& from,
    const exchange_ptr& exchange)
{
    caller_request request;
    fill_common_fields(request, from);
    const auto parse_error = from.path() == "/v1/chat/completions"
                                 ? parse_chat(request, from)
                                 : parse_service_request(request, from);
    if (parse_error)
        return answer_problem(*exchange, *parse_error);
    if (request.idempotency_key.size() > max_idempotency_key_length)
        return answer_problem(
            *exchange,
            {error_kind::malformed_request, "Idempotency-Key is too long"});
    if (duty->to_serving.congested())
        return answer_problem(*exchange, {error_kind::overloaded, ""});
    request.id = make_request_id(*duty);
    request.account = owner.name;
    if (!register_connection(duty, request.id, owner, request.kind, exchange))
        return;
    duty->to_serving.send(request_arrived{std::move(request)});
}

void reattach_caller(
    const std::shared_ptr<duty_state>& duty,
    const account& owner,
    const http_request& from,
    const exchange_ptr& exchange)
{
    const std::string last_event_id = from.header("last-event-id");
    caller_reattached input;
    input.request.value = from.path().substr(requests_path.size());
    input.account = owner.name;
    const char* end = last_event_id.data() + last_event_id.size();
    const auto parsed =
        std::from_chars(last_event_id.data(), end, input.last_event);
    if (!last_event_id.empty() &&
        (parsed.ec != std::errc{} || parsed.ptr != end))
        return answer_problem(
            *exchange,
            {error_kind::malformed_request, "Last-Event-ID is no number"});
    input.connection = make_request_id(*duty);
    if (!register_connection(
            duty, input.connection, owner, upstream_kind::engine, exchange))
        return;
    duty->to_serving.send(std::move(input));
}

void route_request(
    const std::shared_ptr<duty_state>& duty,
    http_request&& request,
    const exchange_ptr& exchange)
{
    const account* owner = find_account(*duty, request);
    if (owner == nullptr)
    {
        ++duty->counters.unauthenticated;
        return answer_problem(
            *exchange,
            {error_kind::unauthenticated, ""},
            run_claim::not_run,
            {{"WWW-Authenticate", "Bearer"}});
    }
    const std::string path = request.path();
    const bool is_get = request.method == "GET";
    if (path == "/v1/entries")
        return is_get ? exchange->answer(
                            200,
                            {{"Content-Type", "application/json"}},
                            duty->options.entries_json(owner->name))
                      : answer_problem(
                            *exchange, {error_kind::method_not_allowed, ""});
    if (path.rfind(requests_path, 0) == 0)
        return is_get ? reattach_caller(duty, *owner, request, exchange)
                      : answer_problem(
                            *exchange, {error_kind::method_not_allowed, ""});
    if (path == "/v1/chat/completions" && request.method != "POST")
        return answer_problem(*exchange, {error_kind::method_not_allowed, ""});
    if (path == "/v1/chat/completions" || path.rfind(services_path, 0) == 0)
        return accept_request(duty, *owner, request, exchange);
    answer_problem(*exchange, {error_kind::unknown_resource, path});
}

http_fields head_fields(const connection& to)
{
    http_fields fields{{"Bergamotusher-Request-Id", to.request.value}};
    if (!to.content_type.empty())
        fields.emplace_back("Content-Type", to.content_type);
    return fields;
}

connection* find_connection(duty_state& duty, const request_id& id)
{
    const auto found = duty.connections.find(id);
    return found == duty.connections.end() ? nullptr : &found->second;
}

// Removes the connection from the table and returns it. The calling function
// must complete its exchange.
connection remove_connection(duty_state& duty, const request_id& id)
{
    connection removed = std::move(duty.connections.at(id));
    duty.connections.erase(id);
    admission::close_connection(duty.gate, removed.account);
    return removed;
}

void write_head(duty_state& duty, const answer_head& head)
{
    connection* to = find_connection(duty, head.connection);
    if (to == nullptr)
        return;
    to->request = head.request;
    to->status = head.status;
    to->content_type = head.content_type;
    to->streaming = head.stream;
    if (!head.stream)
        return;
    to->content_type = "text/event-stream";
    http_fields fields = head_fields(*to);
    fields.emplace_back("Cache-Control", "no-store");
    to->exchange->begin(head.status, fields);
}

void write_piece(duty_state& duty, const answer_piece& piece)
{
    const connection* to = find_connection(duty, piece.connection);
    if (to != nullptr && to->streaming)
        to->exchange->write(engine::to_caller_event(
            to->request.value, piece.event, piece.text));
}

void write_end(duty_state& duty, answer_end& end)
{
    if (find_connection(duty, end.connection) == nullptr)
        return;
    connection to = remove_connection(duty, end.connection);
    if (to.streaming)
    {
        to.exchange->write(engine::to_caller_end(
            to.request.value,
            end.finish_reason,
            end.prompt_tokens,
            end.answered_tokens));
        return to.exchange->end();
    }
    if (to.kind == upstream_kind::engine && to.status == http_ok)
    {
        to.content_type = "application/json";
        end.body = engine::to_caller_answer(
            to.request.value,
            end.body,
            end.finish_reason,
            end.prompt_tokens,
            end.answered_tokens);
    }
    to.exchange->answer(to.status, head_fields(to), std::move(end.body));
}

void write_error(duty_state& duty, const answer_error& error)
{
    if (find_connection(duty, error.connection) == nullptr)
        return;
    connection to = remove_connection(duty, error.connection);
    if (to.streaming)
    {
        to.exchange->write(
            "event: error\ndata: " + problem_document(error.error, error.run) +
            "\n\n");
        return to.exchange->end();
    }
    http_fields fields{{"Bergamotusher-Request-Id", error.request.value}};
    if (error.retry_after)
        fields.emplace_back(
            "Retry-After",
            std::to_string(
                std::chrono::ceil<std::chrono::seconds>(*error.retry_after)
                    .count()));
    answer_problem(*to.exchange, error.error, error.run, fields);
}

void write_redirect(duty_state& duty, const redirect_caller& moved)
{
    if (find_connection(duty, moved.connection) == nullptr)
        return;
    connection to = remove_connection(duty, moved.connection);
    const nlohmann::json location{
        {"request", moved.request.value},
        {"entry", duty.options.entry_address_of(moved.successor)}};
    if (to.streaming)
    {
        to.exchange->write("event: moved\ndata: " + location.dump() + "\n\n");
        return to.exchange->end();
    }
    to.exchange->answer(
        http_see_other,
        {{"Location",
          "http://" + duty.options.entry_address_of(moved.successor) +
              std::string(requests_path) + moved.request.value},
         {"Bergamotusher-Request-Id", moved.request.value},
         {"Content-Type", "application/json"}},
        location.dump());
}

} // namespace

callers_duty::callers_duty(
    boost::asio::io_context& loop,
    mailbox<serving_input>& serving,
    callers_options options)
    : state_(std::make_shared<state>(loop, serving, std::move(options)))
{
    state_->server = std::make_unique<http_server>(
        loop,
        state_->options.address,
        state_->options.limits,
        [duty = std::weak_ptr<state>(state_)](
            http_request&& request, const exchange_ptr& exchange)
        {
            if (const auto self = duty.lock())
                route_request(self, std::move(request), exchange);
        });
}

callers_duty::~callers_duty() = default;

void callers_duty::take(serving_action&& action)
{
    if (const auto* head = std::get_if<answer_head>(&action))
        write_head(*state_, *head);
    else if (const auto* piece = std::get_if<answer_piece>(&action))
        write_piece(*state_, *piece);
    else if (auto* end = std::get_if<answer_end>(&action))
        write_end(*state_, *end);
    else if (const auto* error = std::get_if<answer_error>(&action))
        write_error(*state_, *error);
    else if (const auto* moved = std::get_if<redirect_caller>(&action))
        write_redirect(*state_, *moved);
}

void callers_duty::apply_configuration(
    std::shared_ptr<const configuration> value)
{
    state_->config = std::move(value);
    state_->account_by_digest.clear();
    for (const auto& [name, owner] : state_->config->accounts)
        state_->account_by_digest[owner.key_digest] = name;
}

void callers_duty::stop_accepting()
{
    state_->server->stop_accepting();
}

const http_counters& callers_duty::http() const
{
    return state_->server->counters();
}

const callers_counters& callers_duty::counters() const
{
    return state_->counters;
}

} // namespace bergamotusher
