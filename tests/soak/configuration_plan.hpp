// The configurations that the operators of a configuration soak send.
#pragma once

#include <bergamotusher/enum_names.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>

namespace soak
{

/// Why a configuration has to be refused.
enum class configuration_defect
{
    none,
    truncated,
    unknown_service,
    unknown_service_beside_weights,
    repeated_prefix,
    zero_weights,
    zero_timeout,
    shared_key
};

constexpr auto enum_names(configuration_defect)
{
    using row = bergamotusher::enum_name<configuration_defect>;
    return std::array{
        row{configuration_defect::none, "none"},
        row{configuration_defect::truncated, "truncated"},
        row{configuration_defect::unknown_service, "unknown service"},
        row{configuration_defect::unknown_service_beside_weights,
            "unknown service beside weights"},
        row{configuration_defect::repeated_prefix, "repeated prefix"},
        row{configuration_defect::zero_weights, "weights of 0"},
        row{configuration_defect::zero_timeout, "timeout of 0"},
        row{configuration_defect::shared_key, "shared key"}};
}

/// The parts of a configuration that differ between versions.
struct configuration_spec
{
    std::uint64_t version = 0;
    /// Service of each probed route, by path prefix.
    std::map<std::string, std::string> routes;
    std::set<std::string> keys;
    /// Timeout of the route `slow_prefix`, whose upstreams answer later.
    int slow_timeout_ms = 700;
    /// Routes that are never probed and make the configuration large.
    unsigned unprobed_routes = 0;
    configuration_defect defect = configuration_defect::none;
};

/// The prefix of a route that every version has.
inline constexpr const char* stable_prefix = "/stable/";
/// A prefix whose upstreams answer after its timeout.
inline constexpr const char* slow_prefix = "/slow/";
/// A prefix that no version has.
inline constexpr const char* missing_prefix = "/missing/";

/// The prefix of a route that only the defective configuration of `version`
/// has.
std::string defective_prefix(std::uint64_t version);

configuration_spec first_configuration();
/// Draws a valid change of `base`: a route is added, moved to another service
/// or dropped, a key is added or withdrawn, a timeout is changed.
configuration_spec draw_change(
    const configuration_spec& base,
    std::uint64_t version,
    std::mt19937& random);
/// The body of the operator's call.
std::string to_json(const configuration_spec& spec);

} // namespace soak
