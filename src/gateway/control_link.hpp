// Keeps an entry's view up by what the control nodes say: the site and until
// when it holds, upstreams, version moves. Tells them in turn
// how the entry stands. Runs on the entry's loop.
#pragma once

#include "base/shared_clock.hpp"
#include "gateway/entry_view.hpp"
#include "gateway/relay.hpp"
#include "observe/decision_log.hpp"

#include <bergamotusher/ids.hpp>
#include <bergamotusher/time.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace bergamotusher::gateway
{

struct control_link_options
{
    std::vector<node_id> seeds;
    std::string caller_address;
    failure_domain domain;
    /// How often each control node is told.
    duration report_interval = 400ms;
    /// The same while the entry waits for a site that holds.
    duration urgent_interval = 100ms;
    /// How long requests with a key are taken after the moment up to which
    /// the site is known to be the newest. Operators bound it.
    duration site_lease = 4400ms;
    /// The least time between two reports to the leader where limits are
    /// nearly used up.
    duration pressed_interval = 100ms;
    admission::sharing_options limits;
    /// A control node that does not answer for so long is lost.
    duration node_patience = 2s;
    /// Upstreams are forgotten that no control node has named for so long.
    duration keep = 60s;
    /// Length of a usage window; the control nodes have the same setting.
    duration usage_window = 5s;
    /// Usage windows of which the counts are told.
    std::uint64_t windows_told = 7;
    site::parse_function parse = nullptr;
};

class control_link
{
public:
    using send_function =
        std::function<void(const node_id& to, const std::string& entry_report)>;

    control_link(
        control_link_options options,
        entry_view& view,
        relay& requests,
        observe::decision_log& log,
        send_function send);

    /// Reports to the control nodes if that is due.
    void tick(time_point now);

    void on_control_report(const node_id& from, std::string_view bytes);
    void on_directory(const node_id& from, std::string_view bytes);

    /// Whether the entry can serve: it knows a site that holds.
    bool ready(time_point now) const;
    /// Control nodes that the settings name since.
    void add_seeds(const std::vector<node_id>& seeds);

    /// The entry goes: it is no longer ready, and the nodes are told at once.
    void drain(time_point now);

private:
    struct control_node
    {
        time_point asked_at;
        time_point answered_at;
        bool lost = false;
    };

    void send_reports(time_point now);
    void send_to_leader(time_point now);
    std::string report(time_point now, bool to_leader);
    void take_site(
        std::uint64_t version, const std::string& content, time_point now);

    control_link_options options_;
    entry_view& view_;
    relay& relay_;
    observe::decision_log& log_;
    send_function send_;
    std::map<node_id, control_node> nodes_;
    node_id leader_;
    shared_clock clock_;
    time_point started_at_;
    time_point report_at_;
    time_point told_leader_at_;
    bool draining_ = false;
    bool was_valid_ = false;
    /// For rates between two reports to the leader.
    time_point rated_at_;
    std::map<service_name, service_counts> rated_;
};

} // namespace bergamotusher::gateway
