// The configuration of a shared deployment: routes, services, client accounts
// and limits. Operators replace it as a whole.
#pragma once

#include <bergamotusher/error_kind.hpp>
#include <bergamotusher/ids.hpp>
#include <bergamotusher/time.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace bergamotusher::site
{

/// How often a request of a route may run, and the form of its answer.
enum class route_kind
{
    /// May run more than once.
    repeatable,
    /// Runs at most once.
    once,
    /// A stream of events.
    stream
};

constexpr auto enum_names(route_kind)
{
    using row = enum_name<route_kind>;
    return std::array{
        row{route_kind::repeatable, "repeatable"},
        row{route_kind::once, "once"},
        row{route_kind::stream, "stream"}};
}

/// A service that a route sends requests to, with its share of them.
struct weighted_service
{
    service_name service;
    double weight = 0;
};

/// Selects requests by host and path, and sets their services and limits.
struct route
{
    std::string name;
    /// Compared without case and port.
    std::string host;
    /// Begins and ends with a slash.
    std::string path_prefix;
    route_kind kind = route_kind::once;
    /// Time limit for the whole answer.
    duration timeout{};
    /// Latency (of streams: to the first event) up to which an answer earns its
    /// full value.
    duration target_latency{};
    /// Longest gap between events of a stream that still counts as on time; 0
    /// if none is set.
    duration target_event_gap{};
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    /// Highest number of upstreams that one request may be sent to.
    std::uint32_t attempts_max = 1;
    /// Requests need no key.
    bool allows_anonymous = false;
    /// A broken stream may be resumed at another upstream.
    bool resumable = false;
    /// Requests list the cacheable parts of their prompt.
    bool has_prompt_parts = false;
    std::vector<weighted_service> services;
};

/// Properties of the model engine that runs a service.
struct engine_traits
{
    std::uint32_t slots = 0;
    /// Tokens that running requests and cached prompt parts may occupy
    /// together.
    std::uint64_t cache_tokens = 0;
    /// Tokens delivered with one event.
    std::uint32_t tokens_per_event = 1;
};

/// Limits and prices for renting upstreams of a service.
struct renting_terms
{
    /// Bounds on the number of upstreams in each failure domain.
    std::uint32_t min_per_domain = 0;
    std::uint32_t max_per_domain = 0;
    /// Time from an order until the upstream takes its first request.
    duration boot_time{};
    /// Price of a reclaimable upstream as a fraction of the on-demand price; 0
    /// if reclaimable upstreams are not offered.
    double reclaimable_price = 0;
    /// Price of one on-demand upstream per second, by failure domain.
    std::map<failure_domain, double> prices;
};

/// What an upstream bears while it warms up after its start.
struct warm_up_terms
{
    duration after_start{};
    /// From all entries together; it may crash above that.
    double requests_per_s = 0;
};

struct service
{
    service_name name;
    /// If empty, the health of upstreams is not checked.
    std::string health_path;
    /// Limit on connections to one upstream, over all entries.
    std::uint32_t connections_max = 0;
    std::optional<engine_traits> engine;
    std::optional<renting_terms> renting;
    /// Nothing if upstreams need no care while they warm up.
    std::optional<warm_up_terms> warm_up{};
};

/// A client account with its keys and its rate limit.
struct account
{
    account_id name;
    std::vector<std::string> keys;
    /// Replaces the priority of the route.
    std::optional<std::uint32_t> priority;
    /// Rate limit in tokens (or requests, if `counts_tokens` is false) per
    /// second, and the number allowed at once; a rate of 0 means no limit.
    double rate = 0;
    double burst = 0;
    bool counts_tokens = false;
    /// Tokens counted for a request that does not state its own number.
    double default_tokens = 0;
};

/// Limits on the requests and connections of one caller.
struct caller_limits
{
    std::uint32_t header_bytes = 16 * 1024;
    std::uint64_t body_bytes = std::uint64_t{4} << 20;
    duration header_timeout = 3s;
    duration idle_timeout = 15s;
};

/// The whole configuration, with the version number that the operator gave it.
struct configuration
{
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<service> services;
    std::vector<account> accounts;
    caller_limits limits;
    /// True if the configuration has a list of accounts, even an empty one:
    /// requests then need a key.
    bool has_accounts = false;
};

/// A configuration with indexes for looking up routes, accounts and services.
struct indexed_configuration
{
    configuration value;
    /// Indexes of routes by host, longest path prefix first.
    std::unordered_map<std::string, std::vector<std::size_t>> by_host;
    std::unordered_map<std::string, std::size_t> account_by_key;
    std::map<service_name, std::size_t> service_by_name;
};

/// Parses an operator's configuration; implemented for each operator interface.
/// Errors: `invalid_configuration`.
using configuration_parser =
    std::variant<configuration, failure> (*)(std::string_view content);

/// Validates a configuration; returns nothing if it is usable. Errors:
/// `invalid_configuration`.
std::optional<failure> check(const configuration& value);

std::shared_ptr<const indexed_configuration>
index_configuration(configuration value);

/// The route of a request; null if none matches. `host` is the Host header as
/// sent, `path` excludes the query.
const route* find_route(
    const indexed_configuration& site,
    std::string_view host,
    std::string_view path);

/// The account that holds `key`; null if there is none.
const account*
find_account(const indexed_configuration& site, std::string_view key);

/// Null if the service is not configured.
const service*
find_service(const indexed_configuration& site, const service_name& name);

} // namespace bergamotusher::site
