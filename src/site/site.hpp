// The whole configuration of a shared deployment, as operators replace it at
// once: routes, services, client accounts and limits.
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

/// How often a request may run, and how its answer looks.
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

/// One of the services that a route's requests go to.
struct weighted_service
{
    service_name service;
    double weight = 0;
};

/// Which requests go where, and under which bounds.
struct route
{
    std::string name;
    /// In lower case, without a port.
    std::string host;
    /// Begins and ends with a slash.
    std::string path_prefix;
    route_kind kind = route_kind::once;
    /// The longest that a caller may be kept waiting.
    duration timeout{};
    /// The latency (streams: to the first event) that earns full worth.
    duration target_latency{};
    /// The longest pause between events that is still on time; 0: none given.
    duration target_pause{};
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    /// Upstreams that one request may be sent to.
    std::uint32_t attempts_max = 1;
    /// Needs no key.
    bool open_to_all = false;
    /// A broken stream may go on at another upstream.
    bool resumable = false;
    /// Requests name the parts of their prompt.
    bool has_prompt_parts = false;
    std::vector<weighted_service> services;
};

/// A model engine behind a service.
struct engine_traits
{
    std::uint32_t slots = 0;
    /// Tokens that running requests and cached parts may fill together.
    std::uint64_t cache_tokens = 0;
    /// Tokens of one event.
    std::uint32_t tokens_per_event = 1;
};

/// What may be rented for a service.
struct renting_terms
{
    /// Bounds on the upstreams in each failure domain.
    std::uint32_t least = 0;
    std::uint32_t most = 0;
    /// From the order to the first request.
    duration boot_time{};
    /// Price of a reclaimable upstream as a part of the usual price; 0: none
    /// can be had.
    double reclaimable_price = 0;
    /// Price of one upstream for a second, by failure domain.
    std::map<failure_domain, double> prices;
};

struct service
{
    service_name name;
    /// Empty: upstreams are not asked for their health.
    std::string health_path;
    /// Connections that one upstream takes from all entries together.
    std::uint32_t connections_max = 0;
    std::optional<engine_traits> engine;
    std::optional<renting_terms> renting;
};

/// A client account with its keys and its share of the deployment.
struct account
{
    account_id name;
    std::vector<std::string> keys;
    /// Goes before the priority of the route.
    std::optional<std::uint32_t> priority;
    /// Tokens (or requests, if `counts_tokens` is false) a second, and at
    /// once; 0 is no limit.
    double rate = 0;
    double burst = 0;
    bool counts_tokens = false;
    /// Tokens that a request counts which names none.
    double default_tokens = 0;
};

/// Bounds on what one caller may send.
struct caller_limits
{
    std::uint32_t header_bytes = 16 * 1024;
    std::uint64_t body_bytes = std::uint64_t{4} << 20;
    duration header_time = 3s;
    duration idle_time = 15s;
};

/// The whole configuration under the operator's own version.
struct configuration
{
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<service> services;
    std::vector<account> accounts;
    caller_limits limits;
    /// True if the operator named accounts at all: keys are asked for then.
    bool has_accounts = false;
};

/// A configuration with what requests are looked up by.
struct lookup
{
    configuration value;
    /// Indexes of routes by host, the longest prefix first.
    std::unordered_map<std::string, std::vector<std::size_t>> by_host;
    std::unordered_map<std::string, std::size_t> account_by_key;
    std::map<service_name, std::size_t> service_by_name;
};

/// Reads a configuration from the operator's bytes; the parser of the
/// interface that they came through. Errors: `invalid_configuration`.
using parse_function =
    std::variant<configuration, failure> (*)(std::string_view content);

/// What makes the configuration unusable, or nothing. Errors:
/// `invalid_configuration`.
std::optional<failure> check(const configuration& value);

std::shared_ptr<const lookup> make_lookup(configuration value);

/// The route of a request; null if there is none. `host` as sent, `path`
/// without its query.
const route*
find_route(const lookup& site, std::string_view host, std::string_view path);

/// The account that holds `key`; null if there is none.
const account* find_account(const lookup& site, std::string_view key);

/// Null if the service is not configured.
const service* find_service(const lookup& site, const service_name& name);

} // namespace bergamotusher::site
