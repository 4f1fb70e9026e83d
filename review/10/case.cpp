// The operator raises `maxBodyBytes`; clients that keep their connections open
// then send bodies that only the new configuration allows.
#include "../rig/rig.hpp"

#include <iostream>

using namespace rig;

namespace
{

constexpr double config_apply_s = 2.0;
constexpr double contact_s = 3.0;
constexpr std::size_t old_limit = 65536;
constexpr std::size_t new_limit = 262144;
constexpr std::size_t small_body = 600;
constexpr std::size_t large_body = 110000;
constexpr int client_count = 24;
constexpr const char* key = "i9n73hh2b9wu3fexd9dn";

std::string configuration(int version, std::size_t max_body)
{
    return "{\"version\":" + std::to_string(version) +
           R"(,"routes":[{"name":"r-notes","host":"shop.example",)"
           R"("pathPrefix":"/notes/","type":"unsafe","timeoutMs":2000,)"
           R"("targetLatencyMs":300,"priority":0,"service":"order-desk",)"
           R"("maxAttempts":1,"public":false}],"services":[)"
           R"({"name":"order-desk","healthPath":"/healthz",)"
           R"("maxConnections":110,"protocol":"h1","tls":false}],)"
           R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":)" +
           std::to_string(max_body) +
           R"(,"headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
           R"("tenants":[{"name":"hule930","apiKeys":["i9n73hh2b9wu3fexd9dn"],)"
           R"("priority":1,"ratePerS":0,"burst":0}]})";
}

struct outcome
{
    std::string attempt;
    message answer;
};

outcome send_request(client_connection& to, std::size_t body_size)
{
    const std::string attempt = random_id();
    return {
        attempt,
        to.exchange(
            "POST",
            "/notes/2f",
            {{"Host", "shop.example"},
             {"Bergamotusher-Attempt-Id", attempt},
             {"Bergamotusher-Deadline-Ms", "4000"},
             {"Authorization", std::string("Bearer ") + key}},
            std::string(body_size, 'x'),
            4.0)};
}

std::string describe(int client, const char* connection, const outcome& seen)
{
    return "client " + std::to_string(client) + ", " + connection +
           " connection, attempt " + seen.attempt + ": " +
           (seen.answer.status == 0 ? "no answer"
                                    : std::to_string(seen.answer.status)) +
           (seen.answer.field("Bergamotusher-Server-Seal").empty()
                ? ", not a worker's answer"
                : "");
}

/// A 3xx or 4xx of the system's own that no client repeats.
bool is_denial(const message& answer)
{
    return answer.status >= 300 && answer.status < 500 &&
           answer.status != 408 && answer.status != 421 &&
           answer.status != 429 &&
           answer.field("Bergamotusher-Server-Seal").empty();
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
            site,
            worker_options{"order-desk", "v1", 6, i},
            [](worker& self, const message& request, answer_stream& out)
            {
                record(
                    "worker " + self.id() + " runs attempt " +
                    request.field("Bergamotusher-Attempt-Id") + ", body of " +
                    std::to_string(request.body.size()) + " bytes");
                sleep_s(0.02);
                return out.write(self.answer(request, 200, "done"));
            }));
    const std::size_t first_limit = has_trouble() ? old_limit : new_limit;
    if (!site.configure(configuration(7, first_limit)) ||
        !site.wait_until_listed(2, 15))
        cannot_run("the deployment does not start");
    record(
        "acknowledged: version 7, maxBodyBytes " + std::to_string(first_limit));
    sleep_s(contact_s + 2);

    std::vector<std::unique_ptr<client_connection>> kept;
    kept.reserve(client_count);
    int requests = 0;
    int denied = 0;
    for (int i = 0; i < client_count; ++i)
    {
        kept.push_back(std::make_unique<client_connection>(
            site.edge_ip(i % 2), site.frontend_port()));
        const outcome seen = send_request(*kept.back(), small_body);
        ++requests;
        record(describe(i, "kept", seen));
        if (seen.answer.status != 200 || !kept.back()->is_open())
            cannot_run("a small request is not served");
    }
    if (has_trouble())
    {
        if (!site.configure(configuration(8, new_limit)))
            cannot_run("the change is not acknowledged");
        record(
            "acknowledged: version 8, maxBodyBytes " +
            std::to_string(new_limit));
    }
    // Within four fifths of the idle time.
    sleep_s(config_apply_s + 1);
    for (int i = 0; i < client_count; ++i)
    {
        // Shows that the entry serves such a request under the configuration
        // in force.
        client_connection fresh(site.edge_ip(i % 2), site.frontend_port());
        const outcome on_fresh = send_request(fresh, large_body);
        ++requests;
        record(describe(i, "new", on_fresh));
        if (on_fresh.answer.status != 200)
            cannot_run("a large request on a new connection is not served");
        const outcome seen =
            send_request(*kept[static_cast<std::size_t>(i)], large_body);
        ++requests;
        record(describe(i, "kept", seen));
        denied += is_denial(seen.answer) ? 1 : 0;
    }
    const double allowed = 5 + requests / 500.0;
    record(
        std::to_string(denied) + " of " + std::to_string(requests) +
        " requests were ended with a 4xx of the system's own, " +
        std::to_string(allowed) + " are allowed");
    const bool broken = denied > allowed;
    record(broken ? "broken: DENIED" : "held");
    return broken ? 1 : 0;
}
