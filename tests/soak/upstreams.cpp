#include "soak/upstreams.hpp"

#include <nlohmann/json.hpp>

#include <cstdio>
#include <functional>
#include <utility>

namespace soak
{

namespace http = boost::beast::http;
using nlohmann::json;

namespace
{

constexpr auto announcement_interval = std::chrono::milliseconds(500);
/// Orders and look-ups take up to so long, so that faults meet many of them.
constexpr std::size_t work_ms_most = 250;
constexpr auto event_time = std::chrono::milliseconds(10);

std::string head_of(int status, const std::string& attempt)
{
    return "HTTP/1.1 " + std::to_string(status) +
           " X\r\nBergamotusher-Attempt-Id: " + attempt + "\r\n";
}

std::string
whole(int status, const std::string& attempt, const std::string& fields)
{
    return head_of(status, attempt) + fields + "Content-Length: 0\r\n\r\n";
}

} // namespace

struct upstream_set::upstream
{
    std::string id;
    std::string service;
    std::string address;
    std::string domain;
    std::int64_t born = 0;
    std::uint64_t sequence = 0;
    std::atomic<bool> drains{false};
    std::atomic<bool> acknowledged{false};
    std::unique_ptr<host> server;
};

upstream_set::upstream_set(fleet& system, ledger& notes, unsigned seed)
    : system_(system), ledger_(notes), random_(seed)
{
    for (unsigned i = 0; i < upstream_places; ++i)
    {
        ways_.push_back(std::make_unique<link>(
            system.plan.upstream_known(i), system.plan.upstream_own(i)));
        places_.push_back(nullptr);
        start(i);
    }
    announcing_ = std::thread(
        [this]
        {
            while (!ending_)
            {
                announce_all();
                std::this_thread::sleep_for(announcement_interval);
            }
        });
}

upstream_set::~upstream_set()
{
    ending_ = true;
    announcing_.join();
    for (unsigned i = 0; i < upstream_places; ++i)
        crash(i);
    // What still runs on a connection's thread notes its end here.
    std::this_thread::sleep_for(2 * chat_events * event_time);
}

void upstream_set::start(unsigned place)
{
    const char* domains[] = {"east", "north", "west"};
    auto one = std::make_shared<upstream>();
    one->id = "i-" + std::to_string(++next_id_);
    one->service = place % 2 == 0 ? "desk" : "llm";
    one->address = system_.plan.upstream_known(place);
    one->domain = domains[place % 3];
    one->born = std::chrono::duration_cast<std::chrono::milliseconds>(
                    std::chrono::system_clock::now().time_since_epoch())
                    .count();
    const auto handle =
        [this,
         id = one->id](const http_request& request, const piece_writer& write)
    {
        const auto field = [&](const char* name)
        {
            return std::string(request[name]);
        };
        const std::string attempt = field("Bergamotusher-Attempt-Id");
        if (field("Bergamotusher-Expect-Instance") != id)
        {
            write(whole(421, attempt, "Bergamotusher-Not-Executed: 1\r\n"));
            return;
        }
        ledger_.note_run(
            {attempt,
             id,
             std::string(request.method_string()),
             std::string(request.target()),
             request.body(),
             field("Bergamotusher-Tenant"),
             !field("Authorization").empty(),
             clock_type::now()});
        std::this_thread::sleep_for(std::chrono::milliseconds(
            std::hash<std::string>{}(attempt) % work_ms_most));
        const std::string head = head_of(200, attempt) +
                                 "Bergamotusher-Server-Seal: s-" + id + "\r\n";
        if (request.target().find("/chat/") != 0)
        {
            const std::string body = answer_to(request_kind::order, attempt);
            write(
                head + "Content-Length: " + std::to_string(body.size()) +
                "\r\n\r\n" + body);
            return;
        }
        write(
            head + "Content-Type: text/event-stream\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n");
        const std::string from = field("Last-Event-Id");
        for (int i = (from.empty() ? 0 : std::stoi(from)) + 1; i <= chat_events;
             ++i)
        {
            const std::string text = event_text(attempt, i);
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", text.size());
            if (!write(size + text + "\r\n"))
                return;
            std::this_thread::sleep_for(event_time);
        }
        write("0\r\n\r\n");
    };
    one->server =
        std::make_unique<host>(system_.plan.upstream_own(place), handle);
    const std::lock_guard<std::mutex> lock(mutex_);
    places_[place] = one;
}

bool upstream_set::announce(upstream& one)
{
    const bool drains = one.drains;
    const json body{
        {"service", one.service},
        {"address", one.address},
        {"zone", one.domain},
        {"version", "v1"},
        {"slots", 32},
        {"state", drains ? "draining" : "ready"},
        {"coldRemainingMs", 0},
        {"born", one.born},
        {"sequence", ++one.sequence}};
    unsigned node = 0;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        node = random_() % control_nodes;
    }
    for (unsigned i = 0; i < control_nodes; ++i)
        if (ask_once(
                system_.api((node + i) % control_nodes),
                "POST",
                "/Instances.Heartbeat/" + one.id,
                body.dump(),
                0.5)
                .status == 200)
        {
            if (drains)
                one.acknowledged = true;
            return true;
        }
    return false;
}

void upstream_set::announce_all()
{
    std::vector<std::shared_ptr<upstream>> all;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        all = places_;
    }
    for (const auto& each : all)
        if (each && !ending_)
            announce(*each);
}

void upstream_set::crash(unsigned place)
{
    std::shared_ptr<upstream> one;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        one = std::exchange(places_[place], nullptr);
    }
    if (one)
        one->server->crash();
}

void upstream_set::restart(unsigned place)
{
    crash(place);
    start(place);
}

bool upstream_set::drain(unsigned place, moment give_up_at)
{
    std::shared_ptr<upstream> one;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        one = places_[place];
    }
    if (!one)
        return false;
    one->drains = true;
    while (!one->acknowledged && clock_type::now() < give_up_at)
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    if (one->acknowledged)
        ledger_.note_drained(one->id, clock_type::now());
    return one->acknowledged;
}

link& upstream_set::way(unsigned place)
{
    return *ways_[place];
}

} // namespace soak
