// Demonstration: starts four daemons and simulated upstreams on loopback,
// terminates some of them while they serve requests, and checks that every
// request completes correctly.
#include "harness/cluster.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>

using namespace bergamotusher::tests;
using nlohmann::json;

namespace
{

constexpr unsigned long_answer_tokens = 120;
constexpr unsigned longest_answer_tokens = 400;
constexpr double reclaim_notice_seconds = 8;

int failed_checks = 0;

void print_line(const std::string& text)
{
    std::cout << text << std::endl;
}

void check(bool passed, const std::string& text)
{
    std::cout << (passed ? "  ok      " : "  FAILED  ") << text << std::endl;
    failed_checks += passed ? 0 : 1;
}

bool is_complete(const client_response& answer, unsigned tokens)
{
    return answer.done && answer.error.empty() &&
           joined_text(answer) == expected_text(tokens);
}

// The engine of the request's newest attempt, by the time line of `entry`.
std::string
find_newest_engine(cluster& system, unsigned entry, const std::string& id)
{
    const json list = json::parse(
        system.send_admin_request(entry, "GET", "/v1/timeline?request=" + id)
            .body,
        nullptr,
        false);
    std::string engine;
    for (const json& event : list.value("events", json::array()))
        if (event.value("kind", "") == "attempt_dispatched")
            engine = event.value("upstream", "");
    return engine;
}

std::string request_id_of(const client_response& answer)
{
    return answer.headers.at("Bergamotusher-Request-Id");
}

void demonstrate_streaming(cluster& system)
{
    print_line("\nA caller streams a question of 20 tokens:");
    const auto answer =
        stream_completion({system.entry(0)}, cluster::key, "a question", 20);
    check(is_complete(answer, 20), joined_text(answer));
}

void demonstrate_idempotent_order(cluster& system)
{
    print_line(
        "\nA caller places an order, and sends it again through each entry:");
    client_request order;
    order.method = "POST";
    order.path = "/v1/services/order-desk/orders";
    order.key = cluster::key;
    order.body = R"({"hide":7})";
    order.headers["Idempotency-Key"] = "order-7";
    for (unsigned i = 0; i < 4; ++i)
    {
        order.address = system.entry(i);
        const auto answer = send_request(order);
        check(
            answer.status == 201,
            system.entry(i) + " answers " + std::to_string(answer.status) +
                " " + answer.body);
    }
    check(system.executed_orders().size() == 1, "the order ran once");
}

void demonstrate_engine_failure(cluster& system)
{
    print_line("\nThe serving engine is killed after 30 of 120 tokens:");
    std::string killed;
    const auto answer = stream_completion(
        {system.entry(1)},
        cluster::key,
        "a long question",
        long_answer_tokens,
        [&](const client_response& so_far)
        {
            if (so_far.texts.size() == 30 && killed.empty())
            {
                killed = find_newest_engine(system, 1, request_id_of(so_far));
                print_line("  killed  " + killed);
                system.upstream(killed).kill();
            }
            return true;
        });
    check(
        is_complete(answer, long_answer_tokens),
        "the caller got all 120 tokens, each once and in order");
}

void demonstrate_entry_reclaim(cluster& system)
{
    print_line("\nThe platform reclaims the entry that holds a long stream:");
    bool notice_given = false;
    const auto answer = stream_completion(
        system.entries(0),
        cluster::key,
        "the longest question",
        longest_answer_tokens,
        [&](const client_response& so_far)
        {
            if (so_far.texts.size() == 10 && !notice_given)
            {
                notice_given = true;
                system.post_reclaim_notice(
                    "node-1", "", reclaim_notice_seconds);
                print_line("  notice  node-1 has 8 s left");
            }
            if (!so_far.moved_to.empty())
                print_line(
                    "  moved   the caller continues at " + so_far.moved_to);
            return true;
        });
    check(
        is_complete(answer, longest_answer_tokens),
        "the caller got all 400 tokens, each once and in order");
    check(system.node(0).wait(20) == 0, "node-1 exited on its own");
}

void show_timeline(cluster& system)
{
    print_line("\nThe time line of all processes, merged:");
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
        print_line("Starting four daemons, three engines and two order desks.");
        cluster system;
        system.start_engine("engine-1", {"--domain=suva", "--gap-ms=20"});
        system.start_engine("engine-2", {"--domain=nadi", "--gap-ms=20"});
        system.start_engine("engine-3", {"--domain=lautoka", "--gap-ms=20"});
        system.start_desk("desk-1", {"--domain=suva"});
        system.start_desk("desk-2", {"--domain=nadi"});
        demonstrate_streaming(system);
        demonstrate_idempotent_order(system);
        demonstrate_engine_failure(system);
        demonstrate_entry_reclaim(system);
        show_timeline(system);
        print_line(
            failed_checks == 0 ? "Every request completed correctly."
                               : "Some requests did not complete correctly.");
    }
    catch (const std::exception& error)
    {
        std::cerr << "demo: " << error.what() << "\n";
        return 1;
    }
    return failed_checks == 0 ? 0 : 1;
}
