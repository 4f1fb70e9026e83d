// Requests from clients through four daemons to fake upstreams, each a process
// of its own: streaming, retries, orders that run once, draining and upstreams
// that leave.
#include "harness/cluster.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <set>

using namespace bergamotusher::tests;
using nlohmann::json;

namespace
{

// Checks that the answer is complete: each token once, in order, followed by
// the end marker `[DONE]`.
void check_complete(const client_response& answer, unsigned tokens)
{
    CHECK(answer.error.empty());
    CHECK(answer.done);
    CHECK(joined_text(answer) == expected_text(tokens));
    std::vector<std::uint64_t> ids(tokens);
    for (unsigned i = 0; i < tokens; ++i)
        ids[i] = i + 1;
    CHECK(answer.event_ids == ids);
}

client_response place_order(
    cluster& system, unsigned entry, const std::string& key, int hide_number)
{
    client_request request;
    request.address = system.entry(entry);
    request.method = "POST";
    request.path = "/v1/services/order-desk/orders";
    request.key = cluster::key;
    request.body = json{{"hide", hide_number}}.dump();
    request.headers["Idempotency-Key"] = key;
    return send_request(request);
}

// Returns how often the desks ran the order with this idempotency key.
std::size_t count_executions(const cluster& system, const std::string& key)
{
    const auto lines = system.executed_orders();
    return static_cast<std::size_t>(std::count_if(
        lines.begin(),
        lines.end(),
        [&](const std::string& line)
        { return line.find(" " + key + " ") != std::string::npos; }));
}

// Returns the engine of the request's newest attempt, according to the time
// line at `entry`.
std::string
last_engine_of(cluster& system, unsigned entry, const std::string& request_id)
{
    const auto answer = system.send_admin_request(
        entry, "GET", "/v1/timeline?request=" + request_id);
    std::string engine;
    const json timeline = json::parse(answer.body, nullptr, false);
    for (const json& event : timeline.value("events", json::array()))
        if (event.value("kind", "") == "attempt_dispatched")
            engine = event.value("upstream", "");
    return engine;
}

} // namespace

TEST_CASE("four daemons serve client requests")
{
    cluster system;
    system.start_engine("engine-1", {"--domain=suva"});
    system.start_engine("engine-2", {"--domain=nadi"});
    system.start_desk("desk-1");

    SECTION("each entry lists the entries that a client may use")
    {
        for (unsigned i = 0; i < 4; ++i)
        {
            const auto answer = send_request(
                {system.entry(i), "GET", "/v1/entries", cluster::key});
            REQUIRE(answer.status == 200);
            CHECK(json::parse(answer.body).at("entries").size() >= 2);
        }
    }
    SECTION("each entry streams an answer from an engine")
    {
        for (unsigned i = 0; i < 4; ++i)
            check_complete(
                stream_completion(
                    {system.entry(i)}, cluster::key, "a question", 20),
                20);
    }
    SECTION("a stream resumes on another engine when its engine is killed")
    {
        std::string killed_engine;
        const auto answer = stream_completion(
            {system.entry(0)},
            cluster::key,
            "a long question",
            60,
            [&](const client_response& partial)
            {
                if (partial.texts.size() == 20 && killed_engine.empty())
                {
                    killed_engine = last_engine_of(
                        system,
                        0,
                        partial.headers.at("Bergamotusher-Request-Id"));
                    system.upstream(killed_engine).kill();
                }
                return true;
            });
        CHECK(!killed_engine.empty());
        check_complete(answer, 60);
    }
    SECTION("an order runs once although it is sent repeatedly to all entries")
    {
        const auto first = place_order(system, 0, "order-1", 7);
        CHECK(first.status == 201);
        for (unsigned i = 0; i < 4; ++i)
        {
            const auto repeated = place_order(system, i, "order-1", 7);
            CHECK(repeated.status == 201);
            CHECK(repeated.body == first.body);
        }
        CHECK(count_executions(system, "order-1") == 1);

        SECTION("and its key is rejected for a different order")
        {
            const auto conflicting = place_order(system, 1, "order-1", 8);
            CHECK(conflicting.status == 422);
            CHECK(json::parse(conflicting.body).at("run") == "not_run");
            CHECK(count_executions(system, "order-1") == 1);
        }
    }
    SECTION("an order without an idempotency key is rejected and not run")
    {
        const auto answer = place_order(system, 0, "", 7);
        CHECK(answer.status == 400);
        CHECK(json::parse(answer.body).at("run") == "not_run");
        CHECK(system.executed_orders().empty());
    }
    SECTION("an account cannot read a request of another account by its id")
    {
        const auto own_response =
            stream_completion({system.entry(0)}, cluster::key, "mine", 5);
        check_complete(own_response, 5);
        const std::string path =
            "/v1/requests/" +
            own_response.headers.at("Bergamotusher-Request-Id");
        CHECK(
            send_request({system.entry(0), "GET", path, cluster::key}).status ==
            200);
        const auto other_account_response =
            send_request({system.entry(0), "GET", path, cluster::other_key});
        CHECK(other_account_response.status == 404);
        CHECK(other_account_response.body.find("t0") == std::string::npos);
    }
}

TEST_CASE("an entry that drains completes its requests")
{
    cluster system;
    system.start_engine("engine-1", {"--gap-ms=40"});
    bool signalled = false;

    SECTION("a stream in flight at SIGTERM")
    {
        const auto answer = stream_completion(
            system.entries(0),
            cluster::key,
            "a slow question",
            50,
            [&](const client_response& partial)
            {
                if (partial.texts.size() == 5 && !signalled)
                {
                    signalled = true;
                    system.node(0).send(SIGTERM);
                }
                return true;
            });
        check_complete(answer, 50);
        CHECK(system.node(0).wait(20) == 0);
    }
    SECTION("a stream that outlasts the time left of a reclaim notice")
    {
        const auto answer = stream_completion(
            system.entries(0),
            cluster::key,
            "a very slow question",
            300,
            [&](const client_response& partial)
            {
                if (partial.texts.size() == 5 && !signalled)
                {
                    signalled = true;
                    system.post_reclaim_notice("node-1", "", 8);
                }
                return true;
            });
        check_complete(answer, 300);
        CHECK(system.node(0).wait(20) == 0);
    }
    SECTION(
        "an order sent while draining, whose answer other entries then know")
    {
        system.start_desk("desk-1", {"--delay-ms=300"});
        system.node(0).send(SIGTERM);
        const auto first = place_order(system, 0, "last-order", 7);
        CHECK(first.status == 201);
        CHECK(system.node(0).wait(20) == 0);
        const auto repeated = place_order(system, 1, "last-order", 7);
        CHECK(repeated.status == 201);
        CHECK(repeated.body == first.body);
        CHECK(count_executions(system, "last-order") == 1);
    }
    SECTION("a request sent to an entry that is no longer listed")
    {
        system.node(0).send(SIGTERM);
        const auto is_unlisted = [&]
        {
            const auto answer = send_request(
                {system.entry(1), "GET", "/v1/entries", cluster::key});
            return answer.status == 200 &&
                   answer.body.find(system.entry(0)) == std::string::npos;
        };
        CHECK(cluster::wait_until(is_unlisted, 3));
        const auto response_at_drained = stream_completion(
            {system.entry(0)}, cluster::key, "an old address", 3);
        check_complete(response_at_drained, 3);
    }
}

TEST_CASE("an upstream that leaves gets no new requests")
{
    cluster system;
    system.start_engine("engine-1", {"--domain=suva", "--price=0.1"});
    system.start_engine("engine-2", {"--domain=nadi", "--price=1"});
    const auto serve_one = [&](const std::string& prompt)
    {
        const auto answer =
            stream_completion({system.entry(2)}, cluster::key, prompt, 2);
        check_complete(answer, 2);
        return last_engine_of(
            system, 2, answer.headers.at("Bergamotusher-Request-Id"));
    };
    const auto only_second_serves = [&]
    {
        std::set<std::string> engines;
        for (int i = 0; i < 8; ++i)
            engines.insert(serve_one("q" + std::to_string(i)));
        return engines == std::set<std::string>{"engine-2"};
    };

    SECTION("after it announces that it leaves")
    {
        system.upstream("engine-1").send(SIGTERM);
        REQUIRE(system.upstream("engine-1").wait(5) == 0);
        CHECK(cluster::wait_until(only_second_serves, 2));
    }
    SECTION("after a reclaim notice of the platform")
    {
        system.post_reclaim_notice("engine-1", "", 60);
        CHECK(cluster::wait_until(only_second_serves, 2));
    }
    SECTION("after its announcements stop")
    {
        system.upstream("engine-1").send(SIGSTOP);
        CHECK(cluster::wait_until(only_second_serves, 20));
        system.upstream("engine-1").send(SIGCONT);
    }
}
