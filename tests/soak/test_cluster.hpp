// Runs control nodes and entries as processes on loopback addresses. Every
// address at which a node is reached leads through a fault-injecting link.
#pragma once

#include "harness/child.hpp"
#include "harness/link.hpp"

#include <nlohmann/json.hpp>

#include <chrono>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace soak
{

using bergamotusher::tests::child;
using bergamotusher::tests::link;

/// Number of nodes of each kind. Nodes are numbered: the control nodes, the
/// entries, then the spare control nodes, which start only as successors of
/// control nodes that are removed.
struct cluster_shape
{
    unsigned control_nodes = 3;
    unsigned entries = 3;
    unsigned spare_control_nodes = 0;
    /// Loads a library into every process that makes its disk and its time of
    /// day faulty on demand.
    bool faulty_environment = false;
};

constexpr unsigned node_count(const cluster_shape& shape)
{
    return shape.control_nodes + shape.entries + shape.spare_control_nodes;
}

/// Time from SIGTERM until a process must have exited; equals the setting
/// `graceS`.
inline constexpr int shutdown_grace_s = 4;

/// Loopback addresses of one run, chosen by process id and seed to avoid
/// collisions with concurrent runs.
class address_plan
{
public:
    address_plan(unsigned seed, cluster_shape shape);

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
    cluster_shape shape_;
};

class test_cluster
{
public:
    test_cluster(unsigned seed, std::string folder, cluster_shape shape = {});
    ~test_cluster();

    bool is_control(unsigned index) const
    {
        return index < shape.control_nodes ||
               index >= shape.control_nodes + shape.entries;
    }
    /// The control nodes that were started and not removed.
    std::vector<unsigned> control_nodes() const;
    std::vector<unsigned> entries() const;
    void start(unsigned index);
    child& process(unsigned index);
    /// These may be called while another thread starts the node.
    void kill(unsigned index);
    void send(unsigned index, int signal);
    /// Processor time of the node's process; 0 if it does not run.
    std::chrono::nanoseconds processor_time(unsigned index);
    /// Kills the node, deletes its data folder, and starts it again.
    void restart_with_empty_disk(unsigned index);
    /// Kills a control node for good and deletes its data folder.
    void remove(unsigned index);
    bool has_spare() const
    {
        return next_spare_ < node_count(shape);
    }
    /// Starts the next spare control node, with the control nodes that exist
    /// as its seeds.
    unsigned start_spare();
    /// Writes the node's settings again, with the control nodes that exist as
    /// seeds, and sends SIGHUP.
    void change_settings(unsigned index);
    /// From now on the node's writes to its data folder fail, or do not end.
    void fill_disk(unsigned index, bool full);
    void stall_disk(unsigned index, bool stalled);
    /// Shifts the time of day that the node's processes see.
    void step_clock(unsigned index, std::chrono::milliseconds by);
    /// The link to the node's port for messages from other nodes.
    link& message_link(unsigned index);
    /// The link to the port for operators and upstreams (control node) or for
    /// callers (entry).
    link& service_link(unsigned index);
    /// The control node's advertised address for operators, announcements of
    /// upstreams and lookups of entries.
    std::string control_address(unsigned index) const;
    std::string frontend_address(unsigned index) const;
    /// The address on which the entry itself accepts callers, without its link.
    std::string entry_address(unsigned index) const;
    bool is_ready(unsigned index) const;
    bool all_entries_ready() const;

    const cluster_shape shape;
    const address_plan plan;

private:
    std::string data_folder(unsigned index) const;
    std::string path_prefix(unsigned index) const;
    std::string node_settings(unsigned index) const;
    void write_settings(unsigned index) const;

    std::string folder_;
    bool first_start_ = true;
    std::vector<std::unique_ptr<link>> message_links_;
    std::vector<std::unique_ptr<link>> service_links_;
    std::mutex process_mutex_;
    std::vector<std::unique_ptr<child>> processes_;
    mutable std::mutex mutex_;
    std::vector<unsigned> control_nodes_;
    unsigned next_spare_ = 0;
};

/// One route of a configuration as JSON.
nlohmann::json make_route(
    const std::string& prefix,
    const std::string& type,
    const std::string& service,
    int max_attempts);

/// A complete configuration as JSON. Client accounts hold the API keys of
/// `initial_api_keys` that are not in `revoked`.
std::string make_configuration(
    std::uint64_t version, const std::vector<std::string>& revoked);

/// API keys in the first configuration, named ACCOUNT-NUMBER.
std::vector<std::string> initial_api_keys();

} // namespace soak
