// A request that crashes each worker that begins to run it, on a route whose
// streams may be resumed; it comes again and again.
#include "../rig/rig.hpp"

#include <algorithm>
#include <iostream>

using namespace rig;

namespace
{

constexpr double contact_s = 3.0;
constexpr double poison_time_s = 40;
constexpr double poison_interval_s = 1.5;

constexpr const char* key = "i9n73hh2b9wu3fexd9dn";

std::string configuration()
{
    return R"({"version":7,"routes":[{"name":"r-chat","host":"shop.example",)"
           R"("pathPrefix":"/chat/","type":"streaming","timeoutMs":4000,)"
           R"("targetLatencyMs":600,"priority":0,"service":"chat-llm",)"
           R"("maxAttempts":2,"public":false,"sticky":true,"resumable":true,)"
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
        if (crashes_worker && has_trouble())
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
    const double end = now_s() + poison_time_s;
    for (int i = 0; now_s() < end; ++i)
    {
        const double next = now_s() + poison_interval_s;
        client_connection to(site.edge_ip(i % 2), site.frontend_port());
        const std::string attempt = random_id();
        record("client sends the request, attempt " + attempt);
        const message answer = send_request(to, attempt, "poison", "91bd3f06");
        record(
            "client gets " + std::to_string(answer.status) +
            (answer.complete ? ", whole" : ", cut off") + ", Retry-After \"" +
            answer.field("Retry-After") + "\"");
        sleep_s(next - now_s());
    }
    ending = true;
    for (std::thread& each : clients)
        each.join();
    const std::lock_guard lock(seen_mutex);
    record(
        "other requests: " + std::to_string(sum.sent) + " sent, " +
        std::to_string(sum.whole) + " answered whole, " +
        std::to_string(sum.refused) + " refused");
    std::sort(crashes.begin(), crashes.end());
    record("workers crashed: " + std::to_string(crashes.size()));
    if (crashes.size() < 3)
    {
        record("held: fewer than three crashes");
        return has_trouble() ? 2 : 0;
    }
    const double from = crashes[2] + contact_s;
    std::map<std::string, int> late;
    for (const arrival& each : arrivals)
        if (each.at > from)
            ++late[each.attempt];
    int repeats = 0;
    for (const auto& [attempt, count] : late)
        repeats += count - 1;
    record(
        "later than 3 s after the third crash: " + std::to_string(late.size()) +
        " attempts of clients reached workers, and " + std::to_string(repeats) +
        " times an entry sent one of them to a further worker; 3 are allowed");
    const bool broken = late.size() > 3 && repeats > 3;
    record(broken ? "broken: BUDGET" : "held");
    return broken ? 1 : 0;
}
