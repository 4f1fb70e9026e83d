// The programs of a deployment on loopback, each a process, with a link before
// each address that others reach: messages between nodes, callers, operators.
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

inline constexpr unsigned control_nodes = 3;
inline constexpr unsigned entry_nodes = 3;
inline constexpr unsigned all_nodes = control_nodes + entry_nodes;
/// From SIGTERM until the process is killed, as the settings say.
inline constexpr int grace_s = 4;

/// Loopback addresses that no other run uses at the same time.
class address_plan
{
public:
    explicit address_plan(unsigned run);

    /// The address by which others know node `index`, and the one that it
    /// listens on.
    std::string known(unsigned index, unsigned port) const;
    std::string own(unsigned index, unsigned port) const;
    /// The known address for a node's own one.
    std::string known_for(const std::string& own_address) const;
    std::string upstream_known(unsigned index) const;
    std::string upstream_own(unsigned index) const;
    std::string cloud() const;

private:
    std::string address(unsigned last, unsigned port) const;
    std::string prefix_;
};

class fleet
{
public:
    fleet(unsigned run, std::string folder);
    ~fleet();

    /// Nodes below `control_nodes` are control nodes, the others entries.
    static bool is_control(unsigned index)
    {
        return index < control_nodes;
    }
    void start(unsigned index);
    child& process(unsigned index);
    /// Kills it, loses its disk, and starts it again.
    void lose_disk(unsigned index);
    /// Messages from other nodes; callers, operators and upstreams.
    link& messages(unsigned index);
    link& face(unsigned index);
    /// Where operators, upstreams and callers that ask for entries go.
    std::string api(unsigned index) const;
    std::string front(unsigned index) const;
    bool is_ready(unsigned index) const;

    const address_plan plan;

private:
    std::string data_of(unsigned index) const;
    std::string settings_of(unsigned index) const;

    std::string folder_;
    bool first_start_ = true;
    std::vector<std::unique_ptr<link>> messages_;
    std::vector<std::unique_ptr<link>> faces_;
    std::vector<std::unique_ptr<child>> processes_;
};

/// A whole configuration; accounts hold the keys ACCOUNT-NUMBER that are not
/// in `revoked`.
std::string
configuration(std::uint64_t version, const std::vector<std::string>& revoked);

/// Keys that the configuration begins with.
std::vector<std::string> all_keys();

} // namespace soak
