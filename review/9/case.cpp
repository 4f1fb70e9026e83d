// One tenant sends many times its usual while all processes are killed twice
// within the window of the quota.
#include "../rig/rig.hpp"

#include <algorithm>
#include <iostream>

using namespace rig;

namespace
{

constexpr double contact_s = 3.0;
constexpr const char* key = "i9n73hh2b9wu3fexd9dn";

// The tenant's quota, in tokens, and the bounds of the deployment.
constexpr double rate_per_s = 220088;
constexpr double burst = 220088;
constexpr double window_s = 8;
constexpr double overshoot = 0.1;
constexpr double slack = 110000;
constexpr double tokens_per_request = 10000;
/// The quota is 1.8 times the tenant's usual load, as at vbl-router.
constexpr double usual_per_s = rate_per_s / 1.8 / tokens_per_request;
/// Of the usual load, before the tenant begins to send more.
constexpr double quiet_factor = 0.25;
constexpr double hot_factor = 7.5;
constexpr double hot_time_s = 10;
constexpr double calm_time_s = 14;
constexpr int client_count = 60;
constexpr int kill_count = 2;
constexpr double kill_interval_s = 2.8;
constexpr double down_s = 0.2;
/// The first kill, from the time when the tenant begins to send more.
constexpr double first_kill_s = 2.0;

std::string configuration()
{
    return R"({"version":7,"routes":[{"name":"r-note","host":"shop.example",)"
           R"("pathPrefix":"/note/","type":"unsafe","timeoutMs":2000,)"
           R"("targetLatencyMs":300,"priority":0,"service":"note-desk",)"
           R"("maxAttempts":1,"public":false}],"services":[)"
           R"({"name":"note-desk","healthPath":"/healthz",)"
           R"("maxConnections":110,"protocol":"h1","tls":false}],)"
           R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,)"
           R"("headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
           R"("tenants":[{"name":"hule930","apiKeys":["i9n73hh2b9wu3fexd9dn"],)"
           R"("priority":1,"unit":"token","uncachedTokens":200,)"
           R"("ratePerS":220088,"burst":220088}]})";
}

std::mutex seen_mutex;
std::map<std::string, double> sent_at;
std::map<std::string, double> run_at;

bool run_note(worker& self, const message& request, answer_stream& out)
{
    const std::string attempt = request.field("Bergamotusher-Attempt-Id");
    {
        const std::lock_guard lock(seen_mutex);
        run_at.emplace(attempt, now_s());
    }
    record("worker " + self.id() + " runs attempt " + attempt);
    sleep_s(0.005);
    return out.write(self.answer(request, 200, "done"));
}

/// Sends at its share of the load, whatever the answers are, to an entry drawn
/// for each request; to the other one if that does not take the connection.
void send_notes(
    deployment& site,
    int number,
    const std::atomic<double>& requests_per_s,
    const std::atomic<bool>& ending)
{
    client_connection first(site.edge_ip(0), site.frontend_port());
    client_connection second(site.edge_ip(1), site.frontend_port());
    const auto interval = [&]
    {
        return client_count / requests_per_s;
    };
    double last = now_s() - interval() * number / client_count;
    while (!ending)
    {
        while (!ending && now_s() < last + interval())
            sleep_s(0.01);
        last = now_s();
        const std::string attempt = random_id();
        {
            const std::lock_guard lock(seen_mutex);
            sent_at.emplace(attempt, now_s());
        }
        const bool to_first = attempt.front() < '8';
        message answer;
        for (client_connection* to :
             {to_first ? &first : &second, to_first ? &second : &first})
        {
            answer = to->exchange(
                "POST",
                "/note/2f",
                {{"Host", "shop.example"},
                 {"Bergamotusher-Attempt-Id", attempt},
                 {"Bergamotusher-Token-Usage", "9900,100"},
                 {"Bergamotusher-Deadline-Ms", "4000"},
                 {"Authorization", std::string("Bearer ") + key}},
                "a note",
                4.0);
            // Not read by this entry: nothing was answered and nothing ran.
            const std::lock_guard lock(seen_mutex);
            if (answer.status != 0 || run_at.count(attempt) > 0)
                break;
        }
        record(
            "attempt " + attempt + ": " +
            (answer.status == 0 ? "no answer" : std::to_string(answer.status)));
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
    workers.reserve(3);
    for (int i = 0; i < 3; ++i)
        workers.push_back(std::make_unique<worker>(
            site, worker_options{"note-desk", "v1", 24, i}, run_note));
    if (!site.configure(configuration()) || !site.wait_until_listed(2, 15))
        cannot_run("the deployment does not start");
    sleep_s(contact_s);
    std::atomic<bool> ending{false};
    std::atomic<double> requests_per_s{usual_per_s * quiet_factor};
    std::vector<std::thread> clients;
    clients.reserve(client_count);
    for (int i = 0; i < client_count; ++i)
        clients.emplace_back([&, i]
                             { send_notes(site, i, requests_per_s, ending); });
    sleep_s(calm_time_s);
    const double hot_from = now_s();
    record("the tenant sends many times its usual");
    requests_per_s = usual_per_s * hot_factor;
    double next_kill = hot_from + first_kill_s;
    int kills = 0;
    while (now_s() < hot_from + hot_time_s)
    {
        if (has_trouble() && kills < kill_count && now_s() >= next_kill)
        {
            site.restart_all(down_s);
            next_kill += kill_interval_s;
            ++kills;
        }
        sleep_s(0.01);
    }
    ending = true;
    for (std::thread& each : clients)
        each.join();
    const std::lock_guard lock(seen_mutex);
    std::vector<std::pair<double, double>> runs;
    runs.reserve(run_at.size());
    for (const auto& [attempt, at] : run_at)
        runs.emplace_back(sent_at.at(attempt), at);
    std::sort(runs.begin(), runs.end());
    double most = 0;
    double most_from = 0;
    for (const auto& [from, ignored] : runs)
    {
        const auto inside = std::count_if(
            runs.begin(),
            runs.end(),
            [start = from](const auto& run)
            { return run.first >= start && run.second <= start + window_s; });
        if (static_cast<double>(inside) * tokens_per_request > most)
        {
            most = static_cast<double>(inside) * tokens_per_request;
            most_from = from;
        }
    }
    const double allowed =
        (rate_per_s * window_s + burst) * (1 + overshoot) + slack;
    record(
        std::to_string(runs.size()) + " requests ran; in the 8 s from " +
        std::to_string(most_from) + " on " + std::to_string(most) +
        " tokens, allowed are " + std::to_string(allowed));
    const bool broken = most > allowed;
    record(broken ? "broken: QUOTA" : "held");
    return broken ? 1 : 0;
}
