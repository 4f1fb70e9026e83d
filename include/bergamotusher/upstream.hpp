// What the system knows of one upstream from its own announcement.
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

/// How an upstream is spoken to.
enum class upstream_kind
{
    /// A model engine with the OpenAI-shaped interface.
    engine,
    /// A plain HTTP service.
    plain
};

/// Whether an upstream may be given new work.
enum class upstream_state
{
    serving,
    /// It said that it leaves, or its instance is under notice.
    leaving,
    /// Its announcement was not renewed in time, or it died.
    lost
};

/// How an upstream's instance is paid for.
enum class market
{
    reclaimable,
    on_demand
};

/// One upstream, as it announced itself.
struct upstream
{
    upstream_id id;
    /// Grows with each start of the instance; an older one never wins.
    std::uint64_t incarnation = 0;
    upstream_kind kind = upstream_kind::engine;
    service_name service;
    version_name version;
    /// IP:PORT.
    std::string address;
    failure_domain domain;
    std::string instance_class;
    market paid_as = market::reclaimable;
    /// Currency units an hour for the whole instance.
    double price_per_hour = 0;
    /// Requests it runs at once before it queues.
    std::uint32_t slots = 1;
    /// Whether it refuses orders with an old fencing number.
    bool honours_fencing = false;
    upstream_state state = upstream_state::serving;

    bool operator==(const upstream&) const = default;
};

/// What an upstream reports of its own load; late, and at times absurd.
struct load_report
{
    upstream_id id;
    /// Grows with each report of one incarnation.
    std::uint64_t sequence = 0;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    /// Share of the KV cache in use, 0 to 1.
    double cache_used = 0;
    /// Output tokens a second over all running requests.
    double tokens_per_second = 0;

    bool operator==(const load_report&) const = default;
};

/// Changes of an engine's prefix cache; late, and with gaps in `sequence`.
struct cache_events
{
    upstream_id id;
    /// Grows by one with each message of one incarnation.
    std::uint64_t sequence = 0;
    /// Hashes of prefix blocks, as `routing::prefix_blocks` makes them.
    std::vector<std::uint64_t> stored;
    std::vector<std::uint64_t> removed;
    /// The whole cache was dropped before `stored`.
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
