#include "soak/test_cluster.hpp"

#include "soak/http.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <unistd.h>

namespace soak
{

using nlohmann::json;
namespace files = std::filesystem;

namespace
{

constexpr unsigned message_port = 7600;
constexpr unsigned api_port = 8229;
constexpr unsigned frontend_port = 8221;
constexpr unsigned readiness_port = 8224;
constexpr unsigned upstream_port = 8080;
constexpr unsigned cloud_api_port = 8225;
/// Added to the last octet of an advertised address to get the address that
/// the process listens on.
constexpr unsigned listen_offset = 100;
constexpr unsigned first_upstream_octet = 60;
constexpr unsigned cloud_api_octet = 250;

void set_flag(const std::string& path, bool present)
{
    if (present)
        std::ofstream(path) << "\n";
    else
        files::remove(path);
}

const std::vector<std::string> failure_domains{"east", "north", "west"};

json bounds_settings()
{
    return {
        {"graceS", shutdown_grace_s},
        {"revokeMs", 5000},
        {"drainMs", 2000},
        {"leaseMs", 3000},
        {"usageWindowS", 5},
        {"retryBudgetRatio", 0.2},
        {"retryWindowS", 10},
        {"retryMinExtra", 60},
        {"quotaWindowS", 8},
        {"quotaOvershoot", 0.1},
        {"quotaSlack", 110000}};
}

} // namespace

json make_route(
    const std::string& prefix,
    const std::string& type,
    const std::string& service,
    int max_attempts)
{
    return {
        {"name", "r" + service + type},
        {"host", "soak.example"},
        {"pathPrefix", prefix},
        {"type", type},
        {"timeoutMs", 4000},
        {"targetLatencyMs", 500},
        {"priority", 1},
        {"service", service},
        {"maxAttempts", max_attempts},
        {"public", false},
        {"resumable", type == "streaming"}};
}

address_plan::address_plan(unsigned seed, cluster_shape shape)
    : prefix_(
          "127." + std::to_string(80 + ::getpid() % 100) + "." +
          std::to_string(1 + seed % 250) + ".")
    , shape_(shape)
{
}

std::string address_plan::address(unsigned last_octet, unsigned port) const
{
    return prefix_ + std::to_string(last_octet) + ":" + std::to_string(port);
}

std::string address_plan::advertised(unsigned index, unsigned port) const
{
    return address(index + 1, port);
}

std::string address_plan::listening(unsigned index, unsigned port) const
{
    return address(index + 1 + listen_offset, port);
}

std::string
address_plan::advertised_for(const std::string& listen_address) const
{
    for (unsigned i = 0; i < node_count(shape_); ++i)
        if (listening(i, frontend_port) == listen_address)
            return advertised(i, frontend_port);
    return listen_address;
}

std::string address_plan::upstream_advertised(unsigned index) const
{
    return address(first_upstream_octet + index, upstream_port);
}

std::string address_plan::upstream_listening(unsigned index) const
{
    return address(first_upstream_octet + listen_offset + index, upstream_port);
}

std::string address_plan::cloud_api() const
{
    return address(cloud_api_octet, cloud_api_port);
}

test_cluster::test_cluster(
    unsigned seed, std::string folder, cluster_shape given)
    : shape(given)
    , plan(seed, given)
    , folder_(std::move(folder))
    , next_spare_(given.control_nodes + given.entries)
{
    files::create_directories(folder_);
    for (unsigned i = 0; i < shape.control_nodes; ++i)
        control_nodes_.push_back(i);
    for (unsigned i = 0; i < node_count(shape); ++i)
    {
        message_links_.push_back(std::make_unique<link>(
            plan.advertised(i, message_port), plan.listening(i, message_port)));
        const unsigned port = is_control(i) ? api_port : frontend_port;
        service_links_.push_back(std::make_unique<link>(
            plan.advertised(i, port), plan.listening(i, port)));
        processes_.push_back(nullptr);
    }
    for (unsigned i = 0; i < next_spare_; ++i)
        start(i);
    first_start_ = false;
}

test_cluster::~test_cluster() = default;

std::string test_cluster::data_folder(unsigned index) const
{
    return folder_ + "/data-" + std::to_string(index);
}

std::string test_cluster::path_prefix(unsigned index) const
{
    return folder_ + "/node-" + std::to_string(index);
}

std::vector<unsigned> test_cluster::control_nodes() const
{
    const std::lock_guard lock(mutex_);
    return control_nodes_;
}

std::vector<unsigned> test_cluster::entries() const
{
    std::vector<unsigned> all;
    for (unsigned i = 0; i < shape.entries; ++i)
        all.push_back(shape.control_nodes + i);
    return all;
}

std::string test_cluster::node_settings(unsigned index) const
{
    json settings{
        {"nodeName", "node-" + std::to_string(index)},
        {"serves",
         is_control(index) ? json{"controller", "registry"} : json{"edge"}},
        {"zone", failure_domains[index % failure_domains.size()]},
        {"region", "loopback"},
        {"internalPorts", {message_port, message_port + 15}},
        {"bootstrap", first_start_},
        {"limits", {{"maxFds", 4096}}},
        {"heartbeatMs", 600},
        {"faultTolerance", {{"machineCount", 1}}},
        {"bounds", bounds_settings()},
        {"cloudApi",
         {{"address", plan.cloud_api()},
          {"duties", {"metering", "autoscale"}}}}};
    const std::string message_address = plan.advertised(index, message_port);
    settings["ip"] = message_address.substr(0, message_address.find(':'));
    constexpr std::size_t max_seeds = 3;
    std::vector<unsigned> seeds = control_nodes();
    seeds.resize(std::min(seeds.size(), max_seeds));
    for (const unsigned each : seeds)
        settings["seedNodes"].push_back(plan.advertised(each, api_port));
    if (is_control(index))
    {
        settings["listen"] = {
            {"controlPlane", plan.listening(index, api_port)}};
        settings["dataDir"] = data_folder(index);
    }
    else
        settings["listen"] = {
            {"frontend", plan.listening(index, frontend_port)},
            {"readiness", plan.listening(index, readiness_port)}};
    return settings.dump(1);
}

void test_cluster::start(unsigned index)
{
    write_settings(index);
    if (is_control(index))
        files::create_directories(data_folder(index));
    std::vector<std::string> variables{
        "BERGAMOTUSHER_BOOT=" + path_prefix(index) + ".json",
        "BERGAMOTUSHER_PEER_BIND=" + plan.listening(index, message_port)};
    if (shape.faulty_environment)
    {
        variables.push_back(
            std::string("LD_PRELOAD=") + BERGAMOTUSHER_BIN +
            "/libfaulty_environment.so");
        variables.push_back(
            "FAULTY_ENVIRONMENT_FLAGS=" + path_prefix(index) + ".fault-");
        variables.push_back("FAULTY_ENVIRONMENT_DISK=" + data_folder(index));
    }
    // Another build's program shows how an earlier version behaves.
    const char* program = std::getenv("BERGAMOTUSHER_SOAK_PROGRAM");
    const std::lock_guard lock(process_mutex_);
    processes_[index] = std::make_unique<child>(
        program != nullptr
            ? std::string(program)
            : std::string(BERGAMOTUSHER_BIN) + "/bergamotusherd_platform",
        std::vector<std::string>{},
        path_prefix(index) + ".log",
        std::move(variables));
}

void test_cluster::write_settings(unsigned index) const
{
    const std::string path = path_prefix(index) + ".json";
    std::ofstream(path + ".new") << node_settings(index);
    files::rename(path + ".new", path);
}

child& test_cluster::process(unsigned index)
{
    return *processes_[index];
}

void test_cluster::kill(unsigned index)
{
    const std::lock_guard lock(process_mutex_);
    process(index).kill();
}

void test_cluster::send(unsigned index, int signal)
{
    const std::lock_guard lock(process_mutex_);
    process(index).send(signal);
}

std::chrono::nanoseconds test_cluster::processor_time(unsigned index)
{
    const std::lock_guard lock(process_mutex_);
    clockid_t clock{};
    timespec used{};
    if (!process(index).running() ||
        ::clock_getcpuclockid(process(index).id(), &clock) != 0 ||
        ::clock_gettime(clock, &used) != 0)
        return std::chrono::nanoseconds(0);
    return std::chrono::seconds(used.tv_sec) +
           std::chrono::nanoseconds(used.tv_nsec);
}

void test_cluster::restart_with_empty_disk(unsigned index)
{
    kill(index);
    files::remove_all(data_folder(index));
    start(index);
}

void test_cluster::remove(unsigned index)
{
    {
        const std::lock_guard lock(mutex_);
        control_nodes_.erase(
            std::remove(control_nodes_.begin(), control_nodes_.end(), index),
            control_nodes_.end());
    }
    kill(index);
    files::remove_all(data_folder(index));
}

unsigned test_cluster::start_spare()
{
    const unsigned index = next_spare_++;
    start(index);
    const std::lock_guard lock(mutex_);
    control_nodes_.push_back(index);
    return index;
}

void test_cluster::change_settings(unsigned index)
{
    write_settings(index);
    send(index, SIGHUP);
}

void test_cluster::fill_disk(unsigned index, bool full)
{
    set_flag(path_prefix(index) + ".fault-full", full);
}

void test_cluster::stall_disk(unsigned index, bool stalled)
{
    set_flag(path_prefix(index) + ".fault-stalled", stalled);
}

void test_cluster::step_clock(unsigned index, std::chrono::milliseconds by)
{
    const std::string path = path_prefix(index) + ".fault-clock";
    std::ofstream(path + ".new") << by.count();
    files::rename(path + ".new", path);
}

link& test_cluster::message_link(unsigned index)
{
    return *message_links_[index];
}

link& test_cluster::service_link(unsigned index)
{
    return *service_links_[index];
}

std::string test_cluster::control_address(unsigned index) const
{
    return plan.advertised(index, api_port);
}

std::string test_cluster::frontend_address(unsigned index) const
{
    return plan.advertised(index, frontend_port);
}

std::string test_cluster::entry_address(unsigned index) const
{
    return plan.listening(index, frontend_port);
}

bool test_cluster::is_ready(unsigned index) const
{
    return send_once(
               plan.listening(index, readiness_port), "GET", "/readyz", "")
               .status == 200;
}

bool test_cluster::all_entries_ready() const
{
    const std::vector<unsigned> all = entries();
    return std::all_of(
        all.begin(),
        all.end(),
        [this](unsigned entry) { return is_ready(entry); });
}

std::vector<std::string> initial_api_keys()
{
    std::vector<std::string> keys;
    for (const char* account : {"acme", "zeta"})
        for (int i = 1; i <= 6; ++i)
            keys.push_back(std::string(account) + "-" + std::to_string(i));
    return keys;
}

std::string make_configuration(
    std::uint64_t version, const std::vector<std::string>& revoked)
{
    json accounts;
    for (const std::string name : {"acme", "zeta"})
    {
        json keys = json::array();
        for (const std::string& key : initial_api_keys())
            if (key.compare(0, name.size(), name) == 0 &&
                std::find(revoked.begin(), revoked.end(), key) == revoked.end())
                keys.push_back(key);
        accounts.push_back({{"name", name}, {"apiKeys", keys}});
    }
    json services;
    for (const char* name : {"desk", "llm"})
        services.push_back(
            {{"name", name},
             {"healthPath", "/healthz"},
             {"maxConnections", 400},
             {"protocol", "h1"}});
    return json{
        {"version", version},
        {"routes",
         {make_route("/orders/", "unsafe", "desk", 2),
          make_route("/lookup/", "safe", "desk", 2),
          make_route("/chat/", "streaming", "llm", 2)}},
        {"services", services},
        {"limits",
         {{"maxHeaderBytes", 16384},
          {"maxBodyBytes", 1048576},
          {"headerTimeoutMs", 3000},
          {"idleTimeoutMs", 15000}}},
        {"tenants", accounts}}
        .dump();
}

} // namespace soak
