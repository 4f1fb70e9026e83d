// A small deployment of the project's programs on loopback addresses, with
// stand-ins for clients, workers, the operator and the platform. Used by the
// scripts of review/6 to review/10 only; needs nothing but POSIX.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace rig
{

/// Seconds since the start of the program.
double now_s();
void sleep_s(double seconds);
std::int64_t unix_ms();
std::string random_id();
/// False if the environment variable TROUBLE is "0".
bool has_trouble();

/// Appends a line with the time to record.txt, in the folder given to
/// `open_record`.
void open_record(const std::string& folder);
void record(const std::string& line);

/// Ends the program with status 2: the case could not run.
[[noreturn]] void cannot_run(const std::string& why);

struct message
{
    std::string method;
    std::string target;
    /// Of answers; 0 if none was received.
    int status = 0;
    /// Names in lower case.
    std::map<std::string, std::string> fields;
    std::string body;
    bool complete = false;

    std::string field(const std::string& name) const;
};

/// A client's connection to an entry, kept between requests.
class client_connection
{
public:
    explicit client_connection(std::string ip, int port);
    ~client_connection();
    client_connection(const client_connection&) = delete;
    client_connection& operator=(const client_connection&) = delete;

    /// Sends a request on the open connection, or on a new one, and reads the
    /// answer to its end or until `timeout_s` has passed.
    message exchange(
        const std::string& method,
        const std::string& target,
        const std::vector<std::pair<std::string, std::string>>& fields,
        const std::string& body,
        double timeout_s);
    bool is_open() const
    {
        return socket_ >= 0;
    }
    void close();

private:
    std::string ip_;
    int port_ = 0;
    int socket_ = -1;
    std::string buffer_;
};

/// One call with a JSON body on a connection of its own.
message call(
    const std::string& ip,
    int port,
    const std::string& method,
    const std::string& target,
    const std::string& body,
    double timeout_s = 1.0);

/// The connection on which a worker answers.
class answer_stream
{
public:
    explicit answer_stream(int socket) : socket_(socket) {}
    /// False if the peer has closed the connection.
    bool write(const std::string& bytes) const;
    bool peer_closed() const;

private:
    int socket_;
};

/// Serves HTTP requests, one thread for each connection. The handler writes the
/// answer and returns whether the connection stays open.
class server
{
public:
    using handler = std::function<bool(const message&, answer_stream&)>;
    server(const std::string& ip, int port, handler handle);
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;
    /// Closes the listening socket and resets all connections, as a crash does.
    void crash();

private:
    void accept_all();
    void serve(int socket);

    handler handle_;
    int listener_ = -1;
    std::mutex mutex_;
    std::set<int> sockets_;
    std::atomic<bool> stopped_{false};
    std::atomic<int> threads_{0};
    std::thread acceptor_;
};

/// The machines of the deployment and the processes on them.
class deployment
{
public:
    /// Finds free addresses and ports. Data and logs are written to the folder
    /// that the environment variable CASE_FOLDER names.
    deployment(int edges, int cores);
    ~deployment();
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    void start_all();
    /// Kills or starts the process of an edge machine. Call them from the
    /// thread that called `start_all`.
    void kill_edge(int index);
    void start_edge(int index);
    /// Memory of an edge machine's process that no file backs, in MB; 0 if it
    /// does not run.
    double edge_memory_mb(int index) const;
    /// Waits until an entry is listed for clients at a registry.
    bool wait_until_listed(int entries, double timeout_s);

    std::string edge_ip(int index) const;
    std::string core_ip(int index) const;
    std::string worker_ip(int index) const;
    std::string platform_ip() const;
    int frontend_port() const;
    int control_port() const;
    int registry_port() const;
    int worker_port() const;
    int platform_port() const;
    int cores() const;

    /// The operator sends a configuration until it is acknowledged; false if
    /// that takes too long.
    bool configure(const std::string& body, double timeout_s = 10);
    /// Sends an order to the core machines in turn until one answers with 200.
    message
    order(const std::string& target, const std::string& body, double timeout_s);

private:
    struct process
    {
        std::string name;
        std::string command;
        std::string settings;
        pid_t id = 0;
    };
    void start(process& value);
    process& edge_process(int index);
    std::string settings_of(bool is_edge, int index) const;

    int edges_ = 0;
    int cores_ = 0;
    std::string network_;
    int base_port_ = 0;
    std::string folder_;
    std::vector<process> processes_;
    std::unique_ptr<server> platform_;
};

struct worker_options
{
    std::string service;
    std::string version = "v1";
    int slots = 8;
    /// Index for `deployment::worker_ip`.
    int index = 0;
    /// The worker is back this long after a crash.
    double down_s = 2.5;
};

/// A worker that registers itself at the core and sends heartbeats.
class worker
{
public:
    /// Runs a request that this worker takes; returns whether the connection
    /// stays open. `run` is called without a lock, from several threads.
    using handler =
        std::function<bool(worker&, const message&, answer_stream&)>;

    worker(deployment& site, worker_options options, handler run);
    ~worker();
    worker(const worker&) = delete;
    worker& operator=(const worker&) = delete;

    std::string id() const;
    const worker_options& options() const
    {
        return options_;
    }
    /// Whether a heartbeat of the present incarnation was acknowledged.
    bool is_registered() const
    {
        return registered_;
    }
    /// Ends the present incarnation from a thread of its own; another one
    /// starts after `down_s`, with another id.
    void crash();

    /// The head of an answer to `request`, up to the blank line.
    std::string
    head(const message& request, int status, const std::string& more) const;
    /// A complete answer.
    std::string
    answer(const message& request, int status, const std::string& body) const;

private:
    void live();
    bool take(const message& request, answer_stream& out);
    void heartbeat();

    deployment& site_;
    worker_options options_;
    handler run_;
    mutable std::mutex mutex_;
    std::string id_;
    std::int64_t born_ = 0;
    std::uint64_t sequence_ = 0;
    std::atomic<bool> registered_{false};
    std::atomic<bool> crashing_{false};
    std::atomic<bool> ending_{false};
    std::thread thread_;
};

} // namespace rig
