// Machines of the core are taken away for good and replaced, one each 18 s. The
// settings of the successors name machines that run, but not the leading one.
#include "../standin/standin.hpp"

#include <algorithm>
#include <iostream>
#include <string>

using namespace standin;

namespace
{

/// Bounds of the users' site.
constexpr double recovery_s = 12;
constexpr double contact_s = 3;

/// Time until the successor of a replaced machine starts.
constexpr double successor_s = 1.3;
/// Time from the start of a successor until the next machine is replaced; a new
/// machine is counted as lost for 4 s.
constexpr double pause_s = 16.5;
constexpr unsigned replacements = 4;
constexpr unsigned first_spare = 5;

/// The machine that leads by its own metrics; the first one if none does.
unsigned find_leader(deployment& system, const std::vector<unsigned>& members)
{
    constexpr unsigned metrics_port = 9464;
    for (const unsigned each : members)
        if (call(
                {system.control_address(each).ip, metrics_port},
                "GET",
                "/metrics",
                "")
                .body.find("\nbergamotusher_control_leads 1\n") !=
            std::string::npos)
            return each;
    return members.front();
}

/// Takes a machine that doesn't lead away for good and starts a successor with
/// an empty disk at another address. The successor's settings name three other
/// machines that run; with `with_leader`, the leading one among them.
void replace_follower(
    deployment& system,
    std::vector<unsigned>& members,
    unsigned successor,
    bool with_leader)
{
    const unsigned leader = find_leader(system, members);
    const unsigned gone =
        members.front() == leader ? members[1] : members.front();
    system.kill(gone);
    sleep_s(successor_s);
    members.erase(std::find(members.begin(), members.end(), gone));
    std::vector<unsigned> seeds;
    if (with_leader)
        seeds.push_back(leader);
    for (const unsigned each : members)
        if (each != leader && seeds.size() < 3)
            seeds.push_back(each);
    system.set_seeds(seeds);
    members.push_back(successor);
    system.set_members(members);
    system.start(successor, false);
    sleep_s(pause_s);
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
    options.control_nodes = first_spare;
    options.spare_control_nodes = replacements;
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
    // Without the trouble the same machines are replaced, and the successors'
    // settings name the leading machine.
    std::vector<unsigned> members{0, 1, 2, 3, 4};
    for (unsigned i = 0; i < replacements; ++i)
        replace_follower(system, members, first_spare + i, !has_trouble());
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
