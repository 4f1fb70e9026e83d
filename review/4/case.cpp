// A worker leaves, all processes are killed and started again, and a heartbeat
// that the worker had sent before arrives late.
#include "../standin/standin.hpp"

#include <iostream>
#include <string>

using namespace standin;

namespace
{

/// Bounds of the rule, as in the settings of the users' site.
constexpr double drain_s = 2;
constexpr double contact_s = 3;

constexpr double killed_after_s = 1;
constexpr double down_s = 0.6;
/// How late the heartbeat arrives: "a heartbeat may arrive seconds late".
constexpr double late_s = 4;
/// How long the worker serves after it has left: "drainMs after the
/// acknowledgement and a little longer (at times many seconds)".
constexpr double serves_s = 12;
/// Allows for the way of a request to the worker.
constexpr double margin_s = 0.3;

bool await_ready(deployment& system)
{
    for (unsigned i = 0; i < 2; ++i)
        for (int tries = 0; !system.is_ready(i); ++tries)
        {
            if (tries > 100)
                return false;
            sleep_s(0.1);
        }
    return true;
}

int run_case(const std::string& record_path)
{
    record_file record(record_path);
    deployment system({}, record);
    run_list runs;
    system.start_all();
    std::vector<std::unique_ptr<worker>> workers;
    for (unsigned i = 0; i < 4; ++i)
    {
        worker_options options;
        options.id = "i-" + std::to_string(i);
        options.service = "desk";
        options.zone = system.zone(i);
        options.at = system.worker_address(i);
        workers.push_back(
            std::make_unique<worker>(system, runs, record, options));
    }
    if (send_order(
            system, record, "/Config.Replace", make_configuration(3), 15) !=
            200 ||
        !await_ready(system))
        return 2;
    sleep_s(4);
    client_options load;
    load.requests_per_s = 60;
    client_set clients(system, record, load);
    sleep_s(3);

    worker& leaving = *workers.front();
    const std::string late_heartbeat = leaving.heartbeat_body();
    record.line("a heartbeat of i-0 is sent and held up: " + late_heartbeat);
    const double sent_at = now_s();
    const double acknowledged_at = leaving.deregister();
    if (acknowledged_at < 0)
        return 2;
    double calm_at = acknowledged_at + drain_s;
    if (has_trouble())
    {
        sleep_s(acknowledged_at + killed_after_s - now_s());
        for (unsigned i = 0; i < system.machines(); ++i)
            system.kill(i);
        sleep_s(down_s);
        for (unsigned i = 0; i < system.machines(); ++i)
            system.start(i, false);
        // The machines are in touch again from here on.
        calm_at = now_s() + contact_s;
    }
    sleep_s(sent_at + late_s - now_s());
    const http_message answer = call(
        system.control_addresses().front(),
        "POST",
        "/Instances.Heartbeat/i-0",
        late_heartbeat);
    record.line(
        "the held-up heartbeat of i-0 arrives, status " +
        std::to_string(answer.status));
    sleep_s(acknowledged_at + serves_s - now_s());
    leaving.stop();
    sleep_s(1);
    clients.stop();
    if (!system.all_run())
        return 2;

    // DRAIN: requests that reached the worker later than drainMs after the
    // acknowledgement, sent on by machines in touch.
    unsigned late = 0;
    double last = 0;
    for (const run& each : runs.all())
        if (each.worker == "i-0" && each.at_s > calm_at + margin_s &&
            each.at_s > acknowledged_at + drain_s)
        {
            ++late;
            last = each.at_s - acknowledged_at;
        }
    unsigned served = 0;
    for (const client_result& each : clients.results())
        served += each.status == 200 && each.sent_at_s > calm_at ? 1 : 0;
    const std::string summary =
        "requests that reached i-0 too late: " + std::to_string(late) +
        ", the last " + std::to_string(last) +
        " s after the acknowledgement; served meanwhile: " +
        std::to_string(served);
    record.line(summary);
    std::cout << summary << std::endl;
    if (served == 0)
        return 2;
    return late > 0 ? 1 : 0;
}

} // namespace

int main(int count, char** arguments)
{
    if (count < 2)
        return 2;
    return run_case(arguments[1]);
}
