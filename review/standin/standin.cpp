#include "standin.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <iomanip>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace standin
{

using nlohmann::json;

namespace
{

using steady = std::chrono::steady_clock;

constexpr double heartbeat_s = 1.2;
constexpr unsigned message_port = 7600;
constexpr unsigned first_worker_octet = 100;
constexpr unsigned platform_octet = 250;

steady::time_point started_at()
{
    static const steady::time_point value = steady::now();
    return value;
}

const steady::time_point program_start = started_at();

sockaddr_in socket_address(const address& of)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(of.port));
    inet_pton(AF_INET, of.ip.c_str(), &result.sin_addr);
    return result;
}

int listen_at(const address& at)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in target = socket_address(at);
    if (::bind(
            socket,
            reinterpret_cast<const sockaddr*>(&target),
            sizeof target) != 0 ||
        ::listen(socket, 256) != 0)
    {
        ::close(socket);
        return -1;
    }
    return socket;
}

bool wait_for(int socket, short events, double until_s)
{
    const double left = until_s - now_s();
    if (left <= 0)
        return false;
    pollfd item{socket, events, 0};
    return ::poll(&item, 1, static_cast<int>(left * 1000) + 1) > 0;
}

std::string lower(std::string text)
{
    std::transform(
        text.begin(),
        text.end(),
        text.begin(),
        [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

std::string trim(const std::string& text)
{
    const auto first = text.find_first_not_of(" \t\r");
    if (first == std::string::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t\r") - first + 1);
}

/// Parses one message at the start of `buffer` and removes it; false if it is
/// not complete yet.
bool take_message(std::string& buffer, http_message& message)
{
    const auto head_end = buffer.find("\r\n\r\n");
    if (head_end == std::string::npos)
        return false;
    std::istringstream head(buffer.substr(0, head_end));
    std::string line;
    std::getline(head, line);
    std::istringstream first(line);
    std::string word;
    first >> word;
    message = {};
    if (word.rfind("HTTP/", 0) == 0)
        first >> message.status;
    else
    {
        message.method = word;
        first >> message.target;
    }
    while (std::getline(head, line))
    {
        const auto colon = line.find(':');
        if (colon != std::string::npos)
            message.fields[lower(line.substr(0, colon))] =
                trim(line.substr(colon + 1));
    }
    const std::size_t body_at = head_end + 4;
    if (lower(message.field("transfer-encoding")) == "chunked")
    {
        std::size_t at = body_at;
        while (true)
        {
            const auto size_end = buffer.find("\r\n", at);
            if (size_end == std::string::npos)
                return false;
            const std::size_t size =
                std::strtoul(buffer.c_str() + at, nullptr, 16);
            if (buffer.size() < size_end + 2 + size + 2)
                return false;
            message.body += buffer.substr(size_end + 2, size);
            at = size_end + 2 + size + 2;
            if (size == 0)
                break;
        }
        buffer.erase(0, at);
        message.complete = true;
        return true;
    }
    const std::size_t length =
        std::strtoul(message.field("content-length").c_str(), nullptr, 10);
    if (buffer.size() < body_at + length)
        return false;
    message.body = buffer.substr(body_at, length);
    buffer.erase(0, body_at + length);
    message.complete = true;
    return true;
}

bool send_all(int socket, const std::string& bytes, double until_s)
{
    std::size_t sent = 0;
    while (sent < bytes.size())
    {
        const ssize_t written = ::send(
            socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (written > 0)
            sent += static_cast<std::size_t>(written);
        else if (errno != EAGAIN || !wait_for(socket, POLLOUT, until_s))
            return false;
    }
    return true;
}

json bounds()
{
    return {{"seedLagS", 3},         {"addrReuseS", 2},
            {"contactMs", 3000},     {"ackTimeoutMs", 4000},
            {"catchUpS", 4},         {"drainMs", 2000},
            {"graceS", 8},           {"lossSlackMs", 200},
            {"configApplyMs", 2000}, {"rollbackSlackMs", 250},
            {"outerMs", 5000},       {"revokeFailClosed", true},
            {"revokeMs", 5000},      {"retryBudgetRatio", 0.2},
            {"retryWindowS", 10},    {"retryMinExtra", 58},
            {"quotaWindowS", 8},     {"quotaOvershoot", 0.1},
            {"quotaSlack", 110000},  {"fencingEnforced", true},
            {"leaseMs", 3000},       {"thawSlackMs", 300},
            {"usageWindowS", 5},     {"usageError", 0.05},
            {"usageDelayS", 10},     {"canaryShare", 0.1},
            {"canarySlack", 50},     {"rollbackMs", 5000},
            {"recoveryS", 12},       {"iterationMs", 120},
            {"retryAfterS", 9.6},    {"ttl_max_s", 5}};
}

} // namespace

double now_s()
{
    return std::chrono::duration<double>(steady::now() - program_start).count();
}

void sleep_s(double seconds)
{
    if (seconds > 0)
        std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

bool has_trouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

record_file::record_file(const std::string& path) : out_(path) {}

void record_file::line(const std::string& text)
{
    const std::lock_guard lock(mutex_);
    out_ << std::fixed << std::setprecision(3) << now_s() << " " << text
         << std::endl;
}

std::string http_message::field(const std::string& name) const
{
    const auto found = fields.find(name);
    return found == fields.end() ? std::string() : found->second;
}

address parse_address(const std::string& text)
{
    const auto colon = text.find(':');
    return {
        text.substr(0, colon),
        static_cast<unsigned>(
            std::strtoul(text.c_str() + colon + 1, nullptr, 10))};
}

connection::~connection()
{
    close();
}

void connection::close()
{
    if (socket_ >= 0)
        ::close(socket_);
    socket_ = -1;
    buffer_.clear();
}

http_message connection::exchange(
    const address& to,
    const std::string& method,
    const std::string& target,
    const std::map<std::string, std::string>& fields,
    const std::string& body,
    double timeout_s)
{
    const double until = now_s() + timeout_s;
    if (socket_ >= 0 && peer_ != to.text())
        close();
    if (socket_ < 0)
    {
        peer_ = to.text();
        socket_ =
            ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        const int on = 1;
        ::setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const sockaddr_in peer = socket_address(to);
        int error = 0;
        if (::connect(
                socket_,
                reinterpret_cast<const sockaddr*>(&peer),
                sizeof peer) != 0)
        {
            error = errno;
            if (error == EINPROGRESS &&
                wait_for(socket_, POLLOUT, std::min(until, now_s() + 1)))
            {
                socklen_t size = sizeof error;
                ::getsockopt(socket_, SOL_SOCKET, SO_ERROR, &error, &size);
            }
        }
        if (error != 0)
        {
            close();
            return {};
        }
    }
    std::string bytes = method + " " + target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : fields)
        bytes.append(name).append(": ").append(value).append("\r\n");
    if (!body.empty() || method != "GET")
        bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    bytes += "\r\n" + body;
    if (!send_all(socket_, bytes, until))
    {
        close();
        return {};
    }
    http_message answer;
    while (!take_message(buffer_, answer))
    {
        std::string piece(16384, '\0');
        const bool ready = wait_for(socket_, POLLIN, until);
        const ssize_t size =
            ready ? ::recv(socket_, piece.data(), piece.size(), 0) : 0;
        if (size <= 0)
        {
            close();
            answer.complete = false;
            return answer;
        }
        buffer_.append(piece, 0, static_cast<std::size_t>(size));
    }
    if (lower(answer.field("connection")) == "close")
        close();
    return answer;
}

http_message call(
    const address& to,
    const std::string& method,
    const std::string& target,
    const std::string& body,
    double timeout_s)
{
    connection line;
    return line.exchange(
        to,
        method,
        target,
        {{"Host", to.text()},
         {"Content-Type", "application/json"},
         {"Connection", "close"}},
        body,
        timeout_s);
}

struct server::state
{
    handler handle;
    int listening = -1;
    std::atomic<bool> stopped{false};
    std::mutex mutex;
    std::set<int> sockets;
};

namespace
{

template<class State>
void serve_connection(const std::shared_ptr<State>& owner, int socket)
{
    std::string buffer;
    bool open = true;
    while (open && !owner->stopped)
    {
        http_message request;
        while (open && !take_message(buffer, request))
        {
            std::string piece(16384, '\0');
            const ssize_t size = ::recv(socket, piece.data(), piece.size(), 0);
            open = size > 0;
            if (open)
                buffer.append(piece, 0, static_cast<std::size_t>(size));
        }
        if (!open || owner->stopped)
            break;
        open = send_all(socket, owner->handle(request), now_s() + 10) &&
               lower(request.field("connection")) != "close";
    }
    const std::lock_guard lock(owner->mutex);
    owner->sockets.erase(socket);
    ::close(socket);
}

} // namespace

server::server(const address& at, handler handle)
    : state_(std::make_shared<state>())
{
    state_->handle = std::move(handle);
    state_->listening = listen_at(at);
    if (state_->listening < 0)
        throw std::runtime_error("cannot listen on " + at.text());
    std::thread(
        [owner = state_]
        {
            while (!owner->stopped)
            {
                const int socket =
                    ::accept4(owner->listening, nullptr, nullptr, SOCK_CLOEXEC);
                if (socket < 0)
                    return;
                const int on = 1;
                ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                {
                    const std::lock_guard lock(owner->mutex);
                    owner->sockets.insert(socket);
                }
                std::thread([owner, socket]
                            { serve_connection(owner, socket); })
                    .detach();
            }
        })
        .detach();
}

server::~server()
{
    stop();
}

void server::stop()
{
    if (state_->stopped.exchange(true))
        return;
    ::shutdown(state_->listening, SHUT_RDWR);
    ::close(state_->listening);
    const std::lock_guard lock(state_->mutex);
    for (const int socket : state_->sockets)
        ::shutdown(socket, SHUT_RDWR);
}

std::string make_answer(
    int status,
    const std::map<std::string, std::string>& fields,
    const std::string& body)
{
    std::string bytes = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
    for (const auto& [name, value] : fields)
        bytes.append(name).append(": ").append(value).append("\r\n");
    bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    return bytes + body;
}

process::process(
    const std::string& program,
    const std::string& settings_path,
    const std::string& log_path)
{
    const std::string boot = "BERGAMOTUSHER_BOOT=" + settings_path;
    std::vector<std::string> variables{boot};
    for (const char* name : {"PATH", "HOME", "LANG"})
        if (const char* value = std::getenv(name))
            variables.push_back(std::string(name) + "=" + value);
    std::vector<char*> environment;
    environment.reserve(variables.size() + 1);
    for (std::string& each : variables)
        environment.push_back(each.data());
    environment.push_back(nullptr);
    const int log = ::open(
        log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    const pid_t parent = ::getpid();
    id_ = ::fork();
    if (id_ == 0)
    {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent)
            ::_exit(1);
        ::dup2(log, 1);
        ::dup2(log, 2);
        char* arguments[] = {const_cast<char*>(program.c_str()), nullptr};
        ::execve(program.c_str(), arguments, environment.data());
        ::_exit(127);
    }
    ::close(log);
}

process::~process()
{
    kill();
}

bool process::running()
{
    if (id_ < 0)
        return false;
    int status = 0;
    if (::waitpid(id_, &status, WNOHANG) != id_)
        return true;
    id_ = -1;
    return false;
}

void process::kill()
{
    if (!running())
        return;
    ::kill(id_, SIGKILL);
    int status = 0;
    ::waitpid(id_, &status, 0);
    id_ = -1;
}

deployment::deployment(const deployment_options& options, record_file& record)
    : options_(options), record_(record)
{
    std::string pattern =
        (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr)
        throw std::runtime_error("no temporary folder");
    folder_ = pattern;
    // Looks for a block of addresses on which the ports are free.
    std::mt19937 random(static_cast<unsigned>(::getpid()));
    for (int tries = 0; tries < 50 && port_ == 0; ++tries)
    {
        prefix_ = "127." + std::to_string(30 + random() % 200) + "." +
                  std::to_string(1 + random() % 250) + ".";
        const unsigned candidate = 20000 + random() % 10000;
        bool free = true;
        for (unsigned i = 0; i < machines() && free; ++i)
            for (const unsigned port :
                 {candidate, candidate + 1, candidate + 2, message_port})
            {
                const int socket = listen_at({ip(i), port});
                free = free && socket >= 0;
                if (socket >= 0)
                    ::close(socket);
            }
        if (free)
            port_ = candidate;
    }
    if (port_ == 0)
        throw std::runtime_error("no free ports");
    for (unsigned i = 0; i < options_.control_nodes; ++i)
        members_.push_back(i);
    processes_.resize(machines());
    platform_ = std::make_unique<server>(
        address{prefix_ + std::to_string(platform_octet), port_ + 3},
        [this](const http_message& request)
        {
            record_.line(
                "platform " + request.target + " fence " +
                request.field("bergamotusher-fencing-token") + " holder " +
                request.field("bergamotusher-duty-holder") + " " +
                request.body);
            return make_answer(200, {}, "{}");
        });
}

deployment::~deployment()
{
    kill_all();
    platform_->stop();
    if (std::getenv("KEEP_LOGS") == nullptr)
    {
        std::error_code ignored;
        std::filesystem::remove_all(folder_, ignored);
    }
    else
        record_.line("logs are in " + folder_);
}

std::string deployment::ip(unsigned index) const
{
    return prefix_ + std::to_string(1 + index);
}

std::string deployment::zone(unsigned number) const
{
    const char* const names[] = {"suva", "nadi", "lautoka"};
    return names[number % 3];
}

std::string deployment::data_folder(unsigned index) const
{
    return folder_ + "/data-" + std::to_string(index);
}

std::string deployment::settings(unsigned index, bool bootstrap) const
{
    const bool is_control = index < first_entry();
    json seeds = json::array();
    for (const unsigned each : seeds_)
        seeds.push_back(control_address(each).text());
    if (seeds_.empty())
        for (const address& each : control_addresses())
            if (seeds.size() < 3)
                seeds.push_back(each.text());
    json value{
        {"nodeName",
         (is_control ? "core-" : "edge-") + zone(index) + "-" +
             std::to_string(index)},
        {"role", is_control ? "control" : "entry"},
        {"machineClass", is_control ? "core" : "edge"},
        {"serves",
         is_control ? json::array({"controller", "registry"})
                    : json::array({"edge"})},
        {"ip", ip(index)},
        {"zone", zone(index)},
        {"region", "viti-levu"},
        {"zones",
         {{"suva", "viti-levu"},
          {"nadi", "viti-levu"},
          {"lautoka", "viti-levu"}}},
        {"internalPorts", {message_port, message_port + 15}},
        {"seedNodes", seeds},
        {"bootstrap", bootstrap},
        {"failureCounted", is_control},
        {"limits",
         {{"cpuQuota", 0.5},
          {"cpuCores", 1},
          {"memoryMb", 520},
          {"maxFds", 4096},
          {"linkMbps", 2000.0},
          {"diskMb", is_control ? 128 : 0}}},
        {"discovery", "registration"},
        {"entry", "registry"},
        {"heartbeatMs", 1200},
        {"invariants",
         {"base",
          "drain",
          "config",
          "cost",
          "retry",
          "recover",
          "engine",
          "stream",
          "tenants",
          "quota",
          "leader",
          "rollout"}},
        {"faultTolerance",
         {{"machineCount", 1}, {"zones", 0}, {"regionCount", 0}}},
        {"bounds", bounds()},
        {"configMode", "highest"},
        {"cloudApi",
         {{"address",
           prefix_ + std::to_string(platform_octet) + ":" +
               std::to_string(port_ + 3)},
          {"ratePerS", 50.0},
          {"duties", {"metering"}},
          {"dutyPerS", 50.0}}}};
    if (is_control)
    {
        const std::string at = ip(index) + ":" + std::to_string(port_);
        value["listen"] = {
            {"controlPlane", at},
            {"registry", ip(index) + ":" + std::to_string(port_ + 1)}};
        value["dataDir"] = data_folder(index);
    }
    else
    {
        value["listen"] = {
            {"frontend", ip(index) + ":" + std::to_string(port_ + 1)},
            {"readiness", ip(index) + ":" + std::to_string(port_ + 2)}};
        value["dataDir"] = nullptr;
    }
    return value.dump(1);
}

void deployment::start(unsigned index, bool bootstrap)
{
    const std::string base = folder_ + "/machine-" + std::to_string(index);
    std::ofstream(base + ".json") << settings(index, bootstrap);
    if (index < first_entry())
        std::filesystem::create_directories(data_folder(index));
    processes_[index] = std::make_unique<process>(
        "target/bergamotusherd_platform", base + ".json", base + ".log");
    record_.line(
        "machine " + std::to_string(index) + " (" + ip(index) + ") started");
}

void deployment::start_all()
{
    for (unsigned i = 0; i < machines(); ++i)
        if (i < options_.control_nodes || i >= first_entry())
            start(i, true);
}

void deployment::kill(unsigned index)
{
    if (processes_[index])
        processes_[index]->kill();
    record_.line("machine " + std::to_string(index) + " killed");
}

void deployment::empty_disk(unsigned index)
{
    std::filesystem::remove_all(data_folder(index));
    record_.line("machine " + std::to_string(index) + " lost its disk");
}

void deployment::kill_all()
{
    for (auto& each : processes_)
        if (each)
            each->kill();
}

bool deployment::all_run()
{
    return std::all_of(
        processes_.begin(),
        processes_.end(),
        [](const auto& each) { return !each || each->running(); });
}

std::vector<address> deployment::control_addresses() const
{
    const std::lock_guard lock(mutex_);
    std::vector<address> result;
    result.reserve(members_.size());
    for (const unsigned each : members_)
        result.push_back({ip(each), port_});
    return result;
}

address deployment::control_address(unsigned index) const
{
    return {ip(index), port_};
}

address deployment::frontend(unsigned entry) const
{
    return {ip(first_entry() + entry), port_ + 1};
}

bool deployment::is_ready(unsigned entry) const
{
    return call({ip(first_entry() + entry), port_ + 2}, "GET", "/readyz", "")
               .status == 200;
}

void deployment::set_members(std::vector<unsigned> members)
{
    const std::lock_guard lock(mutex_);
    members_ = std::move(members);
}

void deployment::set_seeds(std::vector<unsigned> seeds)
{
    seeds_ = std::move(seeds);
}

address deployment::worker_address(unsigned number) const
{
    return {prefix_ + std::to_string(first_worker_octet + number), port_ + 4};
}

void run_list::add(const run& value)
{
    const std::lock_guard lock(mutex_);
    runs_.push_back(value);
}

std::vector<run> run_list::all() const
{
    const std::lock_guard lock(mutex_);
    return runs_;
}

worker::worker(
    deployment& system,
    run_list& runs,
    record_file& record,
    worker_options options)
    : system_(system)
    , runs_(runs)
    , record_(record)
    , options_(std::move(options))
    , born_(unix_ms())
    , random_(std::random_device{}())
{
    server_ = std::make_unique<server>(
        options_.at,
        [this](const http_message& request) { return answer(request); });
    announcer_ = std::thread(
        [this]
        {
            while (!stopped_)
            {
                if (!silent_)
                    announce();
                for (double slept = 0; slept < heartbeat_s && !stopped_;
                     slept += 0.05)
                    sleep_s(0.05);
            }
        });
}

worker::~worker()
{
    stop();
    if (announcer_.joinable())
        announcer_.join();
}

std::string worker::answer(const http_message& request)
{
    const std::string attempt = request.field("bergamotusher-attempt-id");
    std::map<std::string, std::string> fields{
        {"Bergamotusher-Attempt-Id", attempt}};
    const std::string expected = request.field("bergamotusher-expect-instance");
    if (!expected.empty() && expected != options_.id)
    {
        fields["Bergamotusher-Not-Executed"] = "1";
        return make_answer(421, fields, "");
    }
    if (request.target == "/healthz")
        return make_answer(
            draining_ ? 503 : 200,
            {{"Bergamotusher-Instance-Id", options_.id}},
            "");
    if (running_ >= static_cast<int>(options_.slots))
    {
        fields["Bergamotusher-Not-Executed"] = "1";
        return make_answer(503, fields, "");
    }
    ++running_;
    bool fails = false;
    {
        const std::lock_guard lock(mutex_);
        fails = std::uniform_real_distribution<double>(0, 1)(random_) <
                options_.failing;
    }
    const int status = fails ? 500 : 200;
    runs_.add(
        {now_s(),
         attempt,
         options_.id,
         options_.version,
         request.target,
         status});
    record_.line(
        "run " + attempt + " at " + options_.id + " " + options_.version +
        " status " + std::to_string(status));
    sleep_s(options_.work_ms / 1000);
    --running_;
    fields["Bergamotusher-Server-Seal"] = options_.id + "." + attempt;
    fields["Bergamotusher-Server-Load"] = std::to_string(running_.load()) +
                                          ",0," +
                                          std::to_string(options_.slots);
    return make_answer(status, fields, "answer to " + attempt);
}

std::string worker::heartbeat_body()
{
    const std::lock_guard lock(mutex_);
    return json{
        {"service", options_.service},
        {"address", options_.at.text()},
        {"zone", options_.zone},
        {"version", options_.version},
        {"slots", options_.slots},
        {"state", draining_ ? "draining" : "ready"},
        {"coldRemainingMs", 0},
        {"born", born_},
        {"sequence", ++sequence_}}
        .dump();
}

double worker::send_to_any(const std::string& path, const std::string& body)
{
    std::vector<address> nodes = system_.control_addresses();
    {
        const std::lock_guard lock(mutex_);
        std::shuffle(nodes.begin(), nodes.end(), random_);
    }
    for (const address& node : nodes)
        if (call(node, "POST", path, body).status / 100 == 2)
            return now_s();
    return -1;
}

double worker::announce()
{
    return send_to_any("/Instances.Heartbeat/" + options_.id, heartbeat_body());
}

double worker::drain()
{
    draining_ = true;
    for (int tries = 0; tries < 5; ++tries)
        if (const double at = announce(); at >= 0)
        {
            record_.line("draining of " + options_.id + " acknowledged");
            return at;
        }
    return -1;
}

double worker::deregister()
{
    silent_ = true;
    std::string body;
    {
        const std::lock_guard lock(mutex_);
        body = json{{"born", born_}, {"sequence", ++sequence_}}.dump();
    }
    for (int tries = 0; tries < 5; ++tries)
        if (const double at =
                send_to_any("/Instances.Deregister/" + options_.id, body);
            at >= 0)
        {
            record_.line("leaving of " + options_.id + " acknowledged");
            return at;
        }
    return -1;
}

void worker::stop()
{
    if (stopped_.exchange(true))
        return;
    server_->stop();
    record_.line("worker " + options_.id + " exits");
}

client_set::client_set(
    deployment& system, record_file& record, client_options options)
    : system_(system), record_(record), options_(std::move(options))
{
    for (unsigned i = 0; i < options_.threads; ++i)
        threads_.emplace_back([this, i] { run_client(i); });
}

client_set::~client_set()
{
    stop();
}

void client_set::stop()
{
    stopped_ = true;
    for (std::thread& each : threads_)
        if (each.joinable())
            each.join();
}

std::vector<client_result> client_set::results() const
{
    const std::lock_guard lock(mutex_);
    return results_;
}

void client_set::run_client(unsigned number)
{
    std::mt19937_64 random(
        std::random_device{}() + (std::uint64_t{number} << 32U));
    connection line;
    std::vector<address> entries;
    double resolved_at = -10;
    constexpr double kept_s = 2;
    const double interval =
        static_cast<double>(options_.threads) / options_.requests_per_s;
    address entry;
    while (!stopped_)
    {
        const double began = now_s();
        if (entries.empty() || began - resolved_at > kept_s)
            for (const address& node : system_.control_addresses())
            {
                const http_message answer = call(
                    node,
                    "GET",
                    "/resolve?name=" + options_.host +
                        "&region=viti-levu&zone=" + system_.zone(number),
                    "");
                if (answer.status != 200)
                    continue;
                const json found = json::parse(answer.body, nullptr, false);
                if (!found.is_object() || !found.contains("addresses"))
                    continue;
                entries.clear();
                for (const json& each : found["addresses"])
                    entries.push_back(parse_address(each.get<std::string>()));
                resolved_at = now_s();
                break;
            }
        if (entries.empty())
        {
            sleep_s(0.1);
            continue;
        }
        const bool listed = std::any_of(
            entries.begin(),
            entries.end(),
            [&](const address& each) { return each.text() == entry.text(); });
        if (!listed)
            entry = entries[random() % entries.size()];
        std::ostringstream id;
        id << std::hex << std::setw(16) << std::setfill('0') << random();
        std::map<std::string, std::string> fields{
            {"Host", options_.host},
            {"Bergamotusher-Attempt-Id", id.str()},
            {"Bergamotusher-Deadline-Ms",
             std::to_string(static_cast<int>(options_.deadline_s * 1000))}};
        if (!options_.key.empty())
            fields["Authorization"] = "Bearer " + options_.key;
        client_result result;
        result.sent_at_s = now_s();
        result.attempt = id.str();
        const http_message answer = line.exchange(
            entry,
            options_.method,
            options_.path,
            fields,
            "",
            options_.deadline_s);
        result.status = answer.status;
        result.complete = answer.complete;
        record_.line(
            "request " + result.attempt + " sent to " + entry.text() + " at " +
            std::to_string(result.sent_at_s) + " status " +
            std::to_string(answer.status));
        {
            const std::lock_guard lock(mutex_);
            results_.push_back(result);
        }
        if (answer.status == 0)
            entry = entries[random() % entries.size()];
        sleep_s(interval - (now_s() - began));
    }
}

int send_order(
    deployment& system,
    record_file& record,
    const std::string& path,
    const std::string& body,
    double timeout_s)
{
    std::mt19937 random(std::random_device{}());
    const double until = now_s() + timeout_s;
    while (now_s() < until)
    {
        std::vector<address> nodes = system.control_addresses();
        std::shuffle(nodes.begin(), nodes.end(), random);
        for (const address& node : nodes)
        {
            const int status = call(node, "POST", path, body).status;
            record.line(
                "order " + path + " to " + node.text() + " status " +
                std::to_string(status));
            if (status != 0 && status < 500 && status != 408 && status != 429)
                return status;
        }
        sleep_s(0.2);
    }
    return 0;
}

std::string make_configuration(std::uint64_t version)
{
    const json route{
        {"name", "r-lookup"},
        {"host", "desk.example"},
        {"pathPrefix", "/lookup/"},
        {"type", "safe"},
        {"timeoutMs", 2000},
        {"targetLatencyMs", 300},
        {"priority", 2},
        {"service", "desk"},
        {"maxAttempts", 1},
        {"public", false},
        {"sticky", false},
        {"resumable", false}};
    const json service{
        {"name", "desk"},
        {"healthPath", "/healthz"},
        {"maxConnections", 370},
        {"protocol", "h1"},
        {"tls", false}};
    const json account{
        {"name", "hule930"},
        {"apiKeys", json::array({client_key})},
        {"priority", 1},
        {"ratePerS", 0},
        {"burst", 0}};
    const json limits{
        {"maxHeaderBytes", 16384},
        {"maxBodyBytes", 4194304},
        {"headerTimeoutMs", 3000},
        {"idleTimeoutMs", 15000}};
    json result;
    result["version"] = version;
    result["routes"] = json::array();
    result["routes"].push_back(route);
    result["services"] = json::array();
    result["services"].push_back(service);
    result["limits"] = limits;
    result["tenants"] = json::array();
    result["tenants"].push_back(account);
    return result.dump();
}

} // namespace standin
