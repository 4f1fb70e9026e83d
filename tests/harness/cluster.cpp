#include "harness/cluster.hpp"

#include "base/digest.hpp"

#include <nlohmann/json.hpp>

#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <thread>
#include <unistd.h>

namespace bergamotusher::tests
{

namespace fs = std::filesystem;
using nlohmann::json;

namespace
{

constexpr unsigned entry_port = 8080;
constexpr unsigned admin_port = 9080;
constexpr unsigned peer_port = 7080;
// The port of a link is this plus the index of the daemon that connects.
constexpr unsigned first_link_port = 7100;
constexpr unsigned upstream_port = 8100;
constexpr unsigned cloud_port = 8300;
constexpr auto poll_interval = std::chrono::milliseconds(20);
const std::string operator_token = "operator-token";
const std::string upstream_token = "upstream-token";

std::string program_path(const char* name)
{
    return std::string(BERGAMOTUSHER_BIN) + "/" + name;
}

std::string domain_of(unsigned index)
{
    static const std::vector<std::string> names{"suva", "nadi", "lautoka"};
    return names[index % names.size()];
}

std::string node_name(unsigned index)
{
    return "node-" + std::to_string(index + 1);
}

std::string account_json(const std::string& key)
{
    return json{
        {"key_digest", sha256_hex(key)},
        {"requests_per_second", 10'000},
        {"tokens_per_second", 10'000'000}}
        .dump();
}

unsigned next_cluster_number()
{
    static unsigned number = 0;
    return ++number;
}

} // namespace

const std::string cluster::key = "caller-key";
const std::string cluster::other_key = "other-caller-key";

cluster::cluster(unsigned nodes, bool with_links)
    : nodes_(nodes), cluster_number_(next_cluster_number())
{
    folder_ = (fs::temp_directory_path() /
               ("bergamotusher-test-" + std::to_string(::getpid()) + "-" +
                std::to_string(cluster_number_)))
                  .string();
    fs::remove_all(folder_);
    fs::create_directories(folder_);
    std::ofstream(folder_ + "/operator") << operator_token << "\n";
    std::ofstream(folder_ + "/upstream") << upstream_token << "\n";
    cloud_.emplace_back(
        program_path("fake_cloud"),
        std::vector<std::string>{"--address=" + address(99, cloud_port)},
        folder_ + "/cloud.log");
    if (with_links)
        create_links();
    for (unsigned i = 0; i < nodes_; ++i)
        start_node(i);
    set_test_configuration();
}

cluster::~cluster()
{
    upstreams_.clear();
    daemons_.clear();
    cloud_.clear();
    std::error_code ignored;
    if (std::getenv("BERGAMOTUSHER_KEEP_LOGS") == nullptr)
        fs::remove_all(folder_, ignored);
}

// Gives each process an IP address of its own. The process id of the test
// program and the number of the cluster in it keep concurrent clusters apart.
std::string cluster::address(unsigned index, unsigned port) const
{
    const unsigned id = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(1 + id % 250) + "." +
           std::to_string((id / 250 + cluster_number_) % 250) + "." +
           std::to_string(index + 1) + ":" + std::to_string(port);
}

std::string cluster::entry(unsigned index) const
{
    return address(index, entry_port);
}

std::string cluster::admin(unsigned index) const
{
    return address(index, admin_port);
}

std::vector<std::string> cluster::entries(unsigned first) const
{
    std::vector<std::string> result;
    for (unsigned i = 0; i < nodes_; ++i)
        result.push_back(entry((first + i) % nodes_));
    return result;
}

// A link listens at the address of its target, on a port of its own for each
// source, because daemons announce the IP address from their peer list to
// clients and operators.
void cluster::create_links()
{
    for (unsigned from = 0; from < nodes_; ++from)
        for (unsigned to = 0; to < nodes_; ++to)
            if (from != to)
                links_[{from, to}] = std::make_unique<link>(
                    address(to, first_link_port + from),
                    address(to, peer_port));
}

void cluster::isolate(unsigned index)
{
    for (auto& [ends, peer_link] : links_)
        if (ends.first == index || ends.second == index)
            peer_link->cut();
}

void cluster::slow_down(unsigned index, std::chrono::milliseconds by)
{
    for (auto& [ends, peer_link] : links_)
        if (ends.first == index || ends.second == index)
            peer_link->slow_down(by);
}

void cluster::rejoin(unsigned index)
{
    for (auto& [ends, peer_link] : links_)
        if (ends.first == index || ends.second == index)
            peer_link->mend();
}

std::string cluster::peer_list(unsigned source) const
{
    std::string text;
    for (unsigned i = 0; i < nodes_; ++i)
    {
        const unsigned port = links_.count({source, i}) > 0
                                  ? first_link_port + source
                                  : peer_port;
        text += (i == 0 ? "" : ",") + node_name(i) + "=" + address(i, port) +
                "/" + std::to_string(entry_port) + "/" +
                std::to_string(admin_port) + "@" + domain_of(i);
    }
    return text;
}

std::string cluster::admin_list() const
{
    std::string text;
    for (unsigned i = 0; i < nodes_; ++i)
        text += (i == 0 ? "" : ",") + admin(i);
    return text;
}

void cluster::start_node(unsigned index)
{
    const std::string name = node_name(index);
    child process(
        program_path("bergamotusherd"),
        {"--node-id=" + name,
         "--failure-domain=" + domain_of(index),
         "--entry-address=" + entry(index),
         "--admin-address=" + admin(index),
         "--peer-address=" + address(index, peer_port),
         "--peers=" + peer_list(index),
         "--data-dir=" + folder_ + "/" + name,
         "--cloud-url=" + address(99, cloud_port),
         "--admin-token-file=" + folder_ + "/operator",
         "--upstream-token-file=" + folder_ + "/upstream"},
        folder_ + "/" + name + ".log");
    if (index < daemons_.size())
        daemons_[index] = std::move(process);
    else
        daemons_.push_back(std::move(process));
}

child& cluster::node(unsigned index)
{
    return daemons_.at(index);
}

child& cluster::start_upstream(
    const std::string& program_name,
    const std::string& name,
    std::vector<std::string> flags)
{
    const std::string listen_address =
        address(100 + next_upstream_++, upstream_port);
    std::vector<std::string> process_flags{
        "--id=" + name,
        "--address=" + listen_address,
        "--admins=" + admin_list(),
        "--token-file=" + folder_ + "/upstream"};
    process_flags.insert(process_flags.end(), flags.begin(), flags.end());
    upstream_addresses_[name] = listen_address;
    upstreams_.erase(name);
    upstreams_.emplace(
        name,
        child(
            program_path(program_name.c_str()),
            process_flags,
            folder_ + "/" + name + ".log"));
    const auto is_listed = [&](unsigned index)
    {
        const auto answer = send_admin_request(index, "GET", "/v1/upstreams");
        return answer.body.find("\"address\":\"" + listen_address + "\"") !=
               std::string::npos;
    };
    for (unsigned i = 0; i < nodes_; ++i)
        if (daemons_[i].running() && !wait_until([&] { return is_listed(i); }))
            throw std::runtime_error(
                name + " is not listed by every running daemon");
    return upstreams_.at(name);
}

child&
cluster::start_engine(const std::string& name, std::vector<std::string> flags)
{
    return start_upstream("fake_engine", name, std::move(flags));
}

child&
cluster::start_desk(const std::string& name, std::vector<std::string> flags)
{
    flags.push_back("--orders=" + folder_ + "/orders");
    return start_upstream("fake_desk", name, std::move(flags));
}

child& cluster::upstream(const std::string& name)
{
    return upstreams_.at(name);
}

std::string cluster::upstream_address(const std::string& name) const
{
    return upstream_addresses_.at(name);
}

void cluster::post_reclaim_notice(
    const std::string& instance, const std::string& domain, double seconds)
{
    client_request request;
    request.address = address(99, cloud_port);
    request.method = "POST";
    request.path = "/v1/notices";
    request.body = json{
        {"instance", instance},
        {"failure_domain", domain},
        {"time_left_s",
         seconds}}.dump();
    if (send_request(request).status != 201)
        throw std::runtime_error(
            "the fake cloud did not accept the reclaim notice");
}

client_response cluster::send_admin_request(
    unsigned index,
    const std::string& method,
    const std::string& path,
    const std::string& body,
    const std::map<std::string, std::string>& headers)
{
    client_request request;
    request.address = admin(index);
    request.method = method;
    request.path = path;
    request.key = operator_token;
    request.body = body;
    request.headers = headers;
    request.seconds = 6;
    return send_request(request);
}

std::uint64_t cluster::put(const std::string& path, const std::string& body)
{
    using clock = std::chrono::steady_clock;
    const auto began_at = clock::now();
    const std::string idempotency_key =
        "put-" + std::to_string(++next_put_number_);
    std::uint64_t revision = 0;
    std::string answers;
    const auto try_put = [&]
    {
        for (unsigned i = 0; i < nodes_; ++i)
        {
            if (!daemons_[i].running())
                continue;
            const auto answer = send_admin_request(
                i,
                "PUT",
                path,
                body,
                {{"If-Match", std::to_string(revision)},
                 {"Idempotency-Key",
                  idempotency_key + "-" + std::to_string(revision)}});
            const auto age =
                std::chrono::duration_cast<std::chrono::milliseconds>(
                    clock::now() - began_at);
            answers += "\n" + std::to_string(age.count()) +
                       " ms: " + node_name(i) + ", If-Match " +
                       std::to_string(revision) + ": " +
                       std::to_string(answer.status) + " " + answer.body;
            const json value = json::parse(answer.body, nullptr, false);
            if (value.is_object() && value.contains("revision"))
                revision = value["revision"].get<std::uint64_t>();
            if (answer.status == 200 || answer.status == 201)
                return true;
            if (answer.status == 412)
                return false;
        }
        return false;
    };
    if (!wait_until(try_put))
        throw std::runtime_error(
            "configuration not accepted: " + path + answers);
    return revision;
}

void cluster::set_test_configuration()
{
    put("/v1/config/classes/chat", R"({"first_token_ms":1600})");
    put("/v1/config/services/assistant-llm",
        R"({"kind":"engine","default_class":"chat"})");
    put("/v1/config/services/order-desk",
        R"({"kind":"plain","default_class":"chat",
            "routes":[{"path_prefix":"/orders","repeatable":false}]})");
    put("/v1/config/accounts/binder", account_json(key));
    const auto last_revision =
        put("/v1/config/accounts/other", account_json(other_key));
    for (unsigned i = 0; i < nodes_; ++i)
    {
        const auto is_in_force = [&]
        {
            const json status = json::parse(
                send_admin_request(i, "GET", "/v1/status").body,
                nullptr,
                false);
            return status.is_object() && status.value("ready", false) &&
                   status.value("revision", 0UL) >= last_revision;
        };
        if (!wait_until(is_in_force))
            throw std::runtime_error(
                "test configuration is not in force at " + node_name(i));
    }
}

std::string cluster::run_ctl(std::vector<std::string> arguments)
{
    const std::string output = folder_ + "/ctl.log";
    fs::remove(output);
    arguments.push_back("--token-file=" + folder_ + "/operator");
    child(program_path("bergamotctl"), arguments, output).wait(10);
    std::ifstream in(output);
    return {std::istreambuf_iterator<char>(in), {}};
}

std::vector<std::string> cluster::executed_orders() const
{
    std::ifstream in(folder_ + "/orders");
    std::vector<std::string> lines;
    for (std::string line; std::getline(in, line);)
        lines.push_back(line);
    return lines;
}

bool cluster::wait_until(const std::function<bool()>& condition, double seconds)
{
    const auto deadline = std::chrono::steady_clock::now() +
                          std::chrono::duration<double>(seconds);
    while (!condition())
    {
        if (std::chrono::steady_clock::now() > deadline)
            return false;
        std::this_thread::sleep_for(poll_interval);
    }
    return true;
}

} // namespace bergamotusher::tests
