// The system under test on loopback addresses: daemons, fake upstreams and a
// fake cloud, each a process of its own.
#pragma once

#include "harness/caller.hpp"
#include "harness/child.hpp"
#include "harness/link.hpp"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bergamotusher::tests
{

/// A system on loopback addresses that no other cluster uses. The destructor
/// kills all its processes and removes its files; BERGAMOTUSHER_KEEP_LOGS keeps
/// the files.
class cluster
{
public:
    /// Starts a fake cloud and `nodes` daemons and sets the classes, services
    /// and client accounts that the tests use. With `with_links` the daemons
    /// reach each other through links that `isolate` cuts. Throws
    /// std::runtime_error if the configuration does not come into force.
    explicit cluster(unsigned nodes = 4, bool with_links = false);
    ~cluster();
    cluster(const cluster&) = delete;
    cluster& operator=(const cluster&) = delete;

    /// Starts the daemon `index` (from 0), also again after its end.
    void start_node(unsigned index);
    child& node(unsigned index);
    /// Holds back all data between the daemon and its peers, without closing
    /// connections. No effect without links.
    void isolate(unsigned index);
    /// Delays each block of data between the daemon and its peers by this time.
    /// No effect without links.
    void slow_down(unsigned index, std::chrono::milliseconds by);
    /// Ends `isolate` and `slow_down`.
    void rejoin(unsigned index);
    /// The address (IP:PORT) for client requests to the daemon.
    std::string entry(unsigned index) const;
    /// The administration address (IP:PORT) of the daemon.
    std::string admin(unsigned index) const;
    /// The addresses of all entries, beginning with that of `first`.
    std::vector<std::string> entries(unsigned first = 0) const;

    /// Start a fake upstream with the instance name `name` and further flags,
    /// and wait until every running daemon lists it. Throw std::runtime_error
    /// if a daemon does not within 20 s.
    child&
    start_engine(const std::string& name, std::vector<std::string> flags = {});
    child&
    start_desk(const std::string& name, std::vector<std::string> flags = {});
    child& upstream(const std::string& name);
    /// The address (IP:PORT) of the fake upstream.
    std::string upstream_address(const std::string& name) const;

    /// Posts a reclaim notice for an instance or a failure domain (the other is
    /// empty), with `seconds` left, to the fake cloud.
    void post_reclaim_notice(
        const std::string& instance, const std::string& domain, double seconds);

    /// Sends a request with the operator's token to the administration address
    /// of the daemon.
    client_response send_admin_request(
        unsigned index,
        const std::string& method,
        const std::string& path,
        const std::string& body = "",
        const std::map<std::string, std::string>& headers = {});

    /// Sets a configuration entry at any running daemon, repeated with the
    /// current revision after a conflict. Returns the new revision.
    std::uint64_t put(const std::string& path, const std::string& body);

    /// Runs `bergamotctl` with the operator's token, for at most 10 s. Returns
    /// its output and error output.
    std::string run_ctl(std::vector<std::string> arguments);

    /// The orders that the fake desks executed, one line each.
    std::vector<std::string> executed_orders() const;

    /// Polls `condition` until it is true. Returns false if it is still false
    /// after `seconds`.
    static bool
    wait_until(const std::function<bool()>& condition, double seconds = 20);

    /// The key of the client account that most tests use.
    static const std::string key;
    /// The key of a second client account.
    static const std::string other_key;

private:
    std::string address(unsigned index, unsigned port) const;
    std::string peer_list(unsigned source) const;
    void create_links();
    std::string admin_list() const;
    child& start_upstream(
        const std::string& program_name,
        const std::string& name,
        std::vector<std::string> flags);
    void set_test_configuration();

    unsigned nodes_;
    unsigned cluster_number_;
    unsigned next_upstream_ = 0;
    unsigned next_put_number_ = 0;
    std::string folder_;
    /// By the indices of the daemon that connects and the daemon it connects
    /// to.
    std::map<std::pair<unsigned, unsigned>, std::unique_ptr<link>> links_;
    std::vector<child> cloud_;
    std::vector<child> daemons_;
    std::map<std::string, child> upstreams_;
    std::map<std::string, std::string> upstream_addresses_;
};

} // namespace bergamotusher::tests
