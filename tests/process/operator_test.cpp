// Operator commands of bergamotctl against real daemons, the rejection of
// requests without a valid key, and the limit on engine crashes by one request.
#include "harness/cluster.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <csignal>

using namespace bergamotusher::tests;
using nlohmann::json;

namespace
{

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

std::string make_admin_flag(const cluster& system)
{
    // Nothing listens at the first address: bergamotctl must try the next.
    return "--admin=127.0.0.1:1," + system.admin(0) + "," + system.admin(1) +
           "," + system.admin(2) + "," + system.admin(3);
}

} // namespace

TEST_CASE("bergamotctl shows and changes the state of the system")
{
    cluster system;
    system.start_engine("engine-1");
    system.start_engine("engine-2", {"--domain=nadi"});
    const std::string admin_flag = make_admin_flag(system);

    SECTION("status and upstreams list all nodes and upstreams")
    {
        const std::string status = system.run_ctl({admin_flag, "status"});
        for (const char* node : {"node-1", "node-2", "node-3", "node-4"})
            CHECK(contains(status, node));
        CHECK(contains(system.run_ctl({admin_flag, "upstreams"}), "engine-2"));
    }
    SECTION("config get and config history show the configuration")
    {
        const std::string text = system.run_ctl(
            {"--admin=" + system.admin(1),
             "--json",
             "config",
             "get",
             "classes"});
        INFO(text);
        CHECK(json::parse(text, nullptr, false).is_object());
        CHECK(contains(text, "chat"));
        CHECK(contains(
            system.run_ctl({admin_flag, "config", "history"}), "binder"));
    }
    SECTION("move start creates a version move that move list shows")
    {
        const std::string output = system.run_ctl(
            {admin_flag,
             "move",
             "start",
             "assistant-llm",
             "v2",
             "--deadline=120"});
        INFO(output);
        CHECK(contains(output, "accepted"));
        CHECK(contains(system.run_ctl({admin_flag, "move", "list"}), "v2"));
    }
    SECTION("timeline shows the merged events of a request")
    {
        const auto response =
            stream_completion({system.entry(2)}, cluster::key, "q", 3);
        const std::string id = response.headers.at("Bergamotusher-Request-Id");
        const std::string timeline =
            system.run_ctl({admin_flag, "timeline", "--request=" + id});
        CHECK(contains(timeline, "request_accepted"));
        CHECK(contains(timeline, "attempt_dispatched"));
        CHECK(contains(timeline, "request_finished"));
    }
}

TEST_CASE("requests with a wrong key and malformed announcements are rejected")
{
    cluster system;
    SECTION("a client request with a wrong key")
    {
        const auto response =
            send_request({system.entry(0), "GET", "/v1/entries", "wrong"});
        CHECK(response.status == 401);
        CHECK(contains(response.body, "not_run"));
    }
    SECTION("an operator request with a wrong token")
    {
        client_request request;
        request.address = system.admin(0);
        request.path = "/v1/status";
        request.key = "wrong";
        CHECK(send_request(request).status == 401);
        request.method = "PUT";
        request.path = "/v1/config/classes/chat";
        request.body = "{}";
        CHECK(send_request(request).status == 401);
    }
    SECTION("an upstream announcement with a client key")
    {
        client_request request;
        request.address = system.admin(0);
        request.method = "POST";
        request.path = "/v1/upstreams";
        request.key = cluster::key;
        request.body = "{}";
        CHECK(send_request(request).status == 401);
    }
    SECTION("a malformed announcement is rejected and counted")
    {
        const auto upstreams_response =
            system.send_admin_request(0, "GET", "/v1/upstreams");
        CHECK(upstreams_response.status == 200);
        client_request request;
        request.address = system.admin(0);
        request.method = "POST";
        request.path = "/v1/upstreams";
        request.key = "upstream-token";
        request.body = R"({"instance":"x","slots":-4})";
        const auto response = send_request(request);
        CHECK(response.status == 400);
        CHECK(contains(response.body, "malformed_request"));
        CHECK(contains(
            system.send_admin_request(0, "GET", "/metrics").body,
            "bergamotusher_bad_announcements_total 1"));
    }
}

TEST_CASE("a request that crashes engines is stopped after two")
{
    cluster system;
    for (int i = 1; i <= 4; ++i)
        system.start_engine(
            "engine-" + std::to_string(i),
            {std::string("--domain=") + (i % 2 == 0 ? "suva" : "nadi"),
             "--crash-on=poison"});
    const auto running_engines = [&]
    {
        int count = 0;
        for (int i = 1; i <= 4; ++i)
            count += system.upstream("engine-" + std::to_string(i)).running();
        return count;
    };
    const auto response =
        stream_completion({system.entry(0)}, cluster::key, "poison", 5);
    CHECK(!response.done);
    CHECK(running_engines() == 2);

    SECTION("also when its client sends it again through another entry")
    {
        for (unsigned i = 1; i < 4; ++i)
        {
            const auto repeated =
                stream_completion({system.entry(i)}, cluster::key, "poison", 5);
            CHECK(!repeated.done);
        }
        CHECK(running_engines() == 2);
    }
    SECTION("and other requests are served")
    {
        const auto good_response =
            stream_completion({system.entry(0)}, cluster::key, "good", 5);
        CHECK(good_response.done);
        CHECK(joined_text(good_response) == expected_text(5));
    }
}

TEST_CASE("a retry at another entry does not overtake slow crash reports")
{
    cluster system(4, true);
    for (int i = 1; i <= 4; ++i)
        system.start_engine(
            "engine-" + std::to_string(i),
            {std::string("--domain=") + (i % 2 == 0 ? "suva" : "nadi"),
             "--crash-on=poison"});
    system.slow_down(0, std::chrono::milliseconds(50));
    for (unsigned i = 0; i < 4; ++i)
    {
        const auto response =
            stream_completion({system.entry(i)}, cluster::key, "poison", 5);
        CHECK(!response.done);
        INFO(response.error);
        CHECK(json::parse(response.error).value("kind", "") == "quarantined");
    }
    int running_engines = 0;
    for (int i = 1; i <= 4; ++i)
        running_engines +=
            system.upstream("engine-" + std::to_string(i)).running();
    CHECK(running_engines == 2);
}
