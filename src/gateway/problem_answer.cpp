#include "gateway/problem_answer.hpp"

#include "daemon/http_server.hpp"

#include <cstdio>

namespace bergamotusher::gateway
{

namespace
{

void append_status(std::string& out, int status, std::string_view reason)
{
    out.append("HTTP/1.1 ").append(std::to_string(status)).append(" ");
    out.append(reason.empty() ? reason_phrase(status) : reason);
    out.append("\r\n");
}

std::string format_seconds(duration span)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.2f", to_seconds(span));
    return text.data();
}

} // namespace

void append_answer_head(
    std::string& out,
    int status,
    std::string_view reason,
    const header_fields& fields,
    std::optional<std::size_t> length,
    bool closes)
{
    append_status(out, status, reason);
    const std::string* connection = find_field(fields, "Connection");
    const std::string_view connection_fields =
        connection == nullptr ? std::string_view{} : *connection;
    for (const header_field& field : fields)
        if (!is_hop_by_hop(field.name, connection_fields))
            append_field(out, field.name, field.value);
    if (length)
        append_field(out, "Content-Length", std::to_string(*length));
    if (closes)
        append_field(out, "Connection", "close");
}

void append_problem(
    std::string& out,
    const failure& error,
    std::optional<duration> retry_after,
    const std::function<void(std::string&)>& add_fields,
    bool closes)
{
    const error_answer& answer = error_answer_for(error.kind);
    const std::string body = problem_document(error, answer.run);
    append_status(out, answer.http_status, {});
    append_field(out, "Content-Type", "application/problem+json");
    append_field(out, "Content-Length", std::to_string(body.size()));
    if (retry_after)
        append_field(out, "Retry-After", format_seconds(*retry_after));
    if (add_fields)
        add_fields(out);
    if (closes)
        append_field(out, "Connection", "close");
    out.append("\r\n").append(body);
}

} // namespace bergamotusher::gateway
