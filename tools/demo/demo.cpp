// The demonstration: starts four daemons and their fakes on loopback, lets
// some of them die under work, and shows that every request ends right.
#include "harness/cluster.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>

using namespace bergamotusher::tests;
using nlohmann::json;

namespace
{

constexpr unsigned long_answer = 120;
constexpr unsigned longest_answer = 400;
constexpr double notice_seconds = 8;

int failures = 0;

void say(const std::string& text)
{
    std::cout << text << std::endl;
}

void show(bool good, const std::string& text)
{
    std::cout << (good ? "  ok      " : "  FAILED  ") << text << std::endl;
    failures += good ? 0 : 1;
}

bool whole(const caller_answer& answer, unsigned tokens)
{
    return answer.done && answer.error.empty() &&
           joined(answer) == expected_text(tokens);
}

// The engine that runs the request's newest attempt.
std::string engine_of(cluster& system, unsigned entry, const std::string& id)
{
    const json list = json::parse(
        system.operate(entry, "GET", "/v1/timeline?request=" + id).body,
        nullptr,
        false);
    std::string engine;
    for (const json& one : list.value("events", json::array()))
        if (one.value("kind", "") == "attempt_dispatched")
            engine = one.value("upstream", "");
    return engine;
}

std::string id_of(const caller_answer& answer)
{
    return answer.headers.at("Bergamotusher-Request-Id");
}

void stream_question(cluster& system)
{
    say("\nA caller streams a question of 20 tokens:");
    const auto answer = ask({system.entry(0)}, cluster::key, "a question", 20);
    show(whole(answer, 20), joined(answer));
}

void place_order(cluster& system)
{
    say("\nA caller places an order, and sends it again through each entry:");
    caller_call what;
    what.method = "POST";
    what.path = "/v1/services/order-desk/orders";
    what.key = cluster::key;
    what.body = R"({"hide":7})";
    what.headers["Idempotency-Key"] = "order-7";
    for (unsigned i = 0; i < 4; ++i)
    {
        what.address = system.entry(i);
        const auto answer = call(what);
        show(
            answer.status == 201,
            system.entry(i) + " answers " + std::to_string(answer.status) +
                " " + answer.body);
    }
    show(system.orders().size() == 1, "the order ran once");
}

void kill_engine(cluster& system)
{
    say("\nThe engine that answers is killed after 30 of 120 tokens:");
    std::string killed;
    const auto answer =
        ask({system.entry(1)},
            cluster::key,
            "a long question",
            long_answer,
            [&](const caller_answer& so_far)
            {
                if (so_far.texts.size() == 30 && killed.empty())
                {
                    killed = engine_of(system, 1, id_of(so_far));
                    say("  killed  " + killed);
                    system.upstream(killed).kill();
                }
                return true;
            });
    show(
        whole(answer, long_answer),
        "the caller got all 120 tokens, each once and in order");
}

void reclaim_entry(cluster& system)
{
    say("\nThe platform reclaims the entry that holds a long stream:");
    bool told = false;
    const auto answer =
        ask(system.entries(0),
            cluster::key,
            "the longest question",
            longest_answer,
            [&](const caller_answer& so_far)
            {
                if (so_far.texts.size() == 10 && !told)
                {
                    told = true;
                    system.give_notice("node-1", "", notice_seconds);
                    say("  notice  node-1 has 8 s left");
                }
                if (!so_far.moved_to.empty())
                    say("  moved   the caller goes on at " + so_far.moved_to);
                return true;
            });
    show(
        whole(answer, longest_answer),
        "the caller got all 400 tokens, each once and in order");
    show(system.node(0).wait(20) == 0, "node-1 has ended by itself");
}

void show_timeline(cluster& system)
{
    say("\nThe time line of all processes, merged:");
    std::string admins;
    for (unsigned i = 1; i < 4; ++i)
        admins += (i == 1 ? "" : ",") + system.admin(i);
    std::cout << system.run_ctl(
                     {"timeline", "--admin", admins, "--limit", "60"})
              << std::endl;
}

} // namespace

int main()
{
    try
    {
        say("Starting four daemons, three engines and two order desks.");
        cluster system;
        system.start_engine("engine-1", {"--domain=suva", "--gap-ms=20"});
        system.start_engine("engine-2", {"--domain=nadi", "--gap-ms=20"});
        system.start_engine("engine-3", {"--domain=lautoka", "--gap-ms=20"});
        system.start_desk("desk-1", {"--domain=suva"});
        system.start_desk("desk-2", {"--domain=nadi"});
        stream_question(system);
        place_order(system);
        kill_engine(system);
        reclaim_entry(system);
        show_timeline(system);
        say(failures == 0 ? "Every request ended right."
                          : "Some requests did not end right.");
    }
    catch (const std::exception& error)
    {
        std::cerr << "demo: " << error.what() << "\n";
        return 1;
    }
    return failures == 0 ? 0 : 1;
}
