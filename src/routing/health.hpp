// Ejection of upstreams that fail or are slow, and their way back.
//
// An ejected upstream gets no work for a while, then single probes. A probe
// that ends well brings it back after a few more; one that does not ejects it
// for twice as long.
#pragma once

#include <bergamotusher/enum_names.hpp>
#include <bergamotusher/time.hpp>

#include <array>
#include <cstdint>

namespace bergamotusher::routing
{

/// Whether an upstream is trusted.
enum class health_state
{
    healthy,
    ejected,
    /// One request at a time.
    probation
};

/// What is known of one upstream's health.
struct health_record
{
    health_state state = health_state::healthy;
    std::uint32_t failures_in_a_row = 0;
    std::uint32_t good_probes = 0;
    /// Ejections without a lasting return between them.
    std::uint32_t ejections = 0;
    time_point ejected_until;
    /// Mean of seen over expected time, recent answers first.
    double slowness = 1;
    std::uint32_t samples = 0;
    /// Failures of the upstream itself, over its whole life.
    std::uint64_t failures = 0;
    std::uint64_t bad_input = 0;
};

/// The upstream failed an attempt or sent something that cannot be read.
void note_failure(health_record& record, time_point now);

/// An attempt ended well and took `ratio` times what was expected.
void note_success(health_record& record, double ratio, time_point now);

/// A load report showed `ratio` times the usual time for a token.
void note_pace(health_record& record, double ratio, time_point now);

/// The state now: an ejection that is over reads as `probation`.
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
