// The failure domains that operators evacuate: their upstreams get no request
// until the evacuation is withdrawn. Part of the replicated state.
#pragma once

#include <bergamotusher/ids.hpp>

#include <cstddef>
#include <cstdint>
#include <set>

namespace bergamotusher::site
{

struct evacuations
{
    std::set<failure_domain> domains;
    /// Number of orders that changed `domains`: of two values, the one with the
    /// higher revision is newer.
    std::uint64_t revision = 0;

    bool operator==(const evacuations&) const = default;
};

/// The longest accepted name of a failure domain, in bytes.
inline constexpr std::size_t max_domain_name_size = 256;

/// Evacuates a domain, or withdraws its evacuation. An order that was carried
/// out before changes nothing.
void set_evacuated(
    evacuations& value, const failure_domain& domain, bool is_evacuated);

/// Replaces `known` by `received` if that is newer; returns whether it was.
bool adopt_newer(evacuations& known, const evacuations& received);

} // namespace bergamotusher::site
