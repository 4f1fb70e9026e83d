#include "soak/fleet.hpp"

#include "soak/wire.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
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
constexpr unsigned front_port = 8221;
constexpr unsigned readiness_port = 8224;
constexpr unsigned upstream_port = 8080;
constexpr unsigned cloud_port = 8225;
/// A node listens on an address so far above the one that others know.
constexpr unsigned own_offset = 100;
constexpr unsigned first_upstream = 60;
constexpr unsigned cloud_number = 250;

const std::vector<std::string> domains{"east", "north", "west"};

json bounds()
{
    return {
        {"graceS", grace_s},
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

json route(
    const std::string& prefix,
    const std::string& type,
    const std::string& service,
    int attempts)
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
        {"maxAttempts", attempts},
        {"public", false},
        {"resumable", type == "streaming"}};
}

} // namespace

address_plan::address_plan(unsigned run)
    : prefix_(
          "127." + std::to_string(80 + ::getpid() % 100) + "." +
          std::to_string(1 + run % 250) + ".")
{
}

std::string address_plan::address(unsigned last, unsigned port) const
{
    return prefix_ + std::to_string(last) + ":" + std::to_string(port);
}

std::string address_plan::known(unsigned index, unsigned port) const
{
    return address(index + 1, port);
}

std::string address_plan::own(unsigned index, unsigned port) const
{
    return address(index + 1 + own_offset, port);
}

std::string address_plan::known_for(const std::string& own_address) const
{
    for (unsigned i = 0; i < all_nodes; ++i)
        if (own(i, front_port) == own_address)
            return known(i, front_port);
    return own_address;
}

std::string address_plan::upstream_known(unsigned index) const
{
    return address(first_upstream + index, upstream_port);
}

std::string address_plan::upstream_own(unsigned index) const
{
    return address(first_upstream + own_offset + index, upstream_port);
}

std::string address_plan::cloud() const
{
    return address(cloud_number, cloud_port);
}

fleet::fleet(unsigned run, std::string folder)
    : plan(run), folder_(std::move(folder))
{
    files::create_directories(folder_);
    for (unsigned i = 0; i < all_nodes; ++i)
    {
        messages_.push_back(std::make_unique<link>(
            plan.known(i, message_port), plan.own(i, message_port)));
        const unsigned port = is_control(i) ? api_port : front_port;
        faces_.push_back(
            std::make_unique<link>(plan.known(i, port), plan.own(i, port)));
        processes_.push_back(nullptr);
    }
    for (unsigned i = 0; i < all_nodes; ++i)
        start(i);
    first_start_ = false;
}

fleet::~fleet() = default;

std::string fleet::data_of(unsigned index) const
{
    return folder_ + "/data-" + std::to_string(index);
}

std::string fleet::settings_of(unsigned index) const
{
    json settings{
        {"nodeName", "node-" + std::to_string(index)},
        {"serves",
         is_control(index) ? json{"controller", "registry"} : json{"edge"}},
        {"zone", domains[index % domains.size()]},
        {"region", "loopback"},
        {"internalPorts", {message_port, message_port + 15}},
        {"bootstrap", first_start_},
        {"limits", {{"maxFds", 4096}}},
        {"heartbeatMs", 600},
        {"faultTolerance", {{"machineCount", 1}}},
        {"bounds", bounds()},
        {"cloudApi",
         {{"address", plan.cloud()}, {"duties", {"metering", "autoscale"}}}}};
    const std::string known = plan.known(index, message_port);
    settings["ip"] = known.substr(0, known.find(':'));
    for (unsigned i = 0; i < control_nodes; ++i)
        settings["seedNodes"].push_back(plan.known(i, api_port));
    if (is_control(index))
    {
        settings["listen"] = {{"controlPlane", plan.own(index, api_port)}};
        settings["dataDir"] = data_of(index);
    }
    else
        settings["listen"] = {
            {"frontend", plan.own(index, front_port)},
            {"readiness", plan.own(index, readiness_port)}};
    return settings.dump(1);
}

void fleet::start(unsigned index)
{
    const std::string name = folder_ + "/node-" + std::to_string(index);
    std::ofstream(name + ".json") << settings_of(index);
    if (is_control(index))
        files::create_directories(data_of(index));
    processes_[index] = std::make_unique<child>(
        std::string(BERGAMOTUSHER_BIN) + "/bergamotusherd_platform",
        std::vector<std::string>{},
        name + ".log",
        std::vector<std::string>{
            "BERGAMOTUSHER_BOOT=" + name + ".json",
            "BERGAMOTUSHER_PEER_BIND=" + plan.own(index, message_port)});
}

child& fleet::process(unsigned index)
{
    return *processes_[index];
}

void fleet::lose_disk(unsigned index)
{
    process(index).kill();
    files::remove_all(data_of(index));
    start(index);
}

link& fleet::messages(unsigned index)
{
    return *messages_[index];
}

link& fleet::face(unsigned index)
{
    return *faces_[index];
}

std::string fleet::api(unsigned index) const
{
    return plan.known(index, api_port);
}

std::string fleet::front(unsigned index) const
{
    return plan.known(index, front_port);
}

bool fleet::is_ready(unsigned index) const
{
    return ask_once(plan.own(index, readiness_port), "GET", "/readyz", "")
               .status == 200;
}

std::vector<std::string> all_keys()
{
    std::vector<std::string> keys;
    for (const char* account : {"acme", "zeta"})
        for (int i = 1; i <= 6; ++i)
            keys.push_back(std::string(account) + "-" + std::to_string(i));
    return keys;
}

std::string
configuration(std::uint64_t version, const std::vector<std::string>& revoked)
{
    json accounts;
    for (const std::string name : {"acme", "zeta"})
    {
        json keys = json::array();
        for (const std::string& key : all_keys())
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
         {route("/orders/", "unsafe", "desk", 2),
          route("/lookup/", "safe", "desk", 2),
          route("/chat/", "streaming", "llm", 2)}},
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
