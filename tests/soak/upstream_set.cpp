#include "soak/upstream_set.hpp"

#include "common/endless_answer.hpp"

#include <nlohmann/json.hpp>

#include <cstdio>
#include <functional>
#include <optional>
#include <utility>

namespace soak
{

namespace http = boost::beast::http;
using nlohmann::json;

namespace
{

constexpr auto announcement_interval = std::chrono::milliseconds(500);
/// Upper bound of the time from a request to its response head; long enough
/// that faults hit many requests in progress.
constexpr std::size_t max_work_ms = 250;
constexpr auto slow_work = std::chrono::milliseconds(3000);
constexpr auto event_interval = std::chrono::milliseconds(10);

bool is_known_path(const std::string& path)
{
    for (const auto kind :
         {request_kind::order, request_kind::lookup, request_kind::chat})
        if (path == request_path(kind))
            return true;
    return false;
}

/// The work time that the path states.
std::optional<std::chrono::milliseconds> stated_work(const std::string& path)
{
    const auto found = path.find(work_time_suffix);
    if (found == std::string::npos)
        return {};
    return std::chrono::milliseconds(
        std::stoi(path.substr(found + std::string(work_time_suffix).size())));
}

std::string response_head(int status, const std::string& attempt)
{
    return "HTTP/1.1 " + std::to_string(status) +
           " X\r\nBergamotusher-Attempt-Id: " + attempt + "\r\n";
}

/// Answers without end, as the path names it, until the connection is closed.
/// Returns false if the path names no such answer.
bool write_endless(
    const std::string& path,
    const std::string& fields,
    const response_writer& write)
{
    const auto found = path.find(endless_suffix);
    if (found == std::string::npos)
        return false;
    const std::string name =
        path.substr(found + std::string(endless_suffix).size());
    for (const auto& each : bergamotusher::fakes::endless_answers(fields))
        if (each.name == name && write(each.begin))
            while (write(each.block))
            {
            }
    return true;
}

std::string empty_response(
    int status, const std::string& attempt, const std::string& header_lines)
{
    return response_head(status, attempt) + header_lines +
           "Content-Length: 0\r\n\r\n";
}

} // namespace

struct upstream_set::upstream
{
    std::string id;
    std::string service;
    std::string address;
    std::string domain;
    std::int64_t started_ms = 0;
    std::uint64_t sequence = 0;
    std::atomic<bool> draining{false};
    std::atomic<bool> drain_acknowledged{false};
    std::unique_ptr<http_server> server;
};

upstream_set::upstream_set(
    test_cluster& cluster,
    run_history& history,
    unsigned seed,
    std::function<void(const execution_record&)> on_other_execution)
    : cluster_(cluster)
    , history_(history)
    , on_other_execution_(std::move(on_other_execution))
    , random_(seed)
{
    for (unsigned i = 0; i < upstream_count; ++i)
    {
        links_.push_back(std::make_unique<link>(
            cluster.plan.upstream_advertised(i),
            cluster.plan.upstream_listening(i)));
        upstreams_.push_back(nullptr);
        start(i);
    }
    announcer_ = std::thread(
        [this]
        {
            while (!stopping_)
            {
                announce_all();
                std::this_thread::sleep_for(announcement_interval);
            }
        });
}

upstream_set::~upstream_set()
{
    stopping_ = true;
    announcer_.join();
    for (unsigned i = 0; i < upstream_count; ++i)
        crash(i);
    // Detached connection threads may still record an execution through this
    // object; give them time to finish.
    std::this_thread::sleep_for(2 * chat_event_count * event_interval);
}

void upstream_set::start(unsigned index)
{
    const char* domains[] = {"east", "north", "west"};
    auto created = std::make_shared<upstream>();
    created->id = "i-" + std::to_string(++next_id_);
    created->service = index % 2 == 0 ? "desk" : "llm";
    created->address = cluster_.plan.upstream_advertised(index);
    created->domain = domains[index % 3];
    created->started_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count();
    const auto handle_request =
        [this, id = created->id, service = created->service](
            const http_request& request, const response_writer& write)
    {
        const auto field = [&](const char* name)
        {
            return std::string(request[name]);
        };
        const std::string attempt = field("Bergamotusher-Attempt-Id");
        if (field("Bergamotusher-Expect-Instance") != id)
        {
            write(empty_response(
                421, attempt, "Bergamotusher-Not-Executed: 1\r\n"));
            return;
        }
        const execution_record execution{
            attempt,
            id,
            std::string(request.method_string()),
            std::string(request.target()),
            request.body(),
            field("Bergamotusher-Tenant"),
            !field("Authorization").empty(),
            clock_type::now(),
            service};
        if (on_other_execution_ && !is_known_path(execution.path))
            on_other_execution_(execution);
        else
            history_.record_execution(execution);
        const std::string seal = "Bergamotusher-Server-Seal: s-" + id + "\r\n";
        if (write_endless(
                execution.path,
                "Bergamotusher-Attempt-Id: " + attempt + "\r\n" + seal,
                write))
            return;
        const bool is_stream = request.target().find("/chat/") == 0;
        const auto stated = stated_work(execution.path);
        if (stated)
            std::this_thread::sleep_for(
                is_stream ? std::chrono::milliseconds(0) : *stated);
        else if (execution.path.find(slow_path) == 0)
            std::this_thread::sleep_for(slow_work);
        else
            std::this_thread::sleep_for(std::chrono::milliseconds(
                std::hash<std::string>{}(attempt) % max_work_ms));
        const std::string head = response_head(200, attempt) + seal;
        if (!is_stream)
        {
            const std::string body = answer_body(request_kind::order, attempt);
            write(
                head + "Content-Length: " + std::to_string(body.size()) +
                "\r\n\r\n" + body);
            return;
        }
        write(
            head + "Content-Type: text/event-stream\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n");
        const std::string last_event_id = field("Last-Event-Id");
        for (int i = (last_event_id.empty() ? 0 : std::stoi(last_event_id)) + 1;
             i <= chat_event_count;
             ++i)
        {
            const std::string text = event_text(attempt, i);
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", text.size());
            if (!write(size + text + "\r\n"))
                return;
            std::this_thread::sleep_for(
                stated ? *stated / chat_event_count : event_interval);
        }
        write("0\r\n\r\n");
    };
    created->server = std::make_unique<http_server>(
        cluster_.plan.upstream_listening(index), handle_request);
    const std::lock_guard<std::mutex> lock(mutex_);
    upstreams_[index] = created;
}

bool upstream_set::announce(upstream& announced)
{
    const bool draining = announced.draining;
    const json body{
        {"service", announced.service},
        {"address", announced.address},
        {"zone", announced.domain},
        {"version", "v1"},
        {"slots", 32},
        {"state", draining ? "draining" : "ready"},
        {"coldRemainingMs", 0},
        {"born", announced.started_ms},
        {"sequence", ++announced.sequence}};
    const std::vector<unsigned> nodes = cluster_.control_nodes();
    std::size_t first_node = 0;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        first_node = random_() % nodes.size();
    }
    for (std::size_t i = 0; i < nodes.size(); ++i)
        if (send_once(
                cluster_.control_address(
                    nodes[(first_node + i) % nodes.size()]),
                "POST",
                "/Instances.Heartbeat/" + announced.id,
                body.dump(),
                0.5)
                .status == 200)
        {
            if (draining)
                announced.drain_acknowledged = true;
            return true;
        }
    return false;
}

void upstream_set::announce_all()
{
    std::vector<std::shared_ptr<upstream>> upstreams;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        upstreams = upstreams_;
    }
    for (const auto& each : upstreams)
        if (each && !stopping_)
            announce(*each);
}

void upstream_set::crash(unsigned index)
{
    std::shared_ptr<upstream> current;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        current = std::exchange(upstreams_[index], nullptr);
    }
    if (current)
        current->server->crash();
}

void upstream_set::restart(unsigned index)
{
    crash(index);
    start(index);
}

bool upstream_set::drain(unsigned index, time_point deadline)
{
    std::shared_ptr<upstream> current;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        current = upstreams_[index];
    }
    if (!current)
        return false;
    current->draining = true;
    while (!current->drain_acknowledged && clock_type::now() < deadline)
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    if (current->drain_acknowledged)
        history_.record_drain_acknowledged(current->id, clock_type::now());
    return current->drain_acknowledged;
}

link& upstream_set::link_to(unsigned index)
{
    return *links_[index];
}

} // namespace soak
