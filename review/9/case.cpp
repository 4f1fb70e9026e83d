// A request that crashes each worker that begins to run it is suspended; then
// all processes are killed, and it comes again at both entries.
#include "../rig/rig.hpp"

#include <algorithm>
#include <iostream>

using namespace rig;

namespace
{

constexpr double contact_s = 3.0;
/// Time in which the request comes, before and after the kill.
constexpr double poison_time_s = 9;
constexpr double poison_interval_s = 1.0;
constexpr double down_s = 0.3;

constexpr const char* key = "i9n73hh2b9wu3fexd9dn";

std::string configuration()
{
    return R"({"version":7,"routes":[{"name":"r-chat","host":"shop.example",)"
           R"("pathPrefix":"/chat/","type":"streaming","timeoutMs":4000,)"
           R"("targetLatencyMs":600,"priority":0,"service":"chat-llm",)"
           R"("maxAttempts":1,"public":false,"sticky":true,"resumable":false,)"
           R"("itlTargetMs":250}],"services":[{"name":"chat-llm",)"
           R"("healthPath":"/healthz","maxConnections":370,"protocol":"h1",)"
           R"("tls":false,"engine":{"slots":64,"kvCapacity":341603,)"
           R"("kvBytes":163840,"linkMbps":740000.0,"migrations":true,)"
           R"("replicas":true,"stride":3,"most":12,"pinMs":4000.0,)"
           R"("holdMs":2000.0,"handleTtlS":5.0,"models":[{"name":"m"}]}}],)"
           R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,)"
           R"("headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
           R"("tenants":[{"name":"hule930","apiKeys":["i9n73hh2b9wu3fexd9dn"],)"
           R"("priority":1,"unit":"token","uncachedTokens":200,)"
           R"("ratePerS":2200880,"burst":2200880}]})";
}

struct arrival
{
    double at = 0;
    std::string attempt;
};

std::mutex seen_mutex;
std::vector<arrival> arrivals;
std::vector<double> crashes;

std::string event_chunk(std::uint64_t id)
{
    const std::string event = "id: " + std::to_string(id) + "\ndata: abc\n\n";
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
    return size + event + "\r\n";
}

bool run_chat(worker& self, const message& request, answer_stream& out)
{
    const bool crashes_worker = request.body == "poison";
    if (crashes_worker)
    {
        const std::lock_guard lock(seen_mutex);
        arrivals.push_back(
            {now_s(), request.field("Bergamotusher-Attempt-Id")});
        record(
            "worker " + self.id() + " gets the request, attempt " +
            arrivals.back().attempt + ", Last-Event-Id \"" +
            request.field("Last-Event-Id") + "\"");
    }
    const std::string resumed = request.field("Last-Event-Id");
    std::uint64_t event = std::strtoull(resumed.c_str(), nullptr, 10);
    constexpr std::uint64_t last_event = 6;
    out.write(
        self.head(
            request,
            200,
            "Bergamotusher-Server-Seal: seal." + self.id() + "\r\n" +
                "Content-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\n") +
        "\r\n");
    while (event < last_event)
    {
        sleep_s(0.02);
        if (!out.write(event_chunk(++event)))
            return false;
        // The request has begun to run: it has its first token.
        if (crashes_worker)
        {
            sleep_s(0.01);
            {
                const std::lock_guard lock(seen_mutex);
                crashes.push_back(now_s());
            }
            self.crash();
            sleep_s(0.1);
            return false;
        }
    }
    return out.write("0\r\n\r\n");
}

struct totals
{
    std::atomic<int> sent{0};
    std::atomic<int> whole{0};
    std::atomic<int> refused{0};
};

message send_request(
    client_connection& to,
    const std::string& attempt,
    const std::string& body,
    const std::string& own_part)
{
    return to.exchange(
        "POST",
        "/chat/2f",
        {{"Host", "shop.example"},
         {"Bergamotusher-Attempt-Id", attempt},
         {"Bergamotusher-Model", "m"},
         {"Bergamotusher-Token-Usage", "210,18"},
         {"Bergamotusher-Prefix-Hash", "5c1e07a2:160," + own_part + ":50"},
         {"Bergamotusher-Deadline-Ms", "4000"},
         {"Authorization", std::string("Bearer ") + key}},
        body,
        4.0);
}

void send_sound_requests(
    deployment& site, int number, const std::atomic<bool>& ending, totals& sum)
{
    client_connection to(site.edge_ip(number % 2), site.frontend_port());
    while (!ending)
    {
        const std::string attempt = random_id();
        ++sum.sent;
        const message answer =
            send_request(to, attempt, "sound " + attempt, attempt.substr(0, 8));
        if (answer.status == 200 && answer.complete)
            ++sum.whole;
        else if (answer.status == 503 || answer.status == 429)
            ++sum.refused;
        sleep_s(0.1);
    }
}

/// The request comes from one client after the other at one entry, or from two
/// at both entries at once.
void send_poison(deployment& site, bool at_both)
{
    const double end = now_s() + poison_time_s;
    for (int i = 0; now_s() < end; ++i)
    {
        const double next = now_s() + poison_interval_s;
        std::vector<std::thread> clients;
        clients.reserve(2);
        for (int entry = 0; entry < 2; ++entry)
        {
            if (!at_both && i % 2 != entry)
                continue;
            clients.emplace_back(
                [&site, entry]
                {
                    client_connection to(
                        site.edge_ip(entry), site.frontend_port());
                    const std::string attempt = random_id();
                    record("client sends the request, attempt " + attempt);
                    const message answer =
                        send_request(to, attempt, "poison", "91bd3f06");
                    record(
                        "attempt " + attempt + ": " +
                        std::to_string(answer.status) +
                        (answer.complete ? ", whole" : ", cut off") +
                        ", Retry-After \"" + answer.field("Retry-After") +
                        "\"");
                });
        }
        for (std::thread& each : clients)
            each.join();
        sleep_s(next - now_s());
    }
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 2)
        return 2;
    open_record(argv[1]);
    deployment site(2, 5);
    site.start_all();
    std::vector<std::unique_ptr<worker>> workers;
    workers.reserve(8);
    for (int i = 0; i < 8; ++i)
        workers.push_back(std::make_unique<worker>(
            site, worker_options{"chat-llm", "v1", 64, i}, run_chat));
    if (!site.configure(configuration()) || !site.wait_until_listed(2, 15))
        cannot_run("the deployment does not start");
    std::atomic<bool> ending{false};
    totals sum;
    std::vector<std::thread> clients;
    clients.reserve(6);
    for (int i = 0; i < 6; ++i)
        clients.emplace_back([&, i]
                             { send_sound_requests(site, i, ending, sum); });
    sleep_s(contact_s + 3);
    if (sum.whole == 0)
        cannot_run("nothing is served");
    send_poison(site, false);
    std::size_t crashes_before = 0;
    {
        const std::lock_guard lock(seen_mutex);
        crashes_before = crashes.size();
    }
    if (crashes_before < 3)
        cannot_run("fewer than three crashes");
    double in_touch_from = now_s() + contact_s;
    if (has_trouble())
    {
        site.restart_all(down_s);
        // Twice the time, since the kill took most of the core.
        in_touch_from = now_s() + 2 * contact_s;
        if (!site.wait_until_listed(2, 15))
            cannot_run("the deployment does not come back");
    }
    sleep_s(in_touch_from + 1 - now_s());
    send_poison(site, true);
    ending = true;
    for (std::thread& each : clients)
        each.join();
    const std::lock_guard lock(seen_mutex);
    record(
        "other requests: " + std::to_string(sum.sent) + " sent, " +
        std::to_string(sum.whole) + " answered whole, " +
        std::to_string(sum.refused) + " refused");
    record("workers crashed: " + std::to_string(crashes.size()));
    std::sort(crashes.begin(), crashes.end());
    const double from = std::max(crashes[2] + contact_s, in_touch_from);
    const auto late = std::count_if(
        arrivals.begin(),
        arrivals.end(),
        [&](const arrival& each) { return each.at > from; });
    record(
        "by machines in touch, later than 3 s after the third crash: " +
        std::to_string(late) + " reached workers; 3 are allowed");
    const bool broken = late > 3;
    record(broken ? "broken: BUDGET" : "held");
    return broken ? 1 : 0;
}
