#include "wire/directory_codec.hpp"

#include "wire/directory.pb.h"

#include <limits>

namespace bergamotusher::wire
{

namespace
{

using delta_message = directory_delta;
using record_message = directory_record;
using delta_value = membership::directory_delta;

void write(const membership::directory_record& record, record_message& to)
{
    const upstream& value = record.value;
    to.set_id(value.id.value);
    to.set_incarnation(value.incarnation);
    to.set_kind(static_cast<std::uint32_t>(value.kind));
    to.set_service(value.service.value);
    to.set_version(value.version.value);
    to.set_address(value.address);
    to.set_failure_domain(value.domain.value);
    to.set_instance_class(value.instance_class);
    to.set_market(static_cast<std::uint32_t>(value.paid_as));
    to.set_price_per_hour(value.price_per_hour);
    to.set_slots(value.slots);
    to.set_honours_fencing(value.honours_fencing);
    to.set_state(static_cast<std::uint32_t>(value.state));
    to.set_revision(record.revision);
    to.set_age_us(record.age.count());
    if (record.reclaim_in)
        to.set_reclaim_in_us(record.reclaim_in->count());
}

/// Sets `value` to the enumerator with this number; false if there is none.
template<class E>
bool read_enum(std::uint32_t number, E& value)
{
    for (const auto& row : enum_names(E{}))
        if (static_cast<std::uint32_t>(row.value) == number)
        {
            value = row.value;
            return true;
        }
    return false;
}

bool read(const record_message& from, membership::directory_record& record)
{
    upstream& value = record.value;
    value.id = {from.id()};
    value.incarnation = from.incarnation();
    value.service = {from.service()};
    value.version = {from.version()};
    value.address = from.address();
    value.domain = {from.failure_domain()};
    value.instance_class = from.instance_class();
    value.price_per_hour = from.price_per_hour();
    value.slots = from.slots();
    value.honours_fencing = from.honours_fencing();
    record.revision = from.revision();
    record.age = duration{from.age_us()};
    if (from.has_reclaim_in_us())
        record.reclaim_in = duration{from.reclaim_in_us()};
    return !value.id.empty() && value.slots != 0 &&
           read_enum(from.kind(), value.kind) &&
           read_enum(from.market(), value.paid_as) &&
           read_enum(from.state(), value.state);
}

load_report read(const directory_load& from)
{
    return {
        {from.id()},
        from.sequence(),
        from.running(),
        from.queued(),
        from.cache_used(),
        from.tokens_per_second()};
}

cache_events read(const directory_cache_events& from)
{
    return {
        {from.id()},
        from.sequence(),
        {from.stored().begin(), from.stored().end()},
        {from.removed().begin(), from.removed().end()},
        from.cleared()};
}

void write(const load_report& load, directory_load& to)
{
    to.set_id(load.id.value);
    to.set_sequence(load.sequence);
    to.set_running(load.running);
    to.set_queued(load.queued);
    to.set_cache_used(load.cache_used);
    to.set_tokens_per_second(load.tokens_per_second);
}

void write(const cache_events& events, directory_cache_events& to)
{
    to.set_id(events.id.value);
    to.set_sequence(events.sequence);
    to.mutable_stored()->Add(events.stored.begin(), events.stored.end());
    to.mutable_removed()->Add(events.removed.begin(), events.removed.end());
    to.set_cleared(events.cleared);
}

/// Whether a time is small enough that later additions cannot overflow. Only a
/// faulty or hostile sender exceeds the limit.
bool is_plausible(std::int64_t microseconds)
{
    constexpr std::int64_t limit = std::numeric_limits<std::int64_t>::max() / 8;
    return microseconds > -limit && microseconds < limit;
}

bool is_plausible(const delta_message& from)
{
    for (const record_message& record : from.records())
        if (!is_plausible(record.age_us()) ||
            !is_plausible(record.reclaim_in_us()))
            return false;
    for (const directory_renewal& renewal : from.renewals())
        if (!is_plausible(renewal.age_us()))
            return false;
    return is_plausible(from.sent_at_us());
}

failure make_failure(const char* detail)
{
    return {error_kind::malformed_message, detail};
}

} // namespace

std::string encode(const delta_value& delta)
{
    delta_message to;
    to.set_from(delta.from.value);
    to.set_incarnation(delta.incarnation);
    to.set_sent_at_us(delta.sent_at.count());
    for (const auto& record : delta.records)
        write(record, *to.add_records());
    for (const auto& renewal : delta.renewals)
    {
        directory_renewal& added = *to.add_renewals();
        added.set_id(renewal.id.value);
        added.set_incarnation(renewal.incarnation);
        added.set_age_us(renewal.age.count());
    }
    for (const load_report& load : delta.loads)
        write(load, *to.add_loads());
    for (const cache_events& events : delta.caches)
        write(events, *to.add_caches());
    to.mutable_digest()->Add(delta.digest.begin(), delta.digest.end());
    return to.SerializeAsString();
}

std::variant<delta_value, failure>
decode_directory_delta(std::string_view bytes)
{
    delta_message from;
    if (!from.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return make_failure("directory delta: cannot be decoded");
    if (!is_plausible(from))
        return make_failure("directory delta: absurd time");
    delta_value delta;
    delta.from = {from.from()};
    delta.incarnation = from.incarnation();
    delta.sent_at = duration{from.sent_at_us()};
    for (const record_message& record : from.records())
        if (!read(record, delta.records.emplace_back()))
            return make_failure("directory delta: a record is not valid");
    for (const directory_renewal& renewal : from.renewals())
        delta.renewals.push_back(
            {{renewal.id()},
             renewal.incarnation(),
             duration{renewal.age_us()}});
    for (const directory_load& load : from.loads())
        delta.loads.push_back(read(load));
    for (const directory_cache_events& events : from.caches())
        delta.caches.push_back(read(events));
    delta.digest.assign(from.digest().begin(), from.digest().end());
    return delta;
}

} // namespace bergamotusher::wire
