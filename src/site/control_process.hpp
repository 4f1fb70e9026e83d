// A process that runs a control node of a shared site: a replica of the state,
// the HTTP interface for operators and upstreams, and the lookup by which
// callers find an entry.
#pragma once

#include "daemon/http_server.hpp"
#include "settings/settings.hpp"
#include "site/control_service.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bergamotusher::site
{

/// Settings of a control node.
struct control_settings
{
    /// Name of the node in log lines.
    std::string name;
    failure_domain domain;
    /// All failure domains of the deployment, as far as the settings name them.
    std::set<failure_domain> domains;
    /// See `control_service_options::shares_domains`.
    bool shares_domains = false;
    /// Addresses of the HTTP interface for operators, upstreams and callers.
    std::vector<endpoint> api_addresses;
    /// IP:PORT for messages between nodes; also the node's id.
    endpoint peer_address;
    /// Address to listen on for messages, if other nodes reach `peer_address`
    /// through a forwarded port.
    std::optional<endpoint> peer_bind;
    std::optional<std::uint16_t> metrics_port;
    std::vector<node_id> seeds;
    std::string data_dir;
    /// Whether the node may found a new cluster. True at the first start of the
    /// whole system only.
    bool may_found = false;
    /// Number of voters that may be lost with their disks without losing the
    /// quorum.
    std::uint32_t max_lost_disks = 1;
    duration announcement_interval = 1200ms;
    /// Time a new leader waits before it performs a duty that an earlier leader
    /// may still be performing.
    duration duty_handover_delay = 3s;
    /// Time from the stop signal until the process is killed from outside.
    duration grace = 8s;
    usage_options usage;
    admission::sharing_options limits;
};

/// What depends on the protocol that operators, upstreams and callers use.
struct control_protocol
{
    configuration_parser parse_site = nullptr;
    /// Answers one HTTP request by calls of the service.
    std::function<void(
        control_service& service,
        http_request&& request,
        const std::shared_ptr<http_exchange>& exchange)>
        serve;
    /// Creates the functions for the leader's calls; called once the loop
    /// exists.
    std::function<duty_calls(boost::asio::io_context& loop)> duties;
};

/// The options of the node's replica, without callbacks.
control_options make_replica_options(const control_settings& settings);

/// Runs until stopped by SIGTERM or SIGINT; `reload` as in `run_entry`.
int run_control(
    const control_settings& settings,
    const control_protocol& protocol,
    const std::function<std::optional<control_settings>()>& reload);

} // namespace bergamotusher::site
