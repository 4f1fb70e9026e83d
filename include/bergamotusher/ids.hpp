// Identifier types, distinct so that one kind cannot be passed for another.
#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <string>

namespace bergamotusher
{

/// An identifier of the kind `Tag`. An empty value means "none".
template<class Tag>
struct basic_id
{
    std::string value;

    bool empty() const
    {
        return value.empty();
    }
    auto operator<=>(const basic_id&) const = default;
};

/// A daemon process of the system, identified by its `--node-id`.
using node_id = basic_id<struct node_tag>;
/// An upstream instance, by the id in its announcement.
using upstream_id = basic_id<struct upstream_tag>;
/// A set of instances that may fail together.
using failure_domain = basic_id<struct failure_domain_tag>;
/// A client account.
using account_id = basic_id<struct account_tag>;
/// A service that upstreams provide, such as an assistant.
using service_name = basic_id<struct service_tag>;
/// A version of a service.
using version_name = basic_id<struct version_tag>;
/// A class of work, such as quick chats.
using class_name = basic_id<struct class_tag>;
/// An accepted request; unique over all entries.
using request_id = basic_id<struct request_tag>;
/// One dispatch of a request to one upstream; unique over all entries.
using attempt_id = basic_id<struct attempt_tag>;
/// One version move.
using move_id = basic_id<struct move_tag>;

} // namespace bergamotusher

template<class Tag>
struct std::hash<bergamotusher::basic_id<Tag>>
{
    std::size_t operator()(const bergamotusher::basic_id<Tag>& id) const
    {
        return std::hash<std::string>{}(id.value);
    }
};
