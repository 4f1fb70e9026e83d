// Participants of the dissemination: entries and upstreams with their location.
#pragma once

#include <bergamotusher/ids.hpp>

namespace bergamotusher::dissemination
{

/// A region: a set of failure domains with low latency between them.
using region_name = basic_id<struct region_tag>;

/// Location of an instance.
struct place
{
    region_name region;
    failure_domain domain;

    auto operator<=>(const place&) const = default;
};

/// An entry.
struct entry_member
{
    node_id id;
    place at;

    bool operator==(const entry_member&) const = default;
};

/// An upstream of the service that is considered.
struct upstream_member
{
    upstream_id id;
    place at;

    bool operator==(const upstream_member&) const = default;
};

} // namespace bergamotusher::dissemination
