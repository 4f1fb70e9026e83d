// A control node is replaced for good; within the next fifteen seconds two
// others lose their disks, one after the other.
#include "../standin/standin.hpp"

#include <iostream>
#include <string>

using namespace standin;

namespace
{

/// Bounds of the users' site.
constexpr double catch_up_s = 4;
constexpr double recovery_s = 12;
constexpr double contact_s = 3;

/// Time until the successor of the replaced machine starts.
constexpr double successor_s = 1.3;
constexpr double down_s = 1;
/// Each machine has been back this much longer than `catch_up_s` before the
/// next one is lost.
constexpr double margin_s = 0.3;

/// The first of the machines 1 to 4 from `from` on that does not lead, by its
/// own metrics.
unsigned find_follower(deployment& system, unsigned from)
{
    constexpr unsigned metrics_port = 9464;
    constexpr unsigned last_machine = 4;
    for (unsigned i = from; i <= last_machine; ++i)
    {
        const std::string metrics =
            call(
                {system.control_address(i).ip, metrics_port},
                "GET",
                "/metrics",
                "")
                .body;
        if (metrics.find("\nbergamotusher_control_leads 0\n") !=
            std::string::npos)
            return i;
    }
    return from;
}

void lose_disk(deployment& system, unsigned index)
{
    system.kill(index);
    system.empty_disk(index);
    sleep_s(down_s);
    system.start(index, false);
    sleep_s(catch_up_s + margin_s);
}

/// Whether the configuration comes within `contact_s` and what is asked is
/// what was acknowledged.
bool reads_back(
    deployment& system, record_file& record, const std::string& content)
{
    const double until = now_s() + contact_s + 1;
    while (now_s() < until)
    {
        for (const address& node : system.control_addresses())
        {
            const http_message answer = call(node, "GET", "/Config.Get", "");
            record.line(
                "read of the configuration at " + node.text() + ": status " +
                std::to_string(answer.status));
            if (answer.status == 200)
                return answer.body == content;
        }
        sleep_s(0.2);
    }
    return false;
}

int run_case(const std::string& record_path)
{
    record_file record(record_path);
    deployment_options options;
    options.control_nodes = 5;
    options.spare_control_nodes = 1;
    deployment system(options, record);
    run_list runs;
    system.start_all();
    std::vector<std::unique_ptr<worker>> workers;
    for (unsigned i = 0; i < 3; ++i)
    {
        worker_options worker_settings;
        worker_settings.id = "i-" + std::to_string(i);
        worker_settings.service = "desk";
        worker_settings.zone = system.zone(i);
        worker_settings.at = system.worker_address(i);
        workers.push_back(
            std::make_unique<worker>(system, runs, record, worker_settings));
    }
    const std::string content = make_configuration(3);
    if (send_order(system, record, "/Config.Replace", content, 15) != 200)
        return 2;
    for (unsigned i = 0; i < options.entries; ++i)
        for (int tries = 0; !system.is_ready(i); ++tries)
        {
            if (tries > 100)
                return 2;
            sleep_s(0.1);
        }
    // The other control nodes join one after the other.
    sleep_s(6);
    client_options load;
    load.requests_per_s = 30;
    client_set clients(system, record, load);
    sleep_s(3);
    if (!reads_back(system, record, content))
        return 2;
    if (has_trouble())
    {
        // The machine is gone for good; its successor starts with an empty
        // disk at another address.
        system.kill(0);
        sleep_s(successor_s);
        system.set_members({1, 2, 3, 4, 5});
        system.start(5, false);
        sleep_s(catch_up_s + margin_s);
        const unsigned second = find_follower(system, 1);
        lose_disk(system, second);
        lose_disk(system, find_follower(system, second + 1));
    }
    sleep_s(recovery_s);
    const double checked_from = now_s();
    const bool held = reads_back(system, record, content);
    sleep_s(2);
    clients.stop();
    unsigned sent = 0;
    unsigned served = 0;
    for (const client_result& each : clients.results())
        if (each.sent_at_s > checked_from)
        {
            ++sent;
            served += each.status == 200 ? 1 : 0;
        }
    const std::string summary = std::string("the configuration ") +
                                (held ? "was read back" : "does not come") +
                                "; " + std::to_string(served) + " of " +
                                std::to_string(sent) +
                                " requests were served at the end";
    record.line(summary);
    std::cout << summary << std::endl;
    return held ? 0 : 1;
}

} // namespace

int main(int count, char** arguments)
{
    if (count < 2)
        return 2;
    return run_case(arguments[1]);
}
