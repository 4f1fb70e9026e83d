// A small configuration for the tests of this folder and of the gateway.
#pragma once

#include "site/site.hpp"
#include "site/upstream_directory.hpp"

namespace sample
{

using namespace bergamotusher;

inline site::route route(
    const std::string& name,
    const std::string& prefix,
    site::route_kind kind,
    const std::string& service)
{
    site::route value;
    value.name = name;
    value.host = "shop.example";
    value.path_prefix = prefix;
    value.kind = kind;
    value.timeout = 4s;
    value.target_latency = 300ms;
    value.attempts_max = 2;
    value.services = {{{service}, 1}};
    return value;
}

/// Three routes: order (runs at most once), lookup (repeatable) and chat (a
/// resumable stream).
inline site::configuration configuration(std::uint64_t version = 1)
{
    site::configuration value;
    value.version = version;
    value.services.resize(2);
    value.services[0].name = {"desk"};
    value.services[1].name = {"llm"};
    value.services[1].engine = site::engine_traits{64, 100'000, 3};
    value.routes = {
        route("order", "/order/", site::route_kind::once, "desk"),
        route("lookup", "/lookup/", site::route_kind::repeatable, "desk"),
        route("chat", "/chat/", site::route_kind::stream, "llm")};
    value.routes[2].resumable = true;
    value.has_accounts = true;
    value.accounts.resize(1);
    value.accounts[0].name = {"acme"};
    value.accounts[0].keys = {"key-1", "key-2"};
    return value;
}

/// An announcement of an upstream of service llm.
inline site::upstream announcement(
    const std::string& id,
    std::int64_t started_ms,
    std::uint64_t sequence,
    site::upstream_state state = site::upstream_state::ready)
{
    site::upstream value;
    value.id = {id};
    value.service = {"llm"};
    value.address = "10.0.0.1:80";
    value.domain = {"north"};
    value.version = {"v1"};
    value.started_ms = started_ms;
    value.sequence = sequence;
    value.state = state;
    return value;
}

} // namespace sample
