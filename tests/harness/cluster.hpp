// The system on loopback: four daemons and their fakes, each a process, all
// ended when the test ends.
#pragma once

#include "harness/caller.hpp"
#include "harness/child.hpp"
#include "harness/link.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bergamotusher::tests
{

/// One system of its own, on loopback addresses that no other test uses.
class cluster
{
public:
    /// Starts `nodes` daemons, with links between them that can be cut if
    /// `with_links`, and sets the classes, services and accounts
    /// that the tests use.
    explicit cluster(unsigned nodes = 4, bool with_links = false);
    ~cluster();
    cluster(const cluster&) = delete;
    cluster& operator=(const cluster&) = delete;

    /// Starts the daemon again after its end; counts from 0.
    void start_node(unsigned index);
    child& node(unsigned index);
    /// Cuts the daemon off from its peers, silently, or joins it again. Only
    /// in a system with links.
    void isolate(unsigned index);
    void rejoin(unsigned index);
    std::string entry(unsigned index) const;
    std::string admin(unsigned index) const;
    /// The entries, beginning with `first`.
    std::vector<std::string> entries(unsigned first = 0) const;

    /// Starts a fake called `name` with further flags and waits until every
    /// running daemon knows it.
    child&
    start_engine(const std::string& name, std::vector<std::string> flags = {});
    child&
    start_desk(const std::string& name, std::vector<std::string> flags = {});
    child& upstream(const std::string& name);
    /// Where the fake called `name` listens.
    std::string upstream_address(const std::string& name) const;

    /// Starts the fake cloud; before the daemons that are to watch it.
    void give_notice(
        const std::string& instance, const std::string& domain, double seconds);

    /// An operator's call at `index`.
    caller_answer operate(
        unsigned index,
        const std::string& method,
        const std::string& path,
        const std::string& body = "",
        const std::map<std::string, std::string>& headers = {});

    /// Sets a configuration entry, whatever revision it takes; its revision.
    std::uint64_t put(const std::string& path, const std::string& body);

    /// Runs `bergamotctl` with the operator's token; its output.
    std::string run_ctl(std::vector<std::string> arguments);

    /// The orders that the desks ran, a line each.
    std::vector<std::string> orders() const;

    /// Waits until `holds`; false if it does not within `seconds`.
    static bool
    wait_until(const std::function<bool()>& holds, double seconds = 20);

    /// The key of the test account.
    static const std::string key;
    /// The key of another account.
    static const std::string other_key;

private:
    std::string address(unsigned index, unsigned port) const;
    std::string peers_flag(unsigned of) const;
    void make_links();
    std::string admins_flag() const;
    child& start_upstream(
        const std::string& program,
        const std::string& name,
        std::vector<std::string> flags);
    void configure();

    unsigned nodes_;
    unsigned number_;
    unsigned next_upstream_ = 0;
    unsigned next_key_ = 0;
    std::string folder_;
    /// From a daemon to each of its peers.
    std::map<std::pair<unsigned, unsigned>, std::unique_ptr<link>> links_;
    std::vector<child> cloud_;
    std::vector<child> daemons_;
    std::map<std::string, child> upstreams_;
    std::map<std::string, std::string> upstream_addresses_;
};

} // namespace bergamotusher::tests
