// Runs control nodes and entries as processes on loopback addresses. Every
// address at which a node is reached leads through a fault-injecting link.
#pragma once

#include "harness/child.hpp"
#include "harness/link.hpp"

#include <memory>
#include <string>
#include <vector>

namespace soak
{

using bergamotusher::tests::child;
using bergamotusher::tests::link;

inline constexpr unsigned control_node_count = 3;
inline constexpr unsigned entry_node_count = 3;
inline constexpr unsigned node_count = control_node_count + entry_node_count;
/// Time from SIGTERM until a process must have exited; equals the setting
/// `graceS`.
inline constexpr int shutdown_grace_s = 4;

/// Loopback addresses of one run, chosen by process id and seed to avoid
/// collisions with concurrent runs.
class address_plan
{
public:
    explicit address_plan(unsigned seed);

    /// The address of node `index` that other processes connect to (the near
    /// side of its link).
    std::string advertised(unsigned index, unsigned port) const;
    /// The address that node `index` itself listens on.
    std::string listening(unsigned index, unsigned port) const;
    /// Maps the address on which an entry accepts callers to its advertised
    /// address; any other address is returned unchanged.
    std::string advertised_for(const std::string& listen_address) const;
    std::string upstream_advertised(unsigned index) const;
    std::string upstream_listening(unsigned index) const;
    std::string cloud_api() const;

private:
    std::string address(unsigned last_octet, unsigned port) const;
    std::string prefix_;
};

class test_cluster
{
public:
    test_cluster(unsigned seed, std::string folder);
    ~test_cluster();

    /// Nodes below `control_node_count` are control nodes, the others entries.
    static bool is_control(unsigned index)
    {
        return index < control_node_count;
    }
    void start(unsigned index);
    child& process(unsigned index);
    /// Kills the node, deletes its data folder, and starts it again.
    void restart_with_empty_disk(unsigned index);
    /// The link to the node's port for messages from other nodes.
    link& message_link(unsigned index);
    /// The link to the port for operators and upstreams (control node) or for
    /// callers (entry).
    link& service_link(unsigned index);
    /// The control node's advertised address for operators, announcements of
    /// upstreams and lookups of entries.
    std::string control_address(unsigned index) const;
    std::string frontend_address(unsigned index) const;
    bool is_ready(unsigned index) const;

    const address_plan plan;

private:
    std::string data_folder(unsigned index) const;
    std::string node_settings(unsigned index) const;

    std::string folder_;
    bool first_start_ = true;
    std::vector<std::unique_ptr<link>> message_links_;
    std::vector<std::unique_ptr<link>> service_links_;
    std::vector<std::unique_ptr<child>> processes_;
};

/// A complete configuration as JSON. Client accounts hold the API keys of
/// `initial_api_keys` that are not in `revoked`.
std::string make_configuration(
    std::uint64_t version, const std::vector<std::string>& revoked);

/// API keys in the first configuration, named ACCOUNT-NUMBER.
std::vector<std::string> initial_api_keys();

} // namespace soak
