// Who takes part in the spreading of news: entries and upstreams with their
// place.
#pragma once

#include <bergamotusher/ids.hpp>

namespace bergamotusher::dissemination
{

/// A set of failure domains near each other.
using region_name = basic_id<struct region_tag>;

/// Where an instance stands.
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

/// An upstream of the service in question.
struct upstream_member
{
    upstream_id id;
    place at;

    bool operator==(const upstream_member&) const = default;
};

} // namespace bergamotusher::dissemination
