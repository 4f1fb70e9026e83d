// A control node of a shared site: a replica of the state, the operators' and
// the upstreams' interface, and the answer to callers where to go.
#pragma once

#include "daemon/http_server.hpp"
#include "settings/settings.hpp"
#include "site/control_service.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace bergamotusher::site
{

/// What a control node is told when it starts.
struct control_settings
{
    /// Name in log lines.
    std::string name;
    failure_domain domain;
    /// Operators and upstreams; and callers that ask where to go.
    std::vector<endpoint> api_addresses;
    /// IP:PORT for messages between nodes; also the node's id.
    endpoint peer_address;
    /// Where messages are listened for, if other nodes reach `peer_address`
    /// through a port that is forwarded.
    std::optional<endpoint> peer_bind;
    std::optional<std::uint16_t> metrics_port;
    std::vector<node_id> seeds;
    std::string data_dir;
    /// True at the first start of the whole system only.
    bool may_found = false;
    /// Voters that a quorum may lose for good.
    std::uint32_t disks_lost_max = 1;
    duration announcement_interval = 1200ms;
    /// Between the acts of two holders of a duty.
    duration duty_pause = 3s;
    /// From the order to stop until the process is ended from outside.
    duration grace = 8s;
    usage_options usage;
    admission::sharing_options limits;
};

/// What varies with the wire that operators, upstreams and callers speak.
struct control_wire
{
    parse_function parse_site = nullptr;
    /// Answers one request by calling the service.
    std::function<void(
        control_service& service,
        http_request&& request,
        const std::shared_ptr<http_exchange>& exchange)>
        serve;
    /// The duties' calls; made once the loop exists.
    std::function<duty_port(boost::asio::io_context& loop)> duties;
};

/// Runs until SIGTERM or SIGINT has been obeyed; see `run_entry`.
int run_control(
    const control_settings& settings,
    const control_wire& wire,
    const std::function<std::optional<control_settings>()>& reload);

} // namespace bergamotusher::site
