#include "site/site_codec.hpp"

#include <algorithm>
#include <cmath>

namespace bergamotusher::site
{

namespace
{

/// How far ahead another node's clock may be.
constexpr std::int64_t max_clock_lead_ms = 1000;

} // namespace

namespace pb = wire::site;

void write(pb::move_value& to, const version_move& from)
{
    to.set_service(from.service.value);
    to.set_target(from.target.value);
    to.set_state(static_cast<std::uint32_t>(from.state));
    to.set_started_ms(from.started_ms);
    to.set_duration_ms(from.duration_ms);
    to.set_number(from.number);
    to.set_share(from.share);
    to.set_reason(from.reason);
    for (const version_name& each : from.rejected)
        to.add_rejected(each.value);
    to.set_accepted(from.accepted.value);
}

version_move read(const pb::move_value& from)
{
    version_move to{
        {from.service()},
        {from.target()},
        static_cast<move_state>(from.state()),
        from.started_ms(),
        from.duration_ms(),
        from.number(),
        from.share(),
        from.reason()};
    for (const std::string& each : from.rejected())
        to.rejected.push_back({each});
    to.accepted.value = from.accepted();
    return to;
}

void write(pb::prefill_speed_value& to, const routing::prefill_speed& from)
{
    to.set_tokens_per_ms(from.tokens_per_ms);
    to.set_fixed_ms(from.fixed_ms);
    to.set_samples(from.samples);
}

routing::prefill_speed read(const pb::prefill_speed_value& from)
{
    routing::prefill_speed to;
    to.tokens_per_ms = from.tokens_per_ms();
    to.fixed_ms = from.fixed_ms();
    to.samples = from.samples();
    return to;
}

void write(pb::upstream_value& to, const upstream& from)
{
    to.set_id(from.id.value);
    to.set_service(from.service.value);
    to.set_address(from.address);
    to.set_domain(from.domain.value);
    to.set_version(from.version.value);
    to.set_slots(from.slots);
    to.set_state(static_cast<std::uint32_t>(from.state));
    to.set_cold_ms(static_cast<std::uint32_t>(from.warm_up / 1ms));
    to.set_started_ms(from.started_ms);
    to.set_sequence(from.sequence);
    to.set_reclaimable(from.reclaimable);
    to.set_leaves_in_ms(static_cast<std::uint32_t>(from.leaves_in / 1ms));
}

std::optional<upstream> read(const pb::upstream_value& from)
{
    if (from.state() > static_cast<std::uint32_t>(upstream_state::gone))
        return std::nullopt;
    upstream to;
    to.id.value = from.id();
    to.service.value = from.service();
    to.address = from.address();
    to.domain.value = from.domain();
    to.version.value = from.version();
    to.slots = from.slots();
    to.state = static_cast<upstream_state>(from.state());
    to.warm_up = std::chrono::milliseconds(from.cold_ms());
    to.started_ms = from.started_ms();
    to.sequence = from.sequence();
    to.reclaimable = from.reclaimable();
    to.leaves_in = std::chrono::milliseconds(from.leaves_in_ms());
    return to;
}

void write(pb::stated_limit& to, const stated_limit& from)
{
    to.set_upstream(from.upstream.value);
    to.set_started_ms(from.started_ms);
    to.set_requests_per_s(from.requests_per_s.value_or(0));
    to.set_is_withdrawn(!from.requests_per_s);
    to.set_read_at_ms(from.read_at_ms);
}

std::optional<stated_limit> read(const pb::stated_limit& from)
{
    const double rate = from.requests_per_s();
    if (!std::isfinite(rate) || rate < 0)
        return std::nullopt;
    stated_limit to{
        {from.upstream()}, from.started_ms(), rate, from.read_at_ms()};
    if (from.is_withdrawn())
        to.requests_per_s.reset();
    return to;
}

std::vector<stated_limit> read_limits(
    const google::protobuf::RepeatedPtrField<pb::stated_limit>& from,
    std::int64_t now_ms)
{
    std::vector<stated_limit> result;
    for (const pb::stated_limit& each : from)
    {
        std::optional<stated_limit> value = read(each);
        if (!value)
            continue;
        value->read_at_ms =
            std::min(value->read_at_ms, now_ms + max_clock_lead_ms);
        result.push_back(std::move(*value));
    }
    return result;
}

void write(pb::account_amount& to, const account_id& account, double amount)
{
    to.set_account(account.value);
    to.set_amount(amount);
}

admission::account_amounts
read_amounts(const google::protobuf::RepeatedPtrField<pb::account_amount>& from)
{
    admission::account_amounts amounts;
    for (const pb::account_amount& each : from)
        amounts[{each.account()}] = each.amount();
    return amounts;
}

evacuations read_evacuations(
    const google::protobuf::RepeatedPtrField<std::string>& domains,
    std::uint64_t revision)
{
    evacuations to;
    to.revision = revision;
    for (const std::string& each : domains)
        to.domains.insert({each});
    return to;
}

std::string encode_directory(const directory_message& message)
{
    pb::directory_news encoded;
    for (const forwarded_announcement& each : message.upstreams)
    {
        pb::upstream_value& value = *encoded.add_upstreams();
        write(value, each.value);
        value.set_age_ms(static_cast<std::uint32_t>(each.age / 1ms));
    }
    encoded.set_digest(message.digest);
    encoded.set_is_complete(message.is_complete);
    encoded.set_is_settled(message.is_settled);
    return encoded.SerializeAsString();
}

std::optional<directory_message> decode_directory(std::string_view bytes)
{
    pb::directory_news encoded;
    if (!encoded.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return std::nullopt;
    directory_message message;
    message.digest = encoded.digest();
    message.is_complete = encoded.is_complete();
    message.is_settled = encoded.is_settled();
    for (const pb::upstream_value& each : encoded.upstreams())
        if (auto value = read(each))
            message.upstreams.push_back(
                {std::move(*value), std::chrono::milliseconds(each.age_ms())});
    return message;
}

directory_message
whole_directory(const upstream_directory& directory, time_point now)
{
    directory_message message;
    message.digest = directory.digest;
    message.upstreams.reserve(directory.upstreams.size());
    for (const auto& [id, each] : directory.upstreams)
        message.upstreams.push_back(
            {each.value, std::max(now - each.heard_at, duration{})});
    return message;
}

void write(
    wire::site::subject_state& to,
    const admission::subject_since& from,
    time_point now)
{
    to.set_subject(from.subject);
    to.set_age_us((now - from.at).count());
    to.set_deaths(from.deaths);
}

admission::subject_since
read(const wire::site::subject_state& from, time_point now)
{
    return {from.subject(), now - duration(from.age_us()), from.deaths()};
}

} // namespace bergamotusher::site
