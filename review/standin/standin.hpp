// Stand-ins for the clients, workers, operator and platform of the users'
// pages, and a small deployment of the project's own programs on loopback
// addresses. Used by the scripts of the review only.
#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace standin
{

/// Seconds since the start of the program.
double now_s();
void sleep_s(double seconds);
/// Milliseconds since 1970.
std::int64_t unix_ms();
/// False if the environment variable TROUBLE is "0".
bool has_trouble();

/// Writes what was sent, answered and run, one line each, with the time.
class record_file
{
public:
    explicit record_file(const std::string& path);
    void line(const std::string& text);

private:
    std::mutex mutex_;
    std::ofstream out_;
};

struct http_message
{
    /// Of requests.
    std::string method;
    std::string target;
    /// Of answers; 0 if there was none.
    int status = 0;
    /// Names are in lower case.
    std::map<std::string, std::string> fields;
    std::string body;
    /// The whole message was received.
    bool complete = false;

    std::string field(const std::string& name) const;
};

/// IP:PORT.
struct address
{
    std::string ip;
    unsigned port = 0;

    std::string text() const
    {
        return ip + ":" + std::to_string(port);
    }
};

address parse_address(const std::string& text);

/// A client's connection that is kept open for further requests.
class connection
{
public:
    connection() = default;
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    /// Sends one request and waits for its whole answer. A new connection may
    /// take one second.
    http_message exchange(
        const address& to,
        const std::string& method,
        const std::string& target,
        const std::map<std::string, std::string>& fields,
        const std::string& body,
        double timeout_s);

private:
    void close();
    int socket_ = -1;
    std::string peer_;
    std::string buffer_;
};

/// One request on a connection of its own, with a JSON body.
http_message call(
    const address& to,
    const std::string& method,
    const std::string& target,
    const std::string& body,
    double timeout_s = 1.0);

/// Serves requests with a thread for each connection.
class server
{
public:
    using handler = std::function<std::string(const http_message&)>;

    /// The handler returns the bytes of the answer.
    server(const address& at, handler handle);
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;
    /// Closes the listening socket and all connections.
    void stop();

private:
    struct state;
    std::shared_ptr<state> state_;
};

/// The bytes of an answer.
std::string make_answer(
    int status,
    const std::map<std::string, std::string>& fields,
    const std::string& body);

/// A process of the system.
class process
{
public:
    process(
        const std::string& program,
        const std::string& settings_path,
        const std::string& log_path);
    ~process();
    process(const process&) = delete;
    process& operator=(const process&) = delete;

    void kill();
    pid_t id() const
    {
        return id_;
    }
    bool running();

private:
    pid_t id_ = -1;
};

struct deployment_options
{
    unsigned control_nodes = 3;
    unsigned entries = 2;
    /// Control nodes that may be added later, at addresses of their own.
    unsigned spare_control_nodes = 0;
};

/// Control nodes and entries with settings as the pages describe them. The
/// control nodes are numbered first, then the spare ones, then the entries.
class deployment
{
public:
    deployment(const deployment_options& options, record_file& record);
    ~deployment();
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    void start_all();
    /// Writes the settings and starts the process of machine `index`.
    void start(unsigned index, bool bootstrap);
    void kill(unsigned index);
    /// The machine loses its disk; its process must have been killed.
    void empty_disk(unsigned index);
    void kill_all();
    /// Whether no process has ended by itself.
    bool all_run();

    unsigned first_entry() const
    {
        return options_.control_nodes + options_.spare_control_nodes;
    }
    unsigned machines() const
    {
        return first_entry() + options_.entries;
    }
    /// The addresses at which the operator and the workers reach the control
    /// nodes that belong to the deployment now.
    std::vector<address> control_addresses() const;
    address control_address(unsigned index) const;
    address frontend(unsigned entry) const;
    bool is_ready(unsigned entry) const;
    /// Replaces a control node in the list that callers pick from.
    void set_members(std::vector<unsigned> members);
    /// The control nodes that the settings name as seeds from now on; without
    /// it the first three members.
    void set_seeds(std::vector<unsigned> seeds);
    /// An address for a worker or for the platform's API.
    address worker_address(unsigned number) const;
    std::string zone(unsigned number) const;

private:
    std::string settings(unsigned index, bool bootstrap) const;
    std::string ip(unsigned index) const;
    std::string data_folder(unsigned index) const;

    deployment_options options_;
    record_file& record_;
    std::string folder_;
    std::string prefix_;
    unsigned port_ = 0;
    mutable std::mutex mutex_;
    std::vector<unsigned> members_;
    std::vector<unsigned> seeds_;
    std::vector<std::unique_ptr<process>> processes_;
    std::unique_ptr<server> platform_;
};

struct worker_options
{
    std::string id;
    std::string service;
    std::string version = "v1";
    std::string zone;
    address at;
    unsigned slots = 64;
    double work_ms = 20;
    /// Share of the answers that are failures (status 500).
    double failing = 0;
};

/// One request that a worker began to work on.
struct run
{
    double at_s = 0;
    std::string attempt;
    std::string worker;
    std::string version;
    std::string path;
    int status = 0;
};

/// What all workers ran.
class run_list
{
public:
    void add(const run& value);
    std::vector<run> all() const;

private:
    mutable std::mutex mutex_;
    std::vector<run> runs_;
};

/// A worker that announces itself and serves requests.
class worker
{
public:
    worker(
        deployment& system,
        run_list& runs,
        record_file& record,
        worker_options options);
    ~worker();
    worker(const worker&) = delete;
    worker& operator=(const worker&) = delete;

    /// The body of a heartbeat with the next sequence number.
    std::string heartbeat_body();
    /// Reports `draining` until a control node acknowledges it; returns when
    /// that happened, or a negative number.
    double drain();
    /// Leaves without having reported `draining`: further heartbeats are not
    /// sent. Returns when a control node acknowledged it, or a negative number.
    double deregister();
    /// Exits.
    void stop();
    const worker_options& options() const
    {
        return options_;
    }

private:
    std::string answer(const http_message& request);
    double announce();
    double send_to_any(const std::string& path, const std::string& body);

    deployment& system_;
    run_list& runs_;
    record_file& record_;
    worker_options options_;
    std::int64_t born_;
    std::mutex mutex_;
    std::mt19937 random_;
    std::uint64_t sequence_ = 0;
    std::atomic<bool> draining_{false};
    std::atomic<bool> silent_{false};
    std::atomic<bool> stopped_{false};
    std::atomic<int> running_{0};
    std::unique_ptr<server> server_;
    std::thread announcer_;
};

/// The key of the account in `make_configuration`.
inline constexpr const char* client_key = "i9n73hh2b9wu3fexd9dn";

/// One request of a client and its answer.
struct client_result
{
    double sent_at_s = 0;
    std::string attempt;
    int status = 0;
    bool complete = false;
};

struct client_options
{
    unsigned threads = 8;
    double requests_per_s = 50;
    std::string method = "GET";
    std::string path = "/lookup/1";
    std::string host = "desk.example";
    std::string key = client_key;
    double deadline_s = 2;
};

/// Clients that ask the system which entries to use and send requests there.
class client_set
{
public:
    client_set(deployment& system, record_file& record, client_options options);
    ~client_set();
    client_set(const client_set&) = delete;
    client_set& operator=(const client_set&) = delete;

    void stop();
    std::vector<client_result> results() const;

private:
    void run_client(unsigned number);

    deployment& system_;
    record_file& record_;
    client_options options_;
    std::atomic<bool> stopped_{false};
    mutable std::mutex mutex_;
    std::vector<client_result> results_;
    std::vector<std::thread> threads_;
};

/// Sends an operator's order to one node after the other, from a random one
/// on, until an answer below 500 arrives; returns its status, 0 without one.
int send_order(
    deployment& system,
    record_file& record,
    const std::string& path,
    const std::string& body,
    double timeout_s);

/// A configuration with the service "desk", one route of type `safe` and one
/// account without a limit.
std::string make_configuration(std::uint64_t version);

} // namespace standin
