#include "gateway/http_message.hpp"

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace bergamotusher::gateway
{

namespace
{

namespace http = boost::beast::http;

std::string_view trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

bool contains_status_line(std::string_view text)
{
    // A digit stands for any digit.
    constexpr std::string_view pattern = "HTTP/1.1 000";
    const auto matches = [](char c, char expected)
    {
        return std::isdigit(static_cast<unsigned char>(expected)) != 0
                   ? std::isdigit(static_cast<unsigned char>(c)) != 0
                   : c == expected;
    };
    return std::search(
               text.begin(),
               text.end(),
               pattern.begin(),
               pattern.end(),
               matches) != text.end();
}

template<class Parser>
parse_outcome feed_parser(
    Parser& parser, std::string& buffer, boost::beast::error_code& error)
{
    std::size_t consumed = 0;
    error = {};
    while (!parser.is_done())
    {
        const std::size_t parsed = parser.put(
            boost::asio::const_buffer(
                buffer.data() + consumed, buffer.size() - consumed),
            error);
        consumed += parsed;
        if (error == http::error::need_more)
        {
            error = {};
            break;
        }
        if (error)
        {
            buffer.erase(0, consumed);
            return parse_outcome::malformed;
        }
        if (parsed == 0 || consumed == buffer.size())
            break;
    }
    buffer.erase(0, consumed);
    return parser.is_done() ? parse_outcome::done : parse_outcome::needs_more;
}

} // namespace

bool equals_ignoring_case(std::string_view a, std::string_view b)
{
    const auto lower = [](char c)
    {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    };
    return a.size() == b.size() &&
           std::equal(
               a.begin(),
               a.end(),
               b.begin(),
               [&](char x, char y) { return lower(x) == lower(y); });
}

const std::string*
find_field(const header_fields& fields, std::string_view name)
{
    for (const header_field& each : fields)
        if (equals_ignoring_case(each.name, name))
            return &each.value;
    return nullptr;
}

std::size_t count_fields(const header_fields& fields, std::string_view name)
{
    return static_cast<std::size_t>(std::count_if(
        fields.begin(),
        fields.end(),
        [&](const header_field& each)
        { return equals_ignoring_case(each.name, name); }));
}

bool lists_token(std::string_view value, std::string_view token)
{
    while (!value.empty())
    {
        const auto comma = value.find(',');
        if (equals_ignoring_case(trimmed(value.substr(0, comma)), token))
            return true;
        if (comma == std::string_view::npos)
            return false;
        value.remove_prefix(comma + 1);
    }
    return false;
}

bool is_hop_by_hop(std::string_view name, std::string_view connection)
{
    static constexpr std::array<std::string_view, 10> names{
        "Connection",
        "Keep-Alive",
        "Proxy-Connection",
        "Proxy-Authenticate",
        "Proxy-Authorization",
        "TE",
        "Trailer",
        "Transfer-Encoding",
        "Content-Length",
        "Upgrade"};
    return std::any_of(
               names.begin(),
               names.end(),
               [&](std::string_view each)
               { return equals_ignoring_case(each, name); }) ||
           (!connection.empty() && lists_token(connection, name));
}

std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t value = 0;
    const char* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc() || stop != end || text.empty())
        return std::nullopt;
    return value;
}

void request_parser::on_request_impl(
    http::verb, string_view method_text, string_view target, int, error_code&)
{
    message.method.assign(method_text.data(), method_text.size());
    message.target.assign(target.data(), target.size());
}

void request_parser::on_response_impl(int, string_view, int, error_code&) {}

void request_parser::on_field_impl(
    http::field, string_view name_text, string_view value, error_code&)
{
    // Trailer fields are dropped; none of them needs to be forwarded.
    if (!has_header)
        message.fields.push_back(
            {std::string(name_text.data(), name_text.size()),
             std::string(value.data(), value.size())});
}

void request_parser::on_header_impl(error_code&)
{
    has_header = true;
    message.keep_alive = keep_alive();
}

void request_parser::on_body_init_impl(
    const boost::optional<std::uint64_t>&, error_code&)
{
}

std::size_t request_parser::on_body_impl(string_view body, error_code&)
{
    message.body.append(body.data(), body.size());
    return body.size();
}

void request_parser::on_chunk_header_impl(
    std::uint64_t, string_view, error_code&)
{
}

std::size_t
request_parser::on_chunk_body_impl(std::uint64_t, string_view body, error_code&)
{
    message.body.append(body.data(), body.size());
    return body.size();
}

void request_parser::on_finish_impl(error_code&) {}

void answer_parser::on_request_impl(
    http::verb, string_view, string_view, int, error_code&)
{
}

void answer_parser::on_response_impl(
    int code, string_view reason_text, int, error_code&)
{
    status = code;
    reason.assign(reason_text.data(), reason_text.size());
}

void answer_parser::on_field_impl(
    http::field, string_view name_text, string_view value, error_code&)
{
    if (!has_header)
        fields.push_back(
            {std::string(name_text.data(), name_text.size()),
             std::string(value.data(), value.size())});
}

void answer_parser::on_header_impl(error_code&)
{
    has_header = true;
}

void answer_parser::on_body_init_impl(
    const boost::optional<std::uint64_t>&, error_code&)
{
}

std::size_t answer_parser::on_body_impl(string_view piece, error_code&)
{
    body.append(piece.data(), piece.size());
    return piece.size();
}

void answer_parser::on_chunk_header_impl(
    std::uint64_t, string_view, error_code&)
{
}

std::size_t
answer_parser::on_chunk_body_impl(std::uint64_t, string_view piece, error_code&)
{
    body.append(piece.data(), piece.size());
    return piece.size();
}

void answer_parser::on_finish_impl(error_code&) {}

parse_outcome feed(
    request_parser& parser,
    std::string& buffer,
    boost::beast::error_code& error)
{
    return feed_parser(parser, buffer, error);
}

parse_outcome feed(
    answer_parser& parser, std::string& buffer, boost::beast::error_code& error)
{
    return feed_parser(parser, buffer, error);
}

const char* find_head_fault(const answer_parser& answer)
{
    // The field is not forwarded, so the body would be passed on in a coding
    // that its receiver is not told about.
    for (const header_field& each : answer.fields)
        if (equals_ignoring_case(each.name, "Transfer-Encoding") &&
            !equals_ignoring_case(each.value, "chunked"))
            return "the transfer coding is not chunked";
    // Where an upstream broke off a head and began another one, the status is
    // of the first and the rest of the second.
    if (contains_status_line(answer.reason) ||
        std::any_of(
            answer.fields.begin(),
            answer.fields.end(),
            [](const header_field& each)
            { return contains_status_line(each.value); }))
        return "another head begins inside the head";
    return nullptr;
}

void append_field(
    std::string& out, std::string_view name, std::string_view value)
{
    out.append(name).append(": ").append(value).append("\r\n");
}

void append_chunk(std::string& out, std::string_view data)
{
    if (data.empty())
        return;
    constexpr int hexadecimal = 16;
    std::array<char, 2 * sizeof(std::size_t)> digits{};
    const auto end = std::to_chars(
        digits.data(), digits.data() + digits.size(), data.size(), hexadecimal);
    out.append(digits.data(), end.ptr).append("\r\n");
    out.append(data).append("\r\n");
}

std::string_view reason_phrase(int status)
{
    const auto phrase = http::obsolete_reason(
        http::int_to_status(static_cast<unsigned>(status)));
    return {phrase.data(), phrase.size()};
}

} // namespace bergamotusher::gateway
