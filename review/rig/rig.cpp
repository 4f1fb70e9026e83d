#include "rig.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

namespace rig
{

namespace
{

using clock_type = std::chrono::steady_clock;

std::ofstream record_out;
std::mutex record_mutex;

std::string lower(std::string text)
{
    for (char& c : text)
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    return text;
}

sockaddr_in socket_address(const std::string& ip, int port)
{
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &to.sin_addr);
    return to;
}

bool wait_for(int socket, short events, double timeout_s)
{
    pollfd item{socket, events, 0};
    const int ms = static_cast<int>(std::max(timeout_s, 0.0) * 1000);
    return ::poll(&item, 1, ms) > 0;
}

/// A connected socket; -1 if the connection takes longer than `timeout_s`.
int connect_to(const std::string& ip, int port, double timeout_s)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (socket < 0)
        return -1;
    const int flags = ::fcntl(socket, F_GETFL);
    ::fcntl(socket, F_SETFL, flags | O_NONBLOCK);
    const sockaddr_in to = socket_address(ip, port);
    int error = 0;
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) !=
        0)
    {
        error = errno;
        if (error == EINPROGRESS && wait_for(socket, POLLOUT, timeout_s))
        {
            socklen_t size = sizeof(error);
            ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size);
        }
    }
    if (error != 0)
    {
        ::close(socket);
        return -1;
    }
    ::fcntl(socket, F_SETFL, flags);
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return socket;
}

bool send_all(int socket, const std::string& bytes)
{
    std::size_t done = 0;
    while (done < bytes.size())
    {
        const ssize_t sent = ::send(
            socket, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (sent <= 0)
            return false;
        done += static_cast<std::size_t>(sent);
    }
    return true;
}

bool receive_some(int socket, std::string& buffer, double timeout_s)
{
    if (!wait_for(socket, POLLIN, timeout_s))
        return false;
    char bytes[16384];
    const ssize_t size = ::recv(socket, bytes, sizeof(bytes), 0);
    if (size <= 0)
        return false;
    buffer.append(bytes, static_cast<std::size_t>(size));
    return true;
}

/// Reads the first line and the fields; false if `buffer` has no whole head.
bool take_head(std::string& buffer, message& to)
{
    const std::size_t end = buffer.find("\r\n\r\n");
    if (end == std::string::npos)
        return false;
    std::istringstream lines(buffer.substr(0, end));
    buffer.erase(0, end + 4);
    std::string line;
    std::getline(lines, line);
    std::istringstream first(line);
    std::string a;
    std::string b;
    first >> a >> b;
    if (a.rfind("HTTP/", 0) == 0)
        to.status = std::atoi(b.c_str());
    else
    {
        to.method = a;
        to.target = b;
    }
    while (std::getline(lines, line))
    {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        const std::size_t value = line.find_first_not_of(' ', colon + 1);
        to.fields[lower(line.substr(0, colon))] =
            value == std::string::npos ? std::string() : line.substr(value);
    }
    return true;
}

/// Moves the chunks that `buffer` holds to the body; true at the last one.
bool take_chunks(std::string& buffer, message& to)
{
    for (;;)
    {
        const std::size_t line = buffer.find("\r\n");
        if (line == std::string::npos)
            return false;
        const std::size_t size =
            std::strtoul(buffer.substr(0, line).c_str(), nullptr, 16);
        if (buffer.size() < line + 2 + size + 2)
            return false;
        to.body += buffer.substr(line + 2, size);
        buffer.erase(0, line + 2 + size + 2);
        if (size == 0)
            return true;
    }
}

std::string status_text(int status)
{
    switch (status)
    {
    case 200:
        return "OK";
    case 421:
        return "Misdirected Request";
    case 500:
        return "Internal Server Error";
    default:
        return "Status";
    }
}

std::string field_line(const std::string& name, const std::string& value)
{
    return name + ": " + value + "\r\n";
}

bool can_bind(const std::string& ip, int port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in at = socket_address(ip, port);
    const bool free =
        ::bind(socket, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) == 0;
    ::close(socket);
    return free;
}

/// The value of `run` of a role in the deploy file.
std::string command_of(const std::string& role)
{
    std::ifstream file("deploy/system.toml");
    std::string line;
    bool inside = false;
    while (std::getline(file, line))
    {
        if (!line.empty() && line.front() == '[')
            inside = line == "[roles." + role + "]";
        if (!inside || line.rfind("run", 0) != 0)
            continue;
        const std::size_t first = line.find('"');
        const std::size_t last = line.rfind('"');
        return line.substr(first + 1, last - first - 1);
    }
    cannot_run("deploy/system.toml has no role " + role);
}

const std::vector<std::string> zone_names{"suva", "nadi", "lautoka"};

} // namespace

double now_s()
{
    static const clock_type::time_point start = clock_type::now();
    return std::chrono::duration<double>(clock_type::now() - start).count();
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

std::string random_id()
{
    static std::mutex mutex;
    static std::mt19937_64 engine{std::random_device{}()};
    const std::lock_guard lock(mutex);
    char text[17];
    std::snprintf(
        text,
        sizeof(text),
        "%016llx",
        static_cast<unsigned long long>(engine()));
    return text;
}

bool has_trouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

void open_record(const std::string& folder)
{
    now_s();
    record_out.open(folder + "/record.txt", std::ios::trunc);
}

void record(const std::string& line)
{
    char time[32];
    std::snprintf(time, sizeof(time), "%8.3f ", now_s());
    const std::lock_guard lock(record_mutex);
    record_out << time << line << "\n" << std::flush;
}

void cannot_run(const std::string& why)
{
    record("the case could not run: " + why);
    std::cerr << "the case could not run: " << why << "\n";
    // The processes end with their parent, see `deployment::start`.
    std::_Exit(2);
}

std::string message::field(const std::string& name) const
{
    const auto found = fields.find(lower(name));
    return found == fields.end() ? std::string() : found->second;
}

client_connection::client_connection(std::string ip, int port)
    : ip_(std::move(ip)), port_(port)
{
}

client_connection::~client_connection()
{
    close();
}

void client_connection::close()
{
    if (socket_ >= 0)
        ::close(socket_);
    socket_ = -1;
    buffer_.clear();
}

message client_connection::exchange(
    const std::string& method,
    const std::string& target,
    const std::vector<std::pair<std::string, std::string>>& fields,
    const std::string& body,
    double timeout_s)
{
    message answer;
    const double end = now_s() + timeout_s;
    if (socket_ < 0)
        socket_ = connect_to(ip_, port_, 1.0);
    if (socket_ < 0)
        return answer;
    std::string bytes = method + " " + target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : fields)
        bytes += field_line(name, value);
    if (method != "GET")
        bytes += field_line("Content-Length", std::to_string(body.size()));
    // An answer may come before the whole request is sent.
    send_all(socket_, bytes + "\r\n" + body);
    while (!take_head(buffer_, answer))
        if (!receive_some(socket_, buffer_, end - now_s()))
        {
            close();
            return answer;
        }
    const bool chunked = lower(answer.field("Transfer-Encoding")) == "chunked";
    const std::size_t length =
        std::strtoul(answer.field("Content-Length").c_str(), nullptr, 10);
    for (;;)
    {
        if (chunked ? take_chunks(buffer_, answer) : buffer_.size() >= length)
        {
            answer.complete = true;
            break;
        }
        if (!receive_some(socket_, buffer_, end - now_s()))
        {
            close();
            return answer;
        }
    }
    if (!chunked)
    {
        answer.body = buffer_.substr(0, length);
        buffer_.erase(0, length);
    }
    if (lower(answer.field("Connection")) == "close")
        close();
    return answer;
}

message call(
    const std::string& ip,
    int port,
    const std::string& method,
    const std::string& target,
    const std::string& body,
    double timeout_s)
{
    client_connection to(ip, port);
    return to.exchange(
        method,
        target,
        {{"Host", ip + ":" + std::to_string(port)},
         {"Content-Type", "application/json"},
         {"Connection", "close"}},
        body,
        timeout_s);
}

bool answer_stream::write(const std::string& bytes) const
{
    return send_all(socket_, bytes);
}

bool answer_stream::peer_closed() const
{
    char byte = 0;
    const ssize_t size = ::recv(socket_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

server::server(const std::string& ip, int port, handler handle)
    : handle_(std::move(handle))
{
    listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in at = socket_address(ip, port);
    if (::bind(listener_, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) !=
            0 ||
        ::listen(listener_, 256) != 0)
        cannot_run("cannot listen on " + ip + ":" + std::to_string(port));
    acceptor_ = std::thread([this] { accept_all(); });
}

server::~server()
{
    crash();
    while (threads_ > 0)
        sleep_s(0.005);
}

void server::crash()
{
    if (stopped_.exchange(true))
        return;
    ::shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    ::close(listener_);
    const std::lock_guard lock(mutex_);
    for (const int socket : sockets_)
    {
        // Close is done by the thread that serves the connection; the reset
        // follows from the linger time of 0.
        const linger reset{1, 0};
        ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        ::shutdown(socket, SHUT_RD);
    }
}

void server::accept_all()
{
    while (!stopped_)
    {
        const int socket = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0)
            continue;
        const int on = 1;
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        {
            const std::lock_guard lock(mutex_);
            sockets_.insert(socket);
        }
        ++threads_;
        std::thread(
            [this, socket]
            {
                serve(socket);
                {
                    const std::lock_guard lock(mutex_);
                    sockets_.erase(socket);
                    ::close(socket);
                }
                --threads_;
            })
            .detach();
    }
}

void server::serve(int socket)
{
    std::string buffer;
    constexpr double idle_s = 15;
    while (!stopped_)
    {
        message request;
        while (!take_head(buffer, request))
            if (!receive_some(socket, buffer, idle_s))
                return;
        const std::size_t length =
            std::strtoul(request.field("Content-Length").c_str(), nullptr, 10);
        while (buffer.size() < length)
            if (!receive_some(socket, buffer, idle_s))
                return;
        request.body = buffer.substr(0, length);
        buffer.erase(0, length);
        request.complete = true;
        answer_stream out(socket);
        if (stopped_ || !handle_(request, out))
            return;
    }
}

deployment::deployment(int edges, int cores) : edges_(edges), cores_(cores)
{
    std::mt19937 engine{std::random_device{}()};
    for (int attempt = 0; attempt < 50; ++attempt)
    {
        network_ = "127." + std::to_string(20 + engine() % 200) + "." +
                   std::to_string(1 + engine() % 250) + ".";
        base_port_ = 20000 + static_cast<int>(engine() % 200) * 50;
        bool free = true;
        for (int port = base_port_; port < base_port_ + 50; ++port)
            free = free && can_bind(core_ip(0), port);
        if (free && can_bind(core_ip(0), 9464))
            break;
        network_.clear();
    }
    if (network_.empty())
        cannot_run("no free ports");
    // Made and removed by run.sh.
    const char* folder = std::getenv("CASE_FOLDER");
    if (folder == nullptr)
        cannot_run("CASE_FOLDER is not set");
    folder_ = folder;
}

deployment::~deployment()
{
    for (const process& each : processes_)
        if (each.id > 0)
            ::kill(each.id, SIGKILL);
    for (const process& each : processes_)
        if (each.id > 0)
            ::waitpid(each.id, nullptr, 0);
}

std::string deployment::edge_ip(int index) const
{
    return network_ + std::to_string(10 + index);
}
std::string deployment::core_ip(int index) const
{
    return network_ + std::to_string(50 + index);
}
std::string deployment::worker_ip(int index) const
{
    return network_ + std::to_string(100 + index);
}
std::string deployment::platform_ip() const
{
    return network_ + "5";
}
int deployment::frontend_port() const
{
    return base_port_;
}
int deployment::control_port() const
{
    return base_port_ + 2;
}
int deployment::registry_port() const
{
    return base_port_ + 3;
}
int deployment::worker_port() const
{
    return base_port_ + 4;
}
int deployment::platform_port() const
{
    return base_port_ + 5;
}
int deployment::cores() const
{
    return cores_;
}

std::string deployment::settings_of(bool is_edge, int index) const
{
    const std::string ip = is_edge ? edge_ip(index) : core_ip(index);
    const std::string& zone =
        zone_names[static_cast<std::size_t>(index) % zone_names.size()];
    const std::string name = std::string(is_edge ? "edge-" : "core-") + zone +
                             "-" + std::to_string(index);
    const auto at = [&](int port)
    {
        return "\"" + ip + ":" + std::to_string(port) + "\"";
    };
    std::string seeds;
    for (int i = 0; i < 3; ++i)
        seeds += std::string(i == 0 ? "" : ",") + "\"" + core_ip(i) + ":" +
                 std::to_string(control_port()) + "\"";
    std::ostringstream out;
    out << "{\"nodeName\":\"" << name << "\",\"role\":\""
        << (is_edge ? "entry" : "control") << "\",\"machineClass\":\""
        << (is_edge ? "edge" : "core") << "\",\"serves\":["
        << (is_edge ? "\"edge\"" : "\"controller\",\"registry\"")
        << "],\"ip\":\"" << ip << "\",\"zone\":\"" << zone
        << "\",\"region\":\"viti-levu\",\"zones\":{\"suva\":\"viti-levu\","
           "\"nadi\":\"viti-levu\",\"lautoka\":\"viti-levu\"},\"listen\":{";
    if (is_edge)
        out << "\"frontend\":" << at(frontend_port())
            << ",\"readiness\":" << at(base_port_ + 1);
    else
        out << "\"controlPlane\":" << at(control_port())
            << ",\"registry\":" << at(registry_port());
    out << "},\"internalPorts\":[" << base_port_ + 10 << "," << base_port_ + 25
        << "],\"seedNodes\":[" << seeds
        << "],\"bootstrap\":true,\"failureCounted\":"
        << (is_edge ? "false" : "true")
        << ",\"limits\":{\"cpuQuota\":0.5,\"cpuCores\":1,\"memoryMb\":520,"
           "\"maxFds\":"
        << (is_edge ? 8200 : 4096)
        << ",\"linkMbps\":2000.0,\"diskMb\":" << (is_edge ? 0 : 128)
        << "},\"dataDir\":";
    if (is_edge)
        out << "null";
    else
        out << "\"" << folder_ << "/" << name << ".data\"";
    out << ",\"discovery\":\"registration\",\"entry\":\"registry\","
           "\"heartbeatMs\":1200,\"invariants\":[\"base\",\"drain\","
           "\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\","
           "\"tenants\",\"quota\",\"leader\",\"rollout\"],"
           "\"faultTolerance\":{\"machineCount\":1,\"zones\":0,"
           "\"regionCount\":0},\"bounds\":{\"seedLagS\":3,\"addrReuseS\":2,"
           "\"contactMs\":3000,\"ackTimeoutMs\":4000,\"catchUpS\":4,"
           "\"drainMs\":2000,\"graceS\":8,\"lossSlackMs\":200,"
           "\"configApplyMs\":2000,\"rollbackSlackMs\":250,\"outerMs\":5000,"
           "\"revokeFailClosed\":true,\"revokeMs\":5000,"
           "\"retryBudgetRatio\":0.2,\"retryWindowS\":10,\"retryMinExtra\":58,"
           "\"quotaWindowS\":8,\"quotaOvershoot\":0.1,\"quotaSlack\":110000,"
           "\"fencingEnforced\":true,\"leaseMs\":3000,\"thawSlackMs\":300,"
           "\"usageWindowS\":5,\"usageError\":0.05,\"usageDelayS\":10,"
           "\"canaryShare\":0.1,\"canarySlack\":50,\"rollbackMs\":5000,"
           "\"recoveryS\":12,\"iterationMs\":120,\"retryAfterS\":9.6,"
           "\"ttl_max_s\":5},\"configMode\":\"highest\",\"cloudApi\":{"
           "\"address\":\""
        << platform_ip() << ":" << platform_port()
        << "\",\"ratePerS\":50.0,\"duties\":[\"metering\",\"autoscale\"],"
           "\"dutyPerS\":50.0}}";
    return out.str();
}

void deployment::start(process& value)
{
    const std::string settings = folder_ + "/" + value.name + ".json";
    const std::string log = folder_ + "/" + value.name + ".log";
    std::ofstream(settings) << value.settings;
    std::vector<std::string> words;
    std::istringstream text(value.command);
    for (std::string word; text >> word;)
        words.push_back(word);
    std::vector<std::string> environment{"BERGAMOTUSHER_BOOT=" + settings};
    for (const char* name : {"PATH", "HOME", "LANG"})
        if (const char* set = std::getenv(name))
            environment.push_back(std::string(name) + "=" + set);
    std::vector<char*> arguments;
    arguments.reserve(words.size() + 1);
    for (std::string& word : words)
        arguments.push_back(word.data());
    arguments.push_back(nullptr);
    std::vector<char*> variables;
    variables.reserve(environment.size() + 1);
    for (std::string& each : environment)
        variables.push_back(each.data());
    variables.push_back(nullptr);
    const pid_t parent = ::getpid();
    const int out =
        ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    value.id = ::fork();
    if (value.id == 0)
    {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::dup2(out, 1);
        ::dup2(out, 2);
        ::execve(arguments[0], arguments.data(), variables.data());
        ::_exit(127);
    }
    ::close(out);
    if (value.id < 0 || ::getpid() != parent)
        cannot_run("cannot start " + value.command);
}

void deployment::start_all()
{
    platform_ = std::make_unique<server>(
        platform_ip(),
        platform_port(),
        [](const message& request, answer_stream& out)
        {
            out.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
                      "Connection: close\r\n\r\n{}");
            record("platform " + request.target + " " + request.body);
            return false;
        });
    for (int i = 0; i < cores_; ++i)
        processes_.push_back(
            {"core-" + std::to_string(i),
             command_of("control"),
             settings_of(false, i)});
    for (int i = 0; i < edges_; ++i)
        processes_.push_back(
            {"edge-" + std::to_string(i),
             command_of("entry"),
             settings_of(true, i)});
    for (process& each : processes_)
        start(each);
    record(
        "started " + std::to_string(cores_) + " core and " +
        std::to_string(edges_) + " edge processes");
}

deployment::process& deployment::edge_process(int index)
{
    return processes_.at(
        static_cast<std::size_t>(cores_) + static_cast<std::size_t>(index));
}

void deployment::kill_edge(int index)
{
    process& value = edge_process(index);
    ::kill(value.id, SIGKILL);
    ::waitpid(value.id, nullptr, 0);
    value.id = 0;
}

void deployment::start_edge(int index)
{
    process& value = edge_process(index);
    const std::string first = "\"bootstrap\":true";
    const std::size_t at = value.settings.find(first);
    if (at != std::string::npos)
        value.settings.replace(at, first.size(), "\"bootstrap\":false");
    start(value);
}

double deployment::edge_memory_mb(int index) const
{
    const process& value = processes_.at(
        static_cast<std::size_t>(cores_) + static_cast<std::size_t>(index));
    if (value.id <= 0)
        return 0;
    // Between its fork and its exec the process has the memory of this program.
    const std::string folder = "/proc/" + std::to_string(value.id);
    std::error_code ignored;
    if (std::filesystem::read_symlink(folder + "/exe", ignored) ==
        std::filesystem::read_symlink("/proc/self/exe", ignored))
        return 0;
    std::ifstream status(folder + "/status");
    constexpr double kb_per_mb = 1024;
    for (std::string line; std::getline(status, line);)
        if (line.rfind("RssAnon:", 0) == 0)
            return std::atof(line.c_str() + 8) / kb_per_mb;
    return 0;
}

bool deployment::wait_until_listed(int entries, double timeout_s)
{
    const double end = now_s() + timeout_s;
    while (now_s() < end)
    {
        const message answer = call(
            core_ip(0),
            registry_port(),
            "GET",
            "/resolve?name=shop.example&region=viti-levu&zone=suva",
            "");
        const auto count =
            std::count(answer.body.begin(), answer.body.end(), ':');
        // Two colons belong to the fields, the others to addresses.
        if (answer.status == 200 && count - 2 >= entries)
            return true;
        sleep_s(0.1);
    }
    return false;
}

message deployment::order(
    const std::string& target, const std::string& body, double timeout_s)
{
    const double end = now_s() + timeout_s;
    message answer;
    for (int i = 0; now_s() < end; ++i)
    {
        answer =
            call(core_ip(i % cores_), control_port(), "POST", target, body);
        if (answer.status == 200)
            break;
        sleep_s(0.1);
    }
    return answer;
}

bool deployment::configure(const std::string& body, double timeout_s)
{
    return order("/Config.Replace", body, timeout_s).status == 200;
}

worker::worker(deployment& site, worker_options options, handler run)
    : site_(site), options_(std::move(options)), run_(std::move(run))
{
    thread_ = std::thread([this] { live(); });
}

worker::~worker()
{
    ending_ = true;
    thread_.join();
}

std::string worker::id() const
{
    const std::lock_guard lock(mutex_);
    return id_;
}

void worker::crash()
{
    crashing_ = true;
}

void worker::live()
{
    while (!ending_)
    {
        {
            const std::lock_guard lock(mutex_);
            id_ = "i-" + random_id().substr(0, 10);
            born_ = unix_ms();
            sequence_ = 0;
        }
        registered_ = false;
        crashing_ = false;
        {
            server serving(
                site_.worker_ip(options_.index),
                site_.worker_port(),
                [this](const message& request, answer_stream& out)
                { return take(request, out); });
            double next_heartbeat = 0;
            while (!ending_ && !crashing_)
            {
                if (now_s() >= next_heartbeat)
                {
                    heartbeat();
                    next_heartbeat = now_s() + (registered_ ? 1.2 : 0.2);
                }
                sleep_s(0.002);
            }
            serving.crash();
        }
        if (ending_)
            return;
        record("worker " + id() + " has crashed");
        const double back_at = now_s() + options_.down_s;
        while (!ending_ && now_s() < back_at)
            sleep_s(0.01);
    }
}

void worker::heartbeat()
{
    std::ostringstream body;
    std::string id;
    {
        const std::lock_guard lock(mutex_);
        id = id_;
        const std::size_t zone =
            static_cast<std::size_t>(options_.index) % zone_names.size();
        body << "{\"service\":\"" << options_.service << "\",\"address\":\""
             << site_.worker_ip(options_.index) << ":" << site_.worker_port()
             << "\",\"zone\":\"" << zone_names[zone] << "\",\"version\":\""
             << options_.version << "\",\"slots\":" << options_.slots
             << ",\"state\":\"ready\",\"coldRemainingMs\":0,\"born\":" << born_
             << ",\"sequence\":" << ++sequence_ << "}";
    }
    for (int i = 0; i < site_.cores(); ++i)
        if (call(
                site_.core_ip((options_.index + i) % site_.cores()),
                site_.control_port(),
                "POST",
                "/Instances.Heartbeat/" + id,
                body.str())
                .status == 200)
        {
            registered_ = true;
            return;
        }
}

bool worker::take(const message& request, answer_stream& out)
{
    if (request.field("Bergamotusher-Expect-Instance") != id())
        return out.write(
            head(request, 421, "Bergamotusher-Not-Executed: 1\r\n") +
            "Content-Length: 0\r\n\r\n");
    return run_(*this, request, out);
}

std::string
worker::head(const message& request, int status, const std::string& more) const
{
    return "HTTP/1.1 " + std::to_string(status) + " " + status_text(status) +
           "\r\n" +
           field_line(
               "Bergamotusher-Attempt-Id",
               request.field("Bergamotusher-Attempt-Id")) +
           field_line("Keep-Alive", "timeout=15") + more;
}

std::string worker::answer(
    const message& request, int status, const std::string& body) const
{
    return head(
               request,
               status,
               field_line("Bergamotusher-Server-Seal", "seal." + id())) +
           field_line("Content-Length", std::to_string(body.size())) + "\r\n" +
           body;
}

} // namespace rig
