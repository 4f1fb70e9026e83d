// What an operator does with bergamotctl, against real daemons; and who is
// turned away.
#include "harness/cluster.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <csignal>

using namespace bergamotusher::tests;
using nlohmann::json;

namespace
{

bool has(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

std::string admins(const cluster& system)
{
    // The first address answers nobody: the tool goes on to the next.
    return "--admin=127.0.0.1:1," + system.admin(0) + "," + system.admin(1) +
           "," + system.admin(2) + "," + system.admin(3);
}

} // namespace

TEST_CASE("an operator drives the system with bergamotctl")
{
    cluster system;
    system.start_engine("engine-1");
    system.start_engine("engine-2", {"--domain=nadi"});
    const std::string where = admins(system);

    SECTION("and sees all processes and upstreams")
    {
        const std::string status = system.run_ctl({where, "status"});
        for (const char* node : {"node-1", "node-2", "node-3", "node-4"})
            CHECK(has(status, node));
        CHECK(has(system.run_ctl({where, "upstreams"}), "engine-2"));
    }
    SECTION("and reads what is set")
    {
        const std::string text = system.run_ctl(
            {"--admin=" + system.admin(1),
             "--json",
             "config",
             "get",
             "classes"});
        INFO(text);
        CHECK(json::parse(text, nullptr, false).is_object());
        CHECK(has(text, "chat"));
        CHECK(has(system.run_ctl({where, "config", "history"}), "binder"));
    }
    SECTION("and starts a move that the system knows from then on")
    {
        const std::string started = system.run_ctl(
            {where, "move", "start", "assistant-llm", "v2", "--deadline=120"});
        INFO(started);
        CHECK(has(started, "accepted"));
        CHECK(has(system.run_ctl({where, "move", "list"}), "v2"));
    }
    SECTION("and finds a request on the merged time line")
    {
        const auto answer = ask({system.entry(2)}, cluster::key, "q", 3);
        const std::string id = answer.headers.at("Bergamotusher-Request-Id");
        const std::string line =
            system.run_ctl({where, "timeline", "--request=" + id});
        CHECK(has(line, "request_accepted"));
        CHECK(has(line, "attempt_dispatched"));
        CHECK(has(line, "request_finished"));
    }
}

TEST_CASE("whoever has no right key is turned away")
{
    cluster system;
    SECTION("a caller")
    {
        const auto answer =
            call({system.entry(0), "GET", "/v1/entries", "wrong"});
        CHECK(answer.status == 401);
        CHECK(has(answer.body, "not_run"));
    }
    SECTION("an operator")
    {
        caller_call what;
        what.address = system.admin(0);
        what.path = "/v1/status";
        what.key = "wrong";
        CHECK(call(what).status == 401);
        what.method = "PUT";
        what.path = "/v1/config/classes/chat";
        what.body = "{}";
        CHECK(call(what).status == 401);
    }
    SECTION("an upstream, and a caller's key does not do")
    {
        caller_call what;
        what.address = system.admin(0);
        what.method = "POST";
        what.path = "/v1/upstreams";
        what.key = cluster::key;
        what.body = "{}";
        CHECK(call(what).status == 401);
    }
    SECTION("and a wrong announcement is named, and serving goes on")
    {
        const auto engine = system.operate(0, "GET", "/v1/upstreams");
        CHECK(engine.status == 200);
        caller_call what;
        what.address = system.admin(0);
        what.method = "POST";
        what.path = "/v1/upstreams";
        what.key = "upstream-token";
        what.body = R"({"instance":"x","slots":-4})";
        const auto answer = call(what);
        CHECK(answer.status == 400);
        CHECK(has(answer.body, "malformed_request"));
        CHECK(
            has(system.operate(0, "GET", "/metrics").body,
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
    const auto alive = [&]
    {
        int count = 0;
        for (int i = 1; i <= 4; ++i)
            count += system.upstream("engine-" + std::to_string(i)).running();
        return count;
    };
    const auto first = ask({system.entry(0)}, cluster::key, "poison", 5);
    CHECK(!first.done);
    CHECK(alive() == 2);

    SECTION("also when its caller sends it again through another entry")
    {
        for (unsigned i = 1; i < 4; ++i)
        {
            const auto again =
                ask({system.entry(i)}, cluster::key, "poison", 5);
            CHECK(!again.done);
        }
        CHECK(alive() == 2);
    }
    SECTION("and others are served")
    {
        const auto other = ask({system.entry(0)}, cluster::key, "good", 5);
        CHECK(other.done);
        CHECK(joined(other) == expected_text(5));
    }
}
