// The whole path over separate processes: callers, four daemons, fakes.
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

// The answer is whole: each token once, in order, and the end mark.
void check_whole(const caller_answer& answer, unsigned tokens)
{
    CHECK(answer.error.empty());
    CHECK(answer.done);
    CHECK(joined(answer) == expected_text(tokens));
    std::vector<std::uint64_t> ids(tokens);
    for (unsigned i = 0; i < tokens; ++i)
        ids[i] = i + 1;
    CHECK(answer.event_ids == ids);
}

caller_answer
place_order(cluster& system, unsigned entry, const std::string& key, int number)
{
    caller_call what;
    what.address = system.entry(entry);
    what.method = "POST";
    what.path = "/v1/services/order-desk/orders";
    what.key = cluster::key;
    what.body = json{{"hide", number}}.dump();
    what.headers["Idempotency-Key"] = key;
    return call(what);
}

std::size_t runs_of(const cluster& system, const std::string& key)
{
    const auto lines = system.orders();
    return static_cast<std::size_t>(std::count_if(
        lines.begin(),
        lines.end(),
        [&](const std::string& line)
        { return line.find(" " + key + " ") != std::string::npos; }));
}

// The engine that runs the newest attempt, by the time line of `entry`.
std::string engine_of(cluster& system, unsigned entry, const std::string& id)
{
    const auto answer =
        system.operate(entry, "GET", "/v1/timeline?request=" + id);
    std::string engine;
    const json list = json::parse(answer.body, nullptr, false);
    for (const json& one : list.value("events", json::array()))
        if (one.value("kind", "") == "attempt_dispatched")
            engine = one.value("upstream", "");
    return engine;
}

} // namespace

TEST_CASE("four daemons serve callers")
{
    cluster system;
    system.start_engine("engine-1", {"--domain=suva"});
    system.start_engine("engine-2", {"--domain=nadi"});
    system.start_desk("desk-1");

    SECTION("a caller asks any of them which entries to use")
    {
        for (unsigned i = 0; i < 4; ++i)
        {
            const auto answer =
                call({system.entry(i), "GET", "/v1/entries", cluster::key});
            REQUIRE(answer.status == 200);
            CHECK(json::parse(answer.body).at("entries").size() >= 2);
        }
    }
    SECTION("each of them streams an answer from an engine")
    {
        for (unsigned i = 0; i < 4; ++i)
            check_whole(
                ask({system.entry(i)}, cluster::key, "a question", 20), 20);
    }
    SECTION("a question that crashes no one survives the engine's death")
    {
        std::string killed;
        const auto answer =
            ask({system.entry(0)},
                cluster::key,
                "a long question",
                60,
                [&](const caller_answer& so_far)
                {
                    if (so_far.texts.size() == 20 && killed.empty())
                    {
                        killed = engine_of(
                            system,
                            0,
                            so_far.headers.at("Bergamotusher-Request-Id"));
                        system.upstream(killed).kill();
                    }
                    return true;
                });
        CHECK(!killed.empty());
        check_whole(answer, 60);
    }
    SECTION("an order runs once, however often and wherever it is sent")
    {
        const auto first = place_order(system, 0, "order-1", 7);
        CHECK(first.status == 201);
        for (unsigned i = 0; i < 4; ++i)
        {
            const auto again = place_order(system, i, "order-1", 7);
            CHECK(again.status == 201);
            CHECK(again.body == first.body);
        }
        CHECK(runs_of(system, "order-1") == 1);

        SECTION("and its key stands for no other order")
        {
            const auto other = place_order(system, 1, "order-1", 8);
            CHECK(other.status == 422);
            CHECK(json::parse(other.body).at("run") == "not_run");
            CHECK(runs_of(system, "order-1") == 1);
        }
    }
    SECTION("an order without a key is refused and not run")
    {
        const auto answer = place_order(system, 0, "", 7);
        CHECK(answer.status == 400);
        CHECK(json::parse(answer.body).at("run") == "not_run");
        CHECK(system.orders().empty());
    }
    SECTION("no account reads another's request by its id")
    {
        const auto own = ask({system.entry(0)}, cluster::key, "mine", 5);
        check_whole(own, 5);
        const std::string path =
            "/v1/requests/" + own.headers.at("Bergamotusher-Request-Id");
        CHECK(call({system.entry(0), "GET", path, cluster::key}).status == 200);
        const auto foreign =
            call({system.entry(0), "GET", path, cluster::other_key});
        CHECK(foreign.status == 404);
        CHECK(foreign.body.find("t0") == std::string::npos);
    }
}

TEST_CASE("an entry that drains cuts off nobody")
{
    cluster system;
    system.start_engine("engine-1", {"--gap-ms=40"});
    bool told = false;

    SECTION("by a signal, with a stream in flight")
    {
        const auto answer =
            ask(system.entries(0),
                cluster::key,
                "a slow question",
                50,
                [&](const caller_answer& so_far)
                {
                    if (so_far.texts.size() == 5 && !told)
                    {
                        told = true;
                        system.node(0).send(SIGTERM);
                    }
                    return true;
                });
        check_whole(answer, 50);
        CHECK(system.node(0).wait(20) == 0);
    }
    SECTION("by the platform's notice, with a stream that outlasts it")
    {
        const auto answer =
            ask(system.entries(0),
                cluster::key,
                "a very slow question",
                300,
                [&](const caller_answer& so_far)
                {
                    if (so_far.texts.size() == 5 && !told)
                    {
                        told = true;
                        system.give_notice("node-1", "", 8);
                    }
                    return true;
                });
        check_whole(answer, 300);
        CHECK(system.node(0).wait(20) == 0);
    }
    SECTION("and stores the answer of an order before it ends")
    {
        system.start_desk("desk-1", {"--delay-ms=300"});
        system.node(0).send(SIGTERM);
        const auto first = place_order(system, 0, "last-order", 7);
        CHECK(first.status == 201);
        CHECK(system.node(0).wait(20) == 0);
        const auto again = place_order(system, 1, "last-order", 7);
        CHECK(again.status == 201);
        CHECK(again.body == first.body);
        CHECK(runs_of(system, "last-order") == 1);
    }
    SECTION("and is not handed out any more")
    {
        system.node(0).send(SIGTERM);
        const auto left = [&]
        {
            const auto answer =
                call({system.entry(1), "GET", "/v1/entries", cluster::key});
            return answer.status == 200 &&
                   answer.body.find(system.entry(0)) == std::string::npos;
        };
        CHECK(cluster::wait_until(left, 3));
        const auto still =
            ask({system.entry(0)}, cluster::key, "an old address", 3);
        check_whole(still, 3);
    }
}

TEST_CASE("an upstream that leaves gets no new work")
{
    cluster system;
    system.start_engine("engine-1", {"--domain=suva", "--price=0.1"});
    system.start_engine("engine-2", {"--domain=nadi", "--price=1"});
    const auto used = [&](const std::string& prompt)
    {
        const auto answer = ask({system.entry(2)}, cluster::key, prompt, 2);
        check_whole(answer, 2);
        return engine_of(
            system, 2, answer.headers.at("Bergamotusher-Request-Id"));
    };
    const auto only_second = [&]
    {
        std::set<std::string> engines;
        for (int i = 0; i < 8; ++i)
            engines.insert(used("q" + std::to_string(i)));
        return engines == std::set<std::string>{"engine-2"};
    };

    SECTION("when it says so")
    {
        system.upstream("engine-1").send(SIGTERM);
        REQUIRE(system.upstream("engine-1").wait(5) == 0);
        CHECK(cluster::wait_until(only_second, 2));
    }
    SECTION("when the platform says so")
    {
        system.give_notice("engine-1", "", 60);
        CHECK(cluster::wait_until(only_second, 2));
    }
    SECTION("when it falls silent")
    {
        system.upstream("engine-1").send(SIGSTOP);
        CHECK(cluster::wait_until(only_second, 20));
        system.upstream("engine-1").send(SIGCONT);
    }
}
