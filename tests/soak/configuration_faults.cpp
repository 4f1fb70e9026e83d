#include "soak/configuration_faults.hpp"

#include "soak/http.hpp"

#include <algorithm>
#include <csignal>
#include <memory>
#include <thread>

namespace soak
{

using std::chrono::milliseconds;

namespace
{

constexpr unsigned metrics_port = 9464;
/// A lost or empty disk, or a replaced node, is followed by the next one only
/// after this time; longer than the setting `catchUpS`.
constexpr auto disk_loss_interval = milliseconds(8000);
/// A throttled process runs for this long in each period.
constexpr auto throttled_run = milliseconds(10);
constexpr auto throttled_pause = milliseconds(90);

} // namespace

configuration_faults::configuration_faults(
    test_cluster& cluster,
    contact_log& contacts,
    unsigned seed,
    time_point started_at)
    : cluster_(cluster)
    , contacts_(contacts)
    , random_(seed)
    , started_at_(started_at)
{
}

void configuration_faults::inject_random_fault()
{
    switch (random_() % 18)
    {
    case 0:
    case 1:
        return kill(random_node());
    case 2:
        return freeze(random_node());
    case 3:
        return throttle(random_node());
    case 4:
        return stop(random_node());
    case 5:
    case 6:
        return disturb_message_link(random_node());
    case 7:
        return disturb_service_link();
    case 8:
        return lose_disk();
    case 9:
    case 10:
        return fill_disks();
    case 11:
        return stall_disk();
    case 12:
    case 13:
        return step_clock(random_node());
    case 14:
        return change_settings();
    case 15:
        return replace_control_node();
    case 16:
        return random_() % 3 == 0 ? kill_control_nodes() : kill_leader();
    default:
        return kill_leader();
    }
}

void configuration_faults::inject_random_loss()
{
    switch (random_() % 6)
    {
    case 0:
        return kill_leader();
    case 1:
        return kill_control_nodes();
    case 2:
        return lose_disk();
    case 3:
        return replace_control_node();
    case 4:
        return disturb_message_link(random_node());
    default:
        return kill(random_node());
    }
}

void configuration_faults::limit_control_nodes(milliseconds quota)
{
    log_fault(
        "limit control nodes to " + std::to_string(quota.count()) +
        " ms of processor time in each 100 ms");
    for (const unsigned node : cluster_.control_nodes())
        disturb(node);
    quota_.emplace(cluster_, quota);
}

unsigned configuration_faults::random_control_node()
{
    const std::vector<unsigned> nodes = cluster_.control_nodes();
    return nodes[random_() % nodes.size()];
}

unsigned configuration_faults::random_node()
{
    const std::vector<unsigned> entries = cluster_.entries();
    return random_() % 2 == 0 ? random_control_node()
                              : entries[random_() % entries.size()];
}

milliseconds configuration_faults::random_duration(int min_ms, int max_ms)
{
    return draw_duration(random_, min_ms, max_ms);
}

void configuration_faults::log_fault(const std::string& description)
{
    const auto at = std::chrono::duration_cast<milliseconds>(
        clock_type::now() - started_at_);
    log.push_back(std::to_string(at.count()) + " ms: " + description);
}

void configuration_faults::schedule_end(
    milliseconds delay, std::function<void()> end)
{
    schedule_.add(clock_type::now() + delay, std::move(end));
}

bool configuration_faults::reserve(unsigned node)
{
    const auto lost = std::count_if(
        disturbed_.begin(),
        disturbed_.end(),
        [&](unsigned each) { return cluster_.is_control(each); });
    if (cluster_.is_control(node) && lost >= 2)
        return false;
    return disturbed_.insert(node).second;
}

void configuration_faults::release(unsigned node)
{
    disturbed_.erase(node);
}

std::function<void()> configuration_faults::disturb(unsigned node, bool is_link)
{
    const std::size_t number = contacts_.begin(
        node, cluster_.is_control(node), clock_type::now(), is_link);
    return [this, number]
    {
        contacts_.end(number, clock_type::now());
    };
}

void configuration_faults::start(unsigned node)
{
    cluster_.start(node);
    contacts_.record_start(node, clock_type::now());
}

void configuration_faults::kill(unsigned node)
{
    if (!reserve(node))
        return;
    log_fault("kill node " + std::to_string(node));
    const auto end = disturb(node);
    cluster_.kill(node);
    schedule_end(
        random_duration(50, 2000),
        [this, node, end]
        {
            start(node);
            end();
            release(node);
        });
}

void configuration_faults::kill_leader()
{
    for (const unsigned node : cluster_.control_nodes())
    {
        const reply metrics = send_once(
            cluster_.plan.listening(node, metrics_port), "GET", "/", "", 0.3);
        if (metrics.response.body().find("bergamotusher_control_leads 1\n") !=
            std::string::npos)
            return kill(node);
    }
}

void configuration_faults::freeze(unsigned node)
{
    if (!reserve(node))
        return;
    log_fault("freeze node " + std::to_string(node));
    const auto end = disturb(node);
    cluster_.send(node, SIGSTOP);
    schedule_end(
        random_duration(200, 6000),
        [this, node, end]
        {
            cluster_.send(node, SIGCONT);
            end();
            release(node);
        });
}

void configuration_faults::throttle(unsigned node)
{
    if (!reserve(node))
        return;
    log_fault("throttle node " + std::to_string(node));
    const auto end = disturb(node);
    auto running = std::make_shared<std::atomic<bool>>(true);
    const auto worker = std::make_shared<std::thread>(
        [this, node, running]
        {
            while (*running)
            {
                cluster_.send(node, SIGSTOP);
                std::this_thread::sleep_for(throttled_pause);
                cluster_.send(node, SIGCONT);
                std::this_thread::sleep_for(throttled_run);
            }
        });
    schedule_end(
        random_duration(500, 5000),
        [this, node, end, running, worker]
        {
            *running = false;
            worker->join();
            end();
            release(node);
        });
}

void configuration_faults::stop(unsigned node)
{
    if (!reserve(node))
        return;
    log_fault("stop node (SIGTERM) " + std::to_string(node));
    const auto end = disturb(node);
    cluster_.send(node, SIGTERM);
    const time_point kill_at =
        clock_type::now() + std::chrono::seconds(shutdown_grace_s);
    schedule_end(
        std::chrono::seconds(shutdown_grace_s),
        [this, node, end, kill_at]
        {
            std::this_thread::sleep_until(kill_at);
            start(node);
            end();
            release(node);
        });
}

void configuration_faults::disturb_message_link(unsigned node)
{
    if (!reserve(node))
        return;
    link& target = cluster_.message_link(node);
    const auto end = disturb(node, true);
    const std::string of_node = " messages of node " + std::to_string(node);
    switch (random_() % 5)
    {
    case 0:
        log_fault("reset" + of_node);
        target.reset();
        break;
    case 1:
        log_fault("silence" + of_node);
        target.silence();
        break;
    case 2:
        log_fault("delay" + of_node);
        target.slow_down(random_duration(5, 400));
        break;
    case 3:
        log_fault("cut one direction of" + of_node);
        target.cut_one_way(random_() % 2 == 0);
        break;
    default:
        log_fault("cut" + of_node);
        target.cut();
    }
    schedule_end(
        random_duration(200, 6000),
        [this, node, end, &target]
        {
            target.mend();
            end();
            release(node);
        });
}

void configuration_faults::disturb_service_link()
{
    const unsigned node = random_control_node();
    log_fault("reset calls to node " + std::to_string(node));
    cluster_.service_link(node).reset();
}

void configuration_faults::lose_disk()
{
    const time_point now = clock_type::now();
    const unsigned node = random_control_node();
    if (now < next_disk_loss_at_ || !reserve(node))
        return;
    next_disk_loss_at_ = now + disk_loss_interval;
    log_fault("lose the disk of node " + std::to_string(node));
    const auto end = disturb(node);
    cluster_.restart_with_empty_disk(node);
    contacts_.record_start(node, clock_type::now());
    end();
    schedule_end(milliseconds(4000), [this, node] { release(node); });
}

void configuration_faults::fill_disks()
{
    const time_point now = clock_type::now();
    if (now < next_disk_fault_at_)
        return;
    std::vector<unsigned> nodes = cluster_.control_nodes();
    std::shuffle(nodes.begin(), nodes.end(), random_);
    nodes.resize(1 + random_() % nodes.size());
    milliseconds from{0};
    for (const unsigned node : nodes)
    {
        const milliseconds until = from + random_duration(800, 4000);
        schedule_end(
            from,
            [this, node]
            {
                log_fault("fill the disk of node " + std::to_string(node));
                cluster_.fill_disk(node, true);
            });
        schedule_end(until, [this, node] { cluster_.fill_disk(node, false); });
        from = until + random_duration(100, 1500);
    }
    next_disk_fault_at_ = now + from;
}

void configuration_faults::stall_disk()
{
    const time_point now = clock_type::now();
    if (now < next_disk_fault_at_)
        return;
    const unsigned node = random_control_node();
    const milliseconds time = random_duration(200, 4000);
    next_disk_fault_at_ = now + time + std::chrono::seconds(1);
    log_fault("stall the disk of node " + std::to_string(node));
    cluster_.stall_disk(node, true);
    schedule_end(time, [this, node] { cluster_.stall_disk(node, false); });
}

void configuration_faults::step_clock(unsigned node)
{
    if (!reserve(node))
        return;
    const milliseconds by =
        random_duration(300, 5000) * (random_() % 2 == 0 ? 1 : -1);
    const bool restarts = random_() % 2 == 0;
    log_fault(
        "step the clock of node " + std::to_string(node) + " by " +
        std::to_string(by.count()) + " ms" +
        (restarts ? " and restart it" : ""));
    auto end = disturb(node);
    cluster_.step_clock(node, by);
    if (restarts)
    {
        cluster_.kill(node);
        start(node);
    }
    end();
    schedule_end(
        random_duration(500, 6000),
        [this, node]
        {
            const auto back = disturb(node);
            cluster_.step_clock(node, milliseconds(0));
            // A start at the true time after one ahead of it.
            if (random_() % 2 == 0)
            {
                log_fault("restart node " + std::to_string(node));
                cluster_.kill(node);
                start(node);
            }
            back();
            release(node);
        });
}

void configuration_faults::change_settings()
{
    const unsigned node = random_node();
    if (disturbed_.count(node) > 0)
        return;
    log_fault("change the settings of node " + std::to_string(node));
    cluster_.change_settings(node);
}

void configuration_faults::replace_control_node()
{
    const time_point now = clock_type::now();
    const unsigned node = random_control_node();
    if (now < next_disk_loss_at_ || !cluster_.has_spare() || !reserve(node))
        return;
    next_disk_loss_at_ = now + disk_loss_interval;
    const auto end = disturb(node);
    cluster_.remove(node);
    const unsigned successor = cluster_.start_spare();
    contacts_.record_start(successor, clock_type::now());
    log_fault(
        "replace node " + std::to_string(node) + " by node " +
        std::to_string(successor));
    end();
    schedule_end(milliseconds(4000), [this, node] { release(node); });
}

void configuration_faults::kill_control_nodes()
{
    log_fault("kill all control nodes");
    for (const unsigned node : cluster_.control_nodes())
    {
        if (!disturbed_.insert(node).second)
            continue;
        const auto end = disturb(node);
        cluster_.kill(node);
        schedule_end(
            random_duration(100, 900),
            [this, node, end]
            {
                start(node);
                end();
                release(node);
            });
    }
}

void configuration_faults::kill_everything(
    bool with_disk, milliseconds down_time)
{
    std::vector<unsigned> nodes = cluster_.control_nodes();
    const unsigned wiped = nodes[random_() % nodes.size()];
    with_disk = with_disk && clock_type::now() >= next_disk_loss_at_;
    log_fault(
        "kill all nodes" +
        (with_disk ? ", node " + std::to_string(wiped) + " with its disk"
                   : std::string()));
    for (const unsigned entry : cluster_.entries())
        nodes.push_back(entry);
    std::vector<std::function<void()>> ends;
    for (const unsigned node : nodes)
    {
        ends.push_back(disturb(node));
        cluster_.kill(node);
    }
    std::this_thread::sleep_for(down_time);
    for (const unsigned node : nodes)
    {
        if (with_disk && node == wiped)
            cluster_.restart_with_empty_disk(node);
        else
            cluster_.start(node);
        contacts_.record_start(node, clock_type::now());
    }
    for (const auto& end : ends)
        end();
}

void configuration_faults::end_due_faults(time_point now)
{
    schedule_.run_due(now);
}

void configuration_faults::end_all_faults()
{
    schedule_.run_all();
}

} // namespace soak
