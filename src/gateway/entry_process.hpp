// The process of an entry that holds no replica of the configuration: it serves
// callers by what the control nodes report.
#pragma once

#include "gateway/dialect.hpp"
#include "gateway/relay.hpp"
#include "settings/settings.hpp"
#include "site/site.hpp"

#include <bergamotusher/ids.hpp>
#include <bergamotusher/time.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace bergamotusher::gateway
{

/// Settings of an entry.
struct entry_settings
{
    /// The entry's name in log lines.
    std::string name;
    std::string region;
    failure_domain domain;
    endpoint caller_address;
    /// Answers GET on any path: 200 if the entry is ready, else 503.
    endpoint readiness_address;
    /// Address for messages between nodes; also the entry's node id.
    endpoint peer_address;
    /// Local address for these messages, if other nodes reach `peer_address`
    /// through a forwarded port.
    std::optional<endpoint> peer_bind;
    /// Port of /metrics on the host of the readiness address; without it
    /// metrics are not served.
    std::optional<std::uint16_t> metrics_port;
    /// Peer addresses of the control nodes that are contacted first.
    std::vector<node_id> seeds;
    /// Requests with a key are accepted for this long after the last moment at
    /// which the site was known to be the newest.
    duration site_lease = 4400ms;
    /// See `relay_options::refusal_confirmation_age`.
    duration refusal_confirmation_age = 1900ms;
    retry_budget_options retries;
    admission::sharing_options limits;
    /// Length of the windows in which usage is counted.
    duration usage_window = 5s;
    /// Time from the stop signal until the process is killed from outside.
    duration grace = 8s;
    std::size_t connections = 4000;
};

/// The parts that depend on the protocol of callers and upstreams.
struct entry_wire
{
    header_codec codec;
    site::configuration_parser parse_site = nullptr;
};

/// Serves until SIGTERM or SIGINT, and then until the entry has drained.
/// `reload` is called on SIGHUP and every few seconds, and returns newer
/// settings if there are any. Returns the exit code.
int run_entry(
    const entry_settings& settings,
    const entry_wire& wire,
    const std::function<std::optional<entry_settings>()>& reload);

} // namespace bergamotusher::gateway
