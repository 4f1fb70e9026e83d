#include "daemon/admin_duty.hpp"

#include "observe/timeline_query.hpp"

#include <nlohmann/json.hpp>
#include <openssl/crypto.h>

namespace bergamotusher
{

namespace
{

constexpr std::string_view bearer_prefix = "Bearer ";
constexpr std::string_view upstreams_path = "/v1/upstreams";
constexpr std::string_view events_suffix = "/events";
constexpr int first_error_status = 400;

using exchange_ptr = std::shared_ptr<http_exchange>;

} // namespace

struct admin_duty::state_data
{
    state_data(mailbox<upstream_message>& to_serving, admin_options o)
        : options(std::move(o)), serving(to_serving)
    {
    }

    admin_options options;
    mailbox<upstream_message>& serving;
    admin_counters counters;
    std::unique_ptr<http_server> server;
};

namespace
{

using duty_state = admin_duty::state_data;

bool has_bearer_token(const http_request& request, const std::string& token)
{
    const std::string field = request.header("authorization");
    const std::string expected = std::string(bearer_prefix) + token;
    return !token.empty() && field.size() == expected.size() &&
           CRYPTO_memcmp(field.data(), expected.data(), expected.size()) == 0;
}

void answer_json(http_exchange& exchange, int status, const std::string& body)
{
    exchange.answer(status, {{"Content-Type", "application/json"}}, body);
}

// Sends an upstream's message to the serving duty and answers with `status`;
// answers `overloaded` if that duty's queue is full.
void forward_to_serving(
    duty_state& duty,
    http_exchange& exchange,
    upstream_message message,
    int status)
{
    if (!duty.serving.push(std::move(message)))
        return answer_problem(exchange, {error_kind::overloaded, ""});
    answer_json(exchange, status, "{}");
}

void reject_malformed(
    duty_state& duty, http_exchange& exchange, const failure& error)
{
    ++duty.counters.bad_announcements;
    answer_problem(exchange, error);
}

void handle_announcement(
    duty_state& duty, const http_request& request, http_exchange& exchange)
{
    auto parsed = membership::parse_announcement(request.body);
    if (const auto* error = std::get_if<failure>(&parsed))
        return reject_malformed(duty, exchange, *error);
    ++duty.counters.announcements;
    forward_to_serving(
        duty, exchange, std::get<upstream>(std::move(parsed)), 200);
}

void handle_events(
    duty_state& duty,
    const http_request& request,
    const upstream_id& id,
    http_exchange& exchange)
{
    auto parsed = membership::parse_events(id, request.body);
    if (const auto* error = std::get_if<failure>(&parsed))
        return reject_malformed(duty, exchange, *error);
    forward_to_serving(
        duty,
        exchange,
        std::get<membership::upstream_events>(std::move(parsed)),
        200);
}

void reject_token(duty_state& duty, http_exchange& exchange)
{
    ++duty.counters.unauthenticated;
    answer_problem(
        exchange,
        {error_kind::unauthenticated, ""},
        run_claim::not_run,
        {{"WWW-Authenticate", "Bearer"}});
}

void handle_upstream(
    duty_state& duty, const http_request& request, http_exchange& exchange)
{
    if (!has_bearer_token(request, duty.options.upstream_token))
        return reject_token(duty, exchange);
    std::string rest = request.path().substr(upstreams_path.size());
    if (rest.empty() && request.method == "POST")
        return handle_announcement(duty, request, exchange);
    if (rest.size() < 2 || rest.front() != '/')
        return answer_problem(exchange, {error_kind::unknown_resource, rest});
    rest.erase(0, 1);
    if (request.method == "DELETE")
        return forward_to_serving(duty, exchange, upstream_left{{rest}}, 200);
    const std::size_t end =
        rest.size() - std::min(rest.size(), events_suffix.size());
    if (request.method == "POST" && rest.substr(end) == events_suffix)
        return handle_events(duty, request, {rest.substr(0, end)}, exchange);
    answer_problem(exchange, {error_kind::method_not_allowed, ""});
}

void answer_timeline(
    duty_state& duty, const http_request& request, http_exchange& exchange)
{
    const auto query = observe::parse_timeline_query(request.query_text());
    if (const auto* error = std::get_if<failure>(&query))
        return answer_problem(exchange, *error);
    const auto events =
        duty.options.timeline(std::get<observe::timeline_query>(query));
    answer_json(
        exchange,
        200,
        observe::encode_timeline(events).dump(
            -1, ' ', false, nlohmann::json::error_handler_t::replace));
}

// Answers a read from the data of this process alone, without consensus;
// false if the path is not one of these reads.
bool answer_read(
    duty_state& duty, const http_request& request, http_exchange& exchange)
{
    if (request.method != "GET")
        return false;
    const std::string path = request.path();
    if (path == "/v1/status")
        answer_json(exchange, 200, duty.options.status());
    else if (path == upstreams_path)
        answer_json(exchange, 200, duty.options.upstreams());
    else if (path == "/v1/timeline")
        answer_timeline(duty, request, exchange);
    else if (path == "/metrics")
        exchange.answer(
            200,
            {{"Content-Type", "text/plain; version=0.0.4"}},
            duty.options.metrics());
    else
        return false;
    return true;
}

void send_answer(http_exchange& exchange, state::operator_answer&& answer)
{
    http_fields fields{
        {"Content-Type",
         answer.status < first_error_status ? "application/json"
                                            : "application/problem+json"}};
    if (answer.revision > 0)
        fields.emplace_back("ETag", std::to_string(answer.revision));
    exchange.answer(answer.status, fields, std::move(answer.body));
}

void handle_operator_request(
    duty_state& duty, http_request&& request, const exchange_ptr& exchange)
{
    duty.options.operate(
        {request.method,
         request.path(),
         request.header("if-match"),
         request.header("idempotency-key"),
         std::move(request.body)},
        [exchange](state::operator_answer answer)
        { send_answer(*exchange, std::move(answer)); });
}

void handle_request(
    duty_state& duty, http_request&& request, const exchange_ptr& exchange)
{
    const std::string path = request.path();
    if (path == "/healthz")
        return answer_json(*exchange, 200, R"({"healthy":true})");
    if (path == "/readyz")
        return answer_json(
            *exchange,
            duty.options.ready() ? 200 : 503,
            duty.options.ready() ? R"({"ready":true})" : R"({"ready":false})");
    const bool from_upstream =
        path.rfind(upstreams_path, 0) == 0 && request.method != "GET";
    if (from_upstream)
        return handle_upstream(duty, request, *exchange);
    if (!has_bearer_token(request, duty.options.operator_token))
        return reject_token(duty, *exchange);
    if (answer_read(duty, request, *exchange))
        return;
    if (path.rfind("/v1/config", 0) == 0 || path.rfind("/v1/moves", 0) == 0)
        return handle_operator_request(duty, std::move(request), exchange);
    answer_problem(*exchange, {error_kind::unknown_resource, path});
}

} // namespace

admin_duty::admin_duty(
    boost::asio::io_context& loop,
    mailbox<upstream_message>& serving,
    admin_options options)
    : state_(std::make_shared<state_data>(serving, std::move(options)))
{
    state_->server = std::make_unique<http_server>(
        loop,
        state_->options.address,
        state_->options.limits,
        [duty = std::weak_ptr<state_data>(state_)](
            http_request&& request, const exchange_ptr& exchange)
        {
            if (const auto self = duty.lock())
                handle_request(*self, std::move(request), exchange);
        });
}

admin_duty::~admin_duty() = default;

const http_counters& admin_duty::http() const
{
    return state_->server->counters();
}

const admin_counters& admin_duty::counters() const
{
    return state_->counters;
}

} // namespace bergamotusher
