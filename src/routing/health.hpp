// Ejection of upstreams that fail or are slow, and their readmission.
//
// An ejected upstream gets no work for a while, then single probe requests.
// After several successful probes it is healthy again; a failed or slow probe
// ejects it for twice as long.
#pragma once

#include <bergamotusher/enum_names.hpp>
#include <bergamotusher/time.hpp>

#include <array>
#include <cstdint>

namespace bergamotusher::routing
{

/// Whether an upstream may be given work.
enum class health_state
{
    healthy,
    ejected,
    /// Gets single probe requests, one at a time.
    probation
};

/// Health of one upstream.
struct health_record
{
    health_state state = health_state::healthy;
    std::uint32_t consecutive_failures = 0;
    std::uint32_t successful_probes = 0;
    /// Ejections since the last long healthy period; each doubles the ejection
    /// time.
    std::uint32_t recent_ejections = 0;
    time_point ejected_until;
    /// Exponential moving average of observed over expected time.
    double mean_slowness = 1;
    std::uint32_t samples = 0;
    /// All failures of the upstream since its start; refusals by a full queue
    /// do not count.
    std::uint64_t failures = 0;
    std::uint64_t unreadable_messages = 0;
};

/// Records a failed attempt or a message that could not be parsed.
void record_failure(health_record& record, time_point now);

/// Records a successful attempt that took `ratio` times the expected time.
void record_success(health_record& record, double ratio, time_point now);

/// Records that a load report showed `ratio` times the peer group's time per
/// token.
void record_reported_slowness(
    health_record& record, double ratio, time_point now);

/// The state at `now`: `probation` once the ejection time is over.
health_state state_at(const health_record& record, time_point now);

constexpr auto enum_names(health_state)
{
    using h = health_state;
    using row = enum_name<h>;
    return std::array{
        row{h::healthy, "healthy"},
        row{h::ejected, "ejected"},
        row{h::probation, "probation"}};
}

} // namespace bergamotusher::routing
