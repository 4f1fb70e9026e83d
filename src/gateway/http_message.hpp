// HTTP/1.1 messages as an entry forwards them: header fields keep their order,
// spelling and duplicates.
#pragma once

#include <boost/beast/http/basic_parser.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bergamotusher::gateway
{

struct header_field
{
    std::string name;
    std::string value;
};

using header_fields = std::vector<header_field>;

/// Compares ASCII text without regard to case.
bool equals_ignoring_case(std::string_view a, std::string_view b);

/// The value of the first field named `name`; null if there is none.
const std::string*
find_field(const header_fields& fields, std::string_view name);

/// The number of fields named `name`.
std::size_t count_fields(const header_fields& fields, std::string_view name);

/// Whether the comma-separated list in `value` contains `token`, ignoring case.
bool lists_token(std::string_view value, std::string_view token);

/// Whether the field `name` applies to a single connection and must not be
/// forwarded. `connection` is the value of the message's Connection field,
/// which can name further fields.
bool is_hop_by_hop(std::string_view name, std::string_view connection);

/// Parses all of `text` as an unsigned decimal number.
std::optional<std::uint64_t> parse_number(std::string_view text);

/// A complete request.
struct request_message
{
    std::string method;
    /// Path and query, as sent.
    std::string target;
    header_fields fields;
    std::string body;
    bool keep_alive = true;
};

/// Parses one request.
class request_parser : public boost::beast::http::basic_parser<true>
{
public:
    request_message message;
    /// The header is complete.
    bool has_header = false;

private:
    using error_code = boost::beast::error_code;
    using string_view = boost::beast::string_view;

    void on_request_impl(
        boost::beast::http::verb method,
        string_view method_text,
        string_view target,
        int version,
        error_code& error) override;
    void on_response_impl(int, string_view, int, error_code&) override;
    void on_field_impl(
        boost::beast::http::field name,
        string_view name_text,
        string_view value,
        error_code& error) override;
    void on_header_impl(error_code& error) override;
    void on_body_init_impl(
        const boost::optional<std::uint64_t>& length,
        error_code& error) override;
    std::size_t on_body_impl(string_view body, error_code& error) override;
    void on_chunk_header_impl(
        std::uint64_t size, string_view extensions, error_code& error) override;
    std::size_t on_chunk_body_impl(
        std::uint64_t left, string_view body, error_code& error) override;
    void on_finish_impl(error_code& error) override;
};

/// Parses one answer; the owner removes the body bytes from `body` as they
/// arrive.
class answer_parser : public boost::beast::http::basic_parser<false>
{
public:
    int status = 0;
    std::string reason;
    header_fields fields;
    std::string body;
    bool has_header = false;

private:
    using error_code = boost::beast::error_code;
    using string_view = boost::beast::string_view;

    void on_request_impl(
        boost::beast::http::verb,
        string_view,
        string_view,
        int,
        error_code&) override;
    void on_response_impl(
        int code,
        string_view reason_text,
        int version,
        error_code& error) override;
    void on_field_impl(
        boost::beast::http::field name,
        string_view name_text,
        string_view value,
        error_code& error) override;
    void on_header_impl(error_code& error) override;
    void on_body_init_impl(
        const boost::optional<std::uint64_t>& length,
        error_code& error) override;
    std::size_t on_body_impl(string_view body, error_code& error) override;
    void on_chunk_header_impl(
        std::uint64_t size, string_view extensions, error_code& error) override;
    std::size_t on_chunk_body_impl(
        std::uint64_t left, string_view body, error_code& error) override;
    void on_finish_impl(error_code& error) override;
};

/// Result of feeding bytes to a parser.
enum class parse_outcome
{
    needs_more,
    done,
    malformed
};

/// Feeds `buffer` to `parser` until the message ends or more bytes are needed,
/// and removes the bytes used from `buffer`. `error` states why the message is
/// malformed.
parse_outcome feed(
    request_parser& parser,
    std::string& buffer,
    boost::beast::error_code& error);
parse_outcome feed(
    answer_parser& parser,
    std::string& buffer,
    boost::beast::error_code& error);

/// Why the head of an answer cannot be relied on; null if it can.
const char* find_head_fault(const answer_parser& answer);

/// Appends "name: value" and the line end.
void append_field(
    std::string& out, std::string_view name, std::string_view value);

/// Appends `data` as one chunk of a chunked body; nothing if it is empty.
void append_chunk(std::string& out, std::string_view data);

/// The standard reason phrase of a status code.
std::string_view reason_phrase(int status);

} // namespace bergamotusher::gateway
