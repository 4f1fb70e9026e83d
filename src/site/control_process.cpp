#include "site/control_process.hpp"

#include "base/clock.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>

#include <atomic>
#include <csignal>
#include <memory>
#include <sstream>

namespace bergamotusher::site
{

namespace
{

using observe::decision;
using observe::log_line;

/// Interval of the process's periodic checks.
constexpr duration check_interval = 200ms;
constexpr duration settings_interval = 3s;
/// Interval between restarts of a replica whose storage failed.
constexpr duration storage_restart_interval = 1s;
/// A leader that is stopping waits at most this long for the hand-over of its
/// leadership.
constexpr duration max_leave_time = 2500ms;
/// Time to answer requests accepted before the stop; operators wait for 1 s.
constexpr duration drain_time = 1s;

/// Voters of one region answer each other within milliseconds, so that a lost
/// leader is replaced within about 1 s. A voter that has just started also
/// waits for `election_min`, since it may have granted a lease before its
/// restart.
constexpr consensus::timing replica_timing{
    .heartbeat = 150ms,
    .election_min = 700ms,
    .election_max = 1200ms,
    .lease = 550ms};

class control_process
{
public:
    control_process(
        const control_settings& settings,
        const control_protocol& protocol,
        std::function<std::optional<control_settings>()> reload);

    int run();

private:
    void check();
    void schedule();
    void await_signal();
    void restart_storage(time_point now);
    std::string metrics() const;

    control_settings settings_;
    control_protocol protocol_;
    std::function<std::optional<control_settings>()> reload_;
    observe::decision_log log_;
    boost::asio::io_context loop_{1};
    boost::asio::signal_set signals_;
    boost::asio::steady_timer timer_;
    peers_duty_ptr peers_;
    control_service service_;
    control_handle control_;
    std::vector<std::unique_ptr<http_server>> servers_;
    std::unique_ptr<http_server> metrics_;
    std::atomic<bool> storage_failed_{false};
    time_point restart_at_;
    time_point reload_at_;
    std::optional<time_point> stopping_since_;
};

std::vector<peer_address> seed_addresses(const std::vector<node_id>& seeds)
{
    std::vector<peer_address> addresses;
    addresses.reserve(seeds.size());
    for (const node_id& seed : seeds)
        addresses.push_back({seed, seed.value, {}});
    return addresses;
}

control_service_options make_service_options(
    const control_settings& settings,
    const control_protocol& protocol,
    boost::asio::io_context& loop)
{
    control_service_options options;
    options.self.value = to_string(settings.peer_address);
    options.seeds = settings.seeds;
    options.domains = settings.domains;
    options.shares_domains = settings.shares_domains;
    options.announcement_interval = settings.announcement_interval;
    options.duty_handover_delay = settings.duty_handover_delay;
    options.usage = settings.usage;
    options.limits = settings.limits;
    if (protocol.duties)
        options.duties = protocol.duties(loop);
    return options;
}

control_process::control_process(
    const control_settings& settings,
    const control_protocol& protocol,
    std::function<std::optional<control_settings>()> reload)
    : settings_(settings)
    , protocol_(protocol)
    , reload_(std::move(reload))
    , log_(settings.name, "control", {})
    , signals_(loop_, SIGTERM, SIGINT, SIGHUP)
    , timer_(loop_)
    , peers_(make_peers_duty(
          open_membership_options(settings.peer_address, settings.peer_bind)))
    , service_(
          loop_,
          make_service_options(settings, protocol, loop_),
          protocol.parse_site,
          log_)
{
    control_options options = make_replica_options(settings);
    options.record =
        [this](event_kind kind, std::uint64_t number, const std::string& detail)
    {
        boost::asio::post(
            loop_,
            [this, kind, number, detail]
            {
                log_.write(
                    log_line(decision::membership_changed)
                        .with("what", to_name(kind))
                        .with("number", number)
                        .with("detail", detail),
                    uptime());
            });
    };
    options.on_failure = [this](const failure& wrong)
    {
        storage_failed_ = true;
        boost::asio::post(
            loop_,
            [this, detail = wrong.detail]
            {
                log_.write(
                    log_line(decision::dependency_lost)
                        .with("dependency", "disk")
                        .with("reason", detail),
                    uptime());
            });
    };
    const auto log_long_step = [this](const char* thread, const long_step& step)
    {
        log_.write(
            log_line(decision::step_was_long)
                .with("thread", thread)
                .with("processor_ms", step.processor_time)
                .with("work", step.work)
                .with("count", step.count),
            uptime());
    };
    service_.steps().on_long_step = [log_long_step](const long_step& step)
    {
        log_long_step("loop", step);
    };
    options.on_long_step = [this, log_long_step](const long_step& step)
    {
        boost::asio::post(
            loop_, [step, log_long_step] { log_long_step("control", step); });
    };
    control_ = make_control(
        std::move(options), service_.replicated_state_machine(), *peers_);
    service_.connect(*control_, *peers_);
    for (const endpoint& address : settings.api_addresses)
        servers_.push_back(std::make_unique<http_server>(
            loop_,
            address,
            http_limits{.body_bytes = std::uint64_t{8} << 20},
            [this](
                http_request&& request,
                const std::shared_ptr<http_exchange>& exchange)
            {
                const measured_step step(
                    service_.steps(), "served an HTTP request");
                protocol_.serve(service_, std::move(request), exchange);
            }));
    if (settings.metrics_port && !settings.api_addresses.empty())
        metrics_ = std::make_unique<http_server>(
            loop_,
            endpoint{settings.api_addresses.front().ip, *settings.metrics_port},
            http_limits{},
            [this](
                http_request&&, const std::shared_ptr<http_exchange>& exchange)
            {
                exchange->answer(
                    200,
                    {{"Content-Type", "text/plain; version=0.0.4"}},
                    metrics());
            });
}

int control_process::run()
{
    if (const auto wrong = bergamotusher::start(*control_))
    {
        // Continues without storage: a full disk may have space later, and the
        // interface for upstreams and callers does not need it.
        storage_failed_ = true;
        log_.write(
            log_line(decision::dependency_lost)
                .with("dependency", "disk")
                .with("reason", wrong->detail),
            uptime());
    }
    if (const auto wrong = bergamotusher::start(*peers_))
    {
        log_.write(
            log_line(decision::process_stopped).with("reason", wrong->detail),
            uptime());
        return 1;
    }
    const control_status status = status_of(*control_);
    log_.write(
        log_line(decision::process_started)
            .with("version", BERGAMOTUSHER_VERSION)
            .with("peer_address", to_string(settings_.peer_address))
            .with("may_found", settings_.may_found ? 1 : 0)
            .with("applied", status.applied)
            .with("admitted", status.admitted ? 1 : 0)
            .with("open_ms", status.open_duration)
            .with("log_entries", status.opened_entries)
            .with("log_bytes", status.opened_bytes),
        uptime());
    reload_at_ = uptime() + settings_interval;
    service_.start();
    await_signal();
    check();
    loop_.run();
    stop(*peers_);
    stop(*control_);
    log_.write(
        log_line(decision::process_stopped).with("reason", "signal"), uptime());
    return 0;
}

void control_process::await_signal()
{
    signals_.async_wait(
        [this](const boost::system::error_code& error, int number)
        {
            if (error)
                return;
            const time_point now = uptime();
            if (number == SIGHUP)
                reload_at_ = now;
            else if (!stopping_since_)
            {
                stopping_since_ = now;
                log_.write(
                    log_line(decision::process_stopping)
                        .with("reason", "signal"),
                    now);
                leave(*control_);
            }
            await_signal();
        });
}

void control_process::restart_storage(time_point now)
{
    if (!storage_failed_)
        return;
    if (restart_at_ == time_point{})
        restart_at_ = now + storage_restart_interval;
    if (now < restart_at_)
        return;
    restart_at_ = now + storage_restart_interval;
    note_step_work("opened the data folder");
    stop(*control_);
    storage_failed_ = false;
    if (bergamotusher::start(*control_))
    {
        storage_failed_ = true;
        return;
    }
    restart_at_ = {};
    log_.write(
        log_line(decision::dependency_regained)
            .with("dependency", "disk")
            .with("applied", status_of(*control_).applied)
            .with("last_index", status_of(*control_).last_index),
        now);
}

void control_process::check()
{
    const measured_step step(service_.steps(), "checked the process");
    const time_point now = uptime();
    restart_storage(now);
    if (now >= reload_at_)
    {
        reload_at_ = now + settings_interval;
        if (const auto newer = reload_())
        {
            log_.write(
                log_line(decision::settings_reloaded)
                    .with("seeds", static_cast<int>(newer->seeds.size())),
                now);
            settings_.grace = newer->grace;
            // A node that has not joined yet asks the nodes named now.
            if (newer->seeds != settings_.seeds)
            {
                settings_.seeds = newer->seeds;
                configure_nodes(*control_, seed_addresses(newer->seeds));
                service_.configure_seeds(newer->seeds);
            }
        }
    }
    if (stopping_since_)
    {
        const duration elapsed = now - *stopping_since_;
        const bool leads = status_of(*control_).role == consensus::role::leader;
        if ((!leads && elapsed > drain_time) || elapsed > max_leave_time)
            loop_.stop();
    }
    schedule();
}

std::string control_process::metrics() const
{
    std::ostringstream out;
    out << service_.metrics();
    write_step_times_header(out);
    write_step_times(out, "loop", service_.steps());
    write_step_times(out, "control", steps_of(*control_));
    return out.str();
}

void control_process::schedule()
{
    timer_.expires_after(check_interval);
    timer_.async_wait(
        [this](const boost::system::error_code& error)
        {
            if (!error)
                check();
        });
}

} // namespace

control_options make_replica_options(const control_settings& settings)
{
    control_options options;
    options.self.value = to_string(settings.peer_address);
    options.nodes = seed_addresses(settings.seeds);
    options.may_bootstrap_cluster = settings.may_found;
    options.data_dir = settings.data_dir;
    options.limits.every_member_votes = true;
    // The quorum of this many voters survives the loss of the disks.
    options.limits.wanted_voters = 2 * settings.max_lost_disks + 1;
    options.confirmation_interval = 500ms;
    options.timing = replica_timing;
    return options;
}

int run_control(
    const control_settings& settings,
    const control_protocol& protocol,
    const std::function<std::optional<control_settings>()>& reload)
{
    std::signal(SIGPIPE, SIG_IGN);
    control_process process(settings, protocol, reload);
    return process.run();
}

} // namespace bergamotusher::site
