#include "membership/announcement.hpp"

#include <boost/asio/ip/address.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <stdexcept>
#include <string>

namespace bergamotusher::membership
{

namespace
{

using nlohmann::json;

/// Thrown by the functions below for an invalid field; `parse_or_failure` turns
/// it into a `failure`.
struct field_error : std::runtime_error
{
    field_error(const std::string& field, const std::string& reason)
        : std::runtime_error(field + ": " + reason)
    {
    }
};

const json& require_field(const json& object, const char* field)
{
    const auto found = object.find(field);
    if (found == object.end())
        throw field_error(field, "is missing");
    return *found;
}

std::string read_name(const json& object, const char* field)
{
    const json& value = require_field(object, field);
    if (!value.is_string())
        throw field_error(field, "is not a string");
    auto text = value.get<std::string>();
    if (text.empty() || text.size() > max_name_length)
        throw field_error(field, "is empty or longer than 128 bytes");
    const bool printable = std::all_of(
        text.begin(), text.end(), [](char c) { return c > ' ' && c < '\x7f'; });
    if (!printable)
        throw field_error(field, "holds a byte that is not printable ASCII");
    return text;
}

double read_number(const json& object, const char* field, double max)
{
    const json& value = require_field(object, field);
    if (!value.is_number())
        throw field_error(field, "is not a number");
    const auto number = value.get<double>();
    if (!std::isfinite(number) || number < 0 || number > max)
        throw field_error(field, "is not between 0 and " + json(max).dump());
    return number;
}

std::uint64_t read_count(const json& object, const char* field)
{
    const json& value = require_field(object, field);
    if (!value.is_number_unsigned())
        throw field_error(field, "is not a whole number from 0");
    return value.get<std::uint64_t>();
}

std::uint32_t
read_count_up_to(const json& object, const char* field, std::uint32_t max)
{
    const std::uint64_t count = read_count(object, field);
    if (count > max)
        throw field_error(field, "is more than " + std::to_string(max));
    return static_cast<std::uint32_t>(count);
}

bool read_bool(const json& object, const char* field)
{
    if (!object.contains(field))
        return false;
    const json& value = object.at(field);
    if (!value.is_boolean())
        throw field_error(field, "is neither true nor false");
    return value.get<bool>();
}

template<class E>
E read_enum(const json& object, const char* field)
{
    const std::string name = read_name(object, field);
    const auto value = from_name<E>(name);
    if (!value)
        throw field_error(field, "has the unknown value " + name);
    return *value;
}

std::string read_address(const json& object, const char* field)
{
    std::string text = read_name(object, field);
    if (!is_ip_and_port(text))
        throw field_error(field, "is not IP:PORT");
    return text;
}

std::uint64_t read_block(const json& value, const char* field)
{
    if (!value.is_string())
        throw field_error(field, "holds a hash that is not a string");
    const auto& text = value.get_ref<const std::string&>();
    std::uint64_t hash = 0;
    const char* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, hash);
    if (error != std::errc{} || stop != end)
        throw field_error(field, "holds a hash that is not a 64-bit number");
    return hash;
}

std::vector<std::uint64_t> read_blocks(const json& object, const char* field)
{
    std::vector<std::uint64_t> blocks;
    if (!object.contains(field))
        return blocks;
    const json& value = object.at(field);
    if (!value.is_array())
        throw field_error(field, "is not an array");
    if (value.size() > max_cache_blocks)
        throw field_error(
            field,
            "has more than " + std::to_string(max_cache_blocks) + " hashes");
    blocks.reserve(value.size());
    for (const json& item : value)
        blocks.push_back(read_block(item, field));
    return blocks;
}

json parse_object(std::string_view text)
{
    json value = json::parse(text, nullptr, false);
    if (!value.is_object())
        throw field_error("body", "is not a JSON object");
    return value;
}

upstream read_announcement(const json& body)
{
    upstream value;
    value.id = {read_name(body, "instance")};
    value.incarnation = read_count(body, "incarnation");
    value.kind = read_enum<upstream_kind>(body, "kind");
    value.service = {read_name(body, "service")};
    value.version = {read_name(body, "version")};
    value.address = read_address(body, "address");
    value.domain = {read_name(body, "failure_domain")};
    value.instance_class = read_name(body, "instance_class");
    value.paid_as = read_enum<market>(body, "market");
    value.price_per_hour =
        read_number(body, "price_per_hour", max_price_per_hour);
    value.slots = read_count_up_to(body, "slots", max_slots);
    if (value.slots == 0)
        throw field_error("slots", "is 0");
    value.honours_fencing = read_bool(body, "honours_fencing");
    return value;
}

load_report read_load(const upstream_id& id, const json& body)
{
    load_report load;
    load.id = id;
    load.sequence = read_count(body, "sequence");
    load.running = read_count_up_to(body, "running", max_reported_requests);
    load.queued = read_count_up_to(body, "queued", max_reported_requests);
    load.cache_used = read_number(body, "cache_used", 1);
    load.tokens_per_second =
        read_number(body, "tokens_per_second", max_tokens_per_second);
    return load;
}

cache_events read_cache(const upstream_id& id, const json& body)
{
    cache_events events;
    events.id = id;
    events.sequence = read_count(body, "sequence");
    events.stored = read_blocks(body, "stored");
    events.removed = read_blocks(body, "removed");
    events.cleared = read_bool(body, "cleared");
    return events;
}

const json* find_object(const json& body, const char* field)
{
    if (!body.contains(field))
        return nullptr;
    const json& part = body.at(field);
    if (!part.is_object())
        throw field_error(field, "is not an object");
    return &part;
}

upstream_events read_events(const upstream_id& id, const json& body)
{
    upstream_events events;
    if (const json* part = find_object(body, "load"))
        events.load = read_load(id, *part);
    if (const json* part = find_object(body, "cache"))
        events.cache = read_cache(id, *part);
    return events;
}

/// Calls `read` and converts an exception that it throws into a `failure`.
template<class T, class Read>
std::variant<T, failure> parse_or_failure(Read read)
{
    try
    {
        return read();
    }
    catch (const std::runtime_error& error)
    {
        return failure{error_kind::malformed_request, error.what()};
    }
}

} // namespace

bool is_ip_and_port(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return false;
    std::string host(text.substr(0, colon));
    const bool bracketed =
        host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed)
        host = host.substr(1, host.size() - 2);
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(host, error);
    if (error || address.is_v6() != bracketed)
        return false;
    const std::string_view digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const char* end = digits.data() + digits.size();
    const auto [stop, bad] = std::from_chars(digits.data(), end, port);
    return bad == std::errc{} && stop == end && port != 0;
}

std::variant<upstream, failure> parse_announcement(std::string_view json)
{
    return parse_or_failure<upstream>(
        [&] { return read_announcement(parse_object(json)); });
}

std::variant<upstream_events, failure>
parse_events(const upstream_id& id, std::string_view json)
{
    return parse_or_failure<upstream_events>(
        [&] { return read_events(id, parse_object(json)); });
}

} // namespace bergamotusher::membership
