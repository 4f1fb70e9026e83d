#include "wire/serving_codec.hpp"

#include "wire/serving.pb.h"

#include <limits>

namespace bergamotusher::wire
{

namespace
{

failure make_failure(const char* detail)
{
    return {error_kind::malformed_message, detail};
}

/// Parses `bytes`; false if they are malformed or too long for protobuf.
template<class Message>
bool parse(Message& message, std::string_view bytes)
{
    return bytes.size() <= std::numeric_limits<int>::max() &&
           message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
}

void write(const caller_request& request, hand_over_request& to)
{
    to.set_request(request.id.value);
    to.set_account(request.account.value);
    to.set_service(request.service.value);
    to.set_kind(static_cast<std::uint32_t>(request.kind));
    to.set_wanted_class(request.wanted_class.value);
    to.set_method(request.method);
    to.set_path(request.path);
    to.set_content_type(request.content_type);
    to.set_body(request.body);
    to.set_stream(request.stream);
    to.set_idempotency_key(request.idempotency_key);
    if (request.repeatable)
        to.set_repeatable(*request.repeatable);
}

caller_request read_request(const hand_over_request& from)
{
    caller_request request;
    request.id = {from.request()};
    request.account = {from.account()};
    request.service = {from.service()};
    request.kind =
        from.kind() == 0 ? upstream_kind::engine : upstream_kind::plain;
    request.wanted_class = {from.wanted_class()};
    request.method = from.method();
    request.path = from.path();
    request.content_type = from.content_type();
    request.body = from.body();
    request.stream = from.stream();
    request.idempotency_key = from.idempotency_key();
    if (from.has_repeatable())
        request.repeatable = from.repeatable();
    return request;
}

/// Splits the delivered text into its pieces; false if the offsets are not
/// ascending or the last one is not the end of the text.
bool read_pieces(
    const hand_over_request& from, std::vector<std::string>& pieces)
{
    const std::string& text = from.delivered();
    std::uint32_t begin = 0;
    pieces.reserve(static_cast<std::size_t>(from.piece_ends_size()));
    for (const std::uint32_t end : from.piece_ends())
    {
        if (end < begin || end > text.size())
            return false;
        pieces.push_back(text.substr(begin, end - begin));
        begin = end;
    }
    return begin == text.size();
}

} // namespace

std::string encode(const request_handed_over& state)
{
    hand_over_request message;
    write(state.request, message);
    std::string text;
    for (const std::string& piece : state.delivered)
    {
        text += piece;
        message.add_piece_ends(static_cast<std::uint32_t>(text.size()));
    }
    message.set_delivered(std::move(text));
    message.set_time_left_us(state.time_left.count());
    message.set_version(state.version.value);
    message.set_failed_attempts(state.failed_attempts);
    return message.SerializeAsString();
}

std::variant<request_handed_over, failure>
decode_handed_over(std::string_view bytes, const node_id& from)
{
    hand_over_request message;
    if (!parse(message, bytes))
        return make_failure("hand-over: cannot be read");
    if (message.request().empty() || message.account().empty())
        return make_failure("hand-over: no request or no account");
    if (message.kind() > static_cast<std::uint32_t>(upstream_kind::plain))
        return make_failure("hand-over: unknown kind");
    request_handed_over state;
    state.request = read_request(message);
    if (!read_pieces(message, state.delivered))
        return make_failure("hand-over: pieces do not fit the text");
    state.time_left = duration{message.time_left_us()};
    state.from = from;
    state.version = {message.version()};
    state.failed_attempts = message.failed_attempts();
    return state;
}

std::string encode(const bergamotusher::hand_over_reply& reply)
{
    hand_over_answer message;
    message.set_request(reply.request.value);
    message.set_taken(reply.taken);
    return message.SerializeAsString();
}

std::variant<hand_over_answered, failure>
decode_hand_over_answered(std::string_view bytes)
{
    hand_over_answer message;
    if (!parse(message, bytes) || message.request().empty())
        return make_failure("hand-over answer: cannot be read");
    return hand_over_answered{{message.request()}, message.taken()};
}

std::string encode(const report_crash& report)
{
    crash_notice message;
    message.set_fingerprint(report.fingerprint);
    message.set_upstream(report.target.value);
    message.set_failure_domain(report.domain.value);
    message.set_acknowledge(true);
    return message.SerializeAsString();
}

std::variant<crash_reported, failure>
decode_crash_reported(std::string_view bytes, const node_id& from)
{
    crash_notice message;
    if (!parse(message, bytes) || message.fingerprint().empty() ||
        message.upstream().empty())
        return make_failure("crash notice: cannot be read");
    return crash_reported{
        message.fingerprint(),
        {message.upstream()},
        {message.failure_domain()},
        message.acknowledge() ? from : node_id{}};
}

std::string encode(const acknowledge_crash& reply)
{
    crash_acknowledgement message;
    message.set_fingerprint(reply.fingerprint);
    message.set_upstream(reply.target.value);
    return message.SerializeAsString();
}

std::variant<bergamotusher::crash_acknowledged, failure>
decode_crash_acknowledged(std::string_view bytes, const node_id& from)
{
    crash_acknowledgement message;
    if (!parse(message, bytes) || message.fingerprint().empty() ||
        message.upstream().empty())
        return make_failure("crash acknowledgement: cannot be read");
    return bergamotusher::crash_acknowledged{
        from, message.fingerprint(), {message.upstream()}};
}

} // namespace bergamotusher::wire
