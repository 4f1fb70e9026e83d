// An entry without a replica: serves callers by what the control nodes say.
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

/// What an entry is told when it starts.
struct entry_settings
{
    /// Name in log lines.
    std::string name;
    std::string region;
    failure_domain domain;
    endpoint caller_address;
    /// Answers GET on any path: 200 if the entry is ready, else 503.
    endpoint readiness_address;
    /// IP:PORT for messages between nodes; also the entry's node id.
    endpoint peer_address;
    /// Where messages are listened for, if other nodes reach `peer_address`
    /// through a port that is forwarded.
    std::optional<endpoint> peer_bind;
    /// Port of /metrics on the readiness address's host; none: not served.
    std::optional<std::uint16_t> metrics_port;
    /// Messages addresses of control nodes that are asked first.
    std::vector<node_id> seeds;
    /// How long requests with a key are taken after the moment up to which
    /// the site is known to be the newest.
    duration site_lease = 4400ms;
    retry_bound retries;
    admission::sharing_options limits;
    /// Length of the windows in which usage is counted.
    duration usage_window = 5s;
    /// From the order to stop until the process is ended from outside.
    duration grace = 8s;
    std::size_t connections = 4000;
};

/// What varies with the wire that callers and upstreams speak.
struct entry_wire
{
    dialect words;
    site::parse_function parse_site = nullptr;
};

/// Serves until SIGTERM or SIGINT has been obeyed. `reload` runs on SIGHUP and
/// every few seconds, and returns newer settings if there are any. Returns the
/// exit code.
int run_entry(
    const entry_settings& settings,
    const entry_wire& wire,
    const std::function<std::optional<entry_settings>()>& reload);

} // namespace bergamotusher::gateway
