#include "site/site_codec.hpp"

namespace bergamotusher::site
{

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
}

version_move read(const pb::move_value& from)
{
    return {
        {from.service()},
        {from.target()},
        static_cast<move_state>(from.state()),
        from.started_ms(),
        from.duration_ms(),
        from.number(),
        from.share(),
        from.reason()};
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

std::string encode_directory(const std::vector<upstream>& upstreams)
{
    pb::directory_news message;
    for (const upstream& each : upstreams)
        write(*message.add_upstreams(), each);
    return message.SerializeAsString();
}

std::optional<std::vector<upstream>> decode_directory(std::string_view bytes)
{
    pb::directory_news message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return std::nullopt;
    std::vector<upstream> values;
    for (const pb::upstream_value& each : message.upstreams())
        if (auto value = read(each))
            values.push_back(std::move(*value));
    return values;
}

} // namespace bergamotusher::site
