// Data that upstreams announce or report about themselves.
#pragma once

#include <bergamotusher/enum_names.hpp>
#include <bergamotusher/ids.hpp>
#include <bergamotusher/time.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace bergamotusher
{

/// Protocol of an upstream.
enum class upstream_kind
{
    /// A model engine with an OpenAI-compatible interface.
    engine,
    /// A plain HTTP service.
    plain
};

/// Whether an upstream may be given new work.
enum class upstream_state
{
    serving,
    /// It announced that it leaves, or its instance has a reclaim notice.
    leaving,
    /// Its announcement expired, or it died.
    lost
};

/// Pricing of an upstream's instance.
enum class market
{
    reclaimable,
    on_demand
};

/// An upstream, as announced by itself.
struct upstream
{
    upstream_id id;
    /// Increases with each start of the instance; an announcement with a lower
    /// value is ignored.
    std::uint64_t incarnation = 0;
    upstream_kind kind = upstream_kind::engine;
    service_name service;
    version_name version;
    /// IP:PORT.
    std::string address;
    failure_domain domain;
    std::string instance_class;
    market paid_as = market::reclaimable;
    /// Price of the whole instance per hour, in currency units.
    double price_per_hour = 0;
    /// Requests that it runs concurrently before it queues.
    std::uint32_t slots = 1;
    /// Whether it rejects orders with an outdated fencing number.
    bool honours_fencing = false;
    upstream_state state = upstream_state::serving;

    bool operator==(const upstream&) const = default;
};

/// Load report of an upstream. It may be late, and its values may be wrong.
struct load_report
{
    upstream_id id;
    /// Increases with each report of one incarnation.
    std::uint64_t sequence = 0;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    /// Share of the KV cache in use, 0 to 1.
    double cache_used = 0;
    /// Output tokens per second over all running requests.
    double tokens_per_second = 0;

    bool operator==(const load_report&) const = default;
};

/// Changes of an engine's prefix cache. Messages may be late or missing, which
/// shows as gaps in `sequence`.
struct cache_events
{
    upstream_id id;
    /// Increases by one with each message of one incarnation.
    std::uint64_t sequence = 0;
    /// Hashes of prefix blocks, as returned by `routing::prefix_blocks`.
    std::vector<std::uint64_t> stored;
    std::vector<std::uint64_t> removed;
    /// The whole cache was cleared before `stored` was added.
    bool cleared = false;

    bool operator==(const cache_events&) const = default;
};

constexpr auto enum_names(upstream_kind)
{
    return std::array{
        enum_name<upstream_kind>{upstream_kind::engine, "engine"},
        enum_name<upstream_kind>{upstream_kind::plain, "plain"}};
}

constexpr auto enum_names(upstream_state)
{
    return std::array{
        enum_name<upstream_state>{upstream_state::serving, "serving"},
        enum_name<upstream_state>{upstream_state::leaving, "leaving"},
        enum_name<upstream_state>{upstream_state::lost, "lost"}};
}

constexpr auto enum_names(market)
{
    return std::array{
        enum_name<market>{market::reclaimable, "reclaimable"},
        enum_name<market>{market::on_demand, "on_demand"}};
}

} // namespace bergamotusher
