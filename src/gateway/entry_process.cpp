#include "gateway/entry_process.hpp"

#include "base/clock.hpp"
#include "base/mailbox.hpp"
#include "daemon/http_server.hpp"
#include "daemon/peers_duty.hpp"
#include "gateway/caller_server.hpp"
#include "gateway/control_link.hpp"
#include "gateway/drain_schedule.hpp"

#include <boost/asio/signal_set.hpp>

#include <algorithm>
#include <csignal>
#include <iostream>
#include <memory>
#include <sstream>

namespace bergamotusher::gateway
{

namespace
{

using observe::decision;
using observe::log_line;

constexpr std::size_t peers_queue_size = 4096;
/// Interval of periodic work: leases, reports, idle connections.
constexpr duration tick_interval = 100ms;
/// Time between two checks for new settings without a signal.
constexpr duration settings_interval = 3s;

class entry_process
{
public:
    entry_process(
        const entry_settings& settings,
        const entry_wire& wire,
        std::function<std::optional<entry_settings>()> reload);

    int run();

private:
    void tick();
    void schedule();
    void on_signal();
    void drain();
    void check_drain_progress(time_point now);
    duration time_to_next_tick(time_point now) const;
    void reload();
    std::string metrics() const;

    entry_settings settings_;
    entry_wire wire_;
    std::function<std::optional<entry_settings>()> reload_;
    observe::decision_log log_;
    boost::asio::io_context loop_{1};
    boost::asio::signal_set signals_;
    boost::asio::steady_timer timer_;
    entry_view view_;
    relay relay_;
    peers_duty_ptr peers_;
    peers_sender& to_peers_;
    mailbox<incoming_message> from_peers_;
    control_link link_;
    caller_server callers_;
    http_server readiness_;
    std::unique_ptr<http_server> metrics_;
    time_point reload_at_;
    std::optional<time_point> draining_since_;
    drain_schedule drain_steps_;
    bool stopped_accepting_ = false;
    bool ended_requests_ = false;
};

relay_options relay_settings(const entry_settings& settings)
{
    relay_options options;
    options.domain = settings.domain;
    options.retries = settings.retries;
    options.limits = settings.limits;
    options.refusal_confirmation_age = settings.refusal_confirmation_age;
    return options;
}

control_link_options
link_options(const entry_settings& settings, site::configuration_parser parse)
{
    control_link_options options;
    options.seeds = settings.seeds;
    options.caller_address = to_string(settings.caller_address);
    options.domain = settings.domain;
    options.site_lease = settings.site_lease;
    options.usage_window = settings.usage_window;
    options.limits = settings.limits;
    options.parse = parse;
    return options;
}

caller_server_options caller_options(const entry_settings& settings)
{
    caller_server_options options;
    options.address = settings.caller_address;
    options.connections_max = settings.connections;
    return options;
}

entry_process::entry_process(
    const entry_settings& settings,
    const entry_wire& wire,
    std::function<std::optional<entry_settings>()> reload)
    : settings_(settings)
    , wire_(wire)
    , reload_(std::move(reload))
    , log_(settings.name, "entry", {})
    , signals_(loop_, SIGTERM, SIGINT, SIGHUP)
    , timer_(loop_)
    , relay_(loop_, wire_.codec, relay_settings(settings), view_, log_)
    , peers_(make_peers_duty(
          open_membership_options(settings.peer_address, settings.peer_bind)))
    , to_peers_(make_sender(*peers_, peers_queue_size))
    , from_peers_(
          loop_,
          peers_queue_size,
          [this](incoming_message&& message)
          {
              if (message.kind == wire::control_report)
                  link_.on_control_report(message.from, message.body);
              else
                  link_.on_directory(message.from, message.body);
          },
          1)
    , link_(
          link_options(settings, wire.parse_site),
          view_,
          relay_,
          log_,
          [this](const node_id& to, const std::string& report) {
              send(to_peers_, {to, wire::entry_report, report});
          })
    , callers_(
          loop_,
          relay_,
          caller_options(settings),
          [this] {
              return view_.site ? view_.site->value.limits
                                : site::caller_limits{};
          })
    , readiness_(
          loop_,
          settings.readiness_address,
          {},
          [this](http_request&&, const std::shared_ptr<http_exchange>& exchange)
          {
              const bool ready = link_.ready(uptime());
              exchange->answer(ready ? 200 : 503, {}, "");
          })
{
    for (const auto kind : {wire::control_report, wire::site_directory})
        on_message(
            *peers_,
            kind,
            [this](incoming_message&& message)
            { from_peers_.push(std::move(message)); });
    if (settings.metrics_port)
        metrics_ = std::make_unique<http_server>(
            loop_,
            endpoint{settings.readiness_address.ip, *settings.metrics_port},
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

int entry_process::run()
{
    if (const auto error = start(*peers_))
    {
        log_.write(
            log_line(decision::process_stopped).with("reason", error->detail),
            uptime());
        return 1;
    }
    log_.write(
        log_line(decision::process_started)
            .with("version", BERGAMOTUSHER_VERSION)
            .with("caller_address", to_string(settings_.caller_address))
            .with("domain", settings_.domain.value)
            .with("seeds", static_cast<int>(settings_.seeds.size())),
        uptime());
    reload_at_ = uptime() + settings_interval;
    on_signal();
    tick();
    loop_.run();
    stop(*peers_);
    log_.write(
        log_line(decision::process_stopped)
            .with("reason", "drained")
            .with("under_way", static_cast<int>(relay_.in_flight())),
        uptime());
    return 0;
}

void entry_process::on_signal()
{
    signals_.async_wait(
        [this](const boost::system::error_code& error, int number)
        {
            if (error)
                return;
            if (number == SIGHUP)
                reload();
            else
                drain();
            on_signal();
        });
}

void entry_process::reload()
{
    reload_at_ = uptime() + settings_interval;
    const auto newer = reload_();
    if (!newer)
        return;
    settings_.seeds = newer->seeds;
    settings_.grace = newer->grace;
    link_.add_seeds(newer->seeds);
    log_.write(
        log_line(decision::settings_reloaded)
            .with("seeds", static_cast<int>(newer->seeds.size())),
        uptime());
}

void entry_process::drain()
{
    if (draining_since_)
        return;
    const time_point now = uptime();
    draining_since_ = now;
    drain_steps_ = schedule_drain(settings_.grace);
    log_.write(
        log_line(decision::process_stopping)
            .with("reason", "signal")
            .with("under_way", static_cast<int>(relay_.in_flight()))
            .with("grace_ms", settings_.grace),
        now);
    link_.drain(now);
    relay_.send_only_until(now + drain_steps_.answering);
    callers_.close_after_answers();
    // The next step may be due before the next regular tick.
    schedule();
}

void entry_process::check_drain_progress(time_point now)
{
    const duration passed = now - *draining_since_;
    if (!stopped_accepting_ && passed >= drain_steps_.accepting)
    {
        stopped_accepting_ = true;
        relay_.reject_new_requests();
        callers_.stop_accepting();
    }
    if (!ended_requests_ && passed >= drain_steps_.answering)
    {
        ended_requests_ = true;
        relay_.end_requests();
    }
    if (passed >= drain_steps_.ending ||
        (stopped_accepting_ && relay_.in_flight() == 0 &&
         callers_.is_drained()))
        loop_.stop();
}

duration entry_process::time_to_next_tick(time_point now) const
{
    duration wait = tick_interval;
    if (draining_since_)
        for (const duration step :
             {drain_steps_.accepting,
              drain_steps_.answering,
              drain_steps_.ending})
            if (const duration left = *draining_since_ + step - now; left > 0s)
                wait = std::min(wait, left);
    return wait;
}

void entry_process::tick()
{
    const time_point now = uptime();
    link_.tick(now);
    relay_.tick();
    callers_.tick();
    if (draining_since_)
        check_drain_progress(now);
    if (now >= reload_at_)
        reload();
    schedule();
}

void entry_process::schedule()
{
    timer_.expires_after(time_to_next_tick(uptime()));
    timer_.async_wait(
        [this](const boost::system::error_code& error)
        {
            if (!error)
                tick();
        });
}

std::string entry_process::metrics() const
{
    std::ostringstream out;
    const auto write_header =
        [&](const char* name, const char* type, const char* help)
    {
        out << "# HELP bergamotusher_" << name << ' ' << help
            << "\n# TYPE bergamotusher_" << name << ' ' << type << '\n';
    };
    const auto write_metric = [&](const char* name,
                                  const char* type,
                                  const char* help,
                                  std::uint64_t value)
    {
        write_header(name, type, help);
        out << "bergamotusher_" << name << ' ' << value << '\n';
    };
    const relay_counters& counts = relay_.counters();
    const pool_counters& pool = relay_.connections();
    const caller_counters& callers = callers_.counters();
    write_metric(
        "requests_total", "counter", "Requests taken.", counts.received);
    write_metric(
        "answers_total",
        "counter",
        "Upstreams' answers passed on.",
        counts.answered);
    write_metric(
        "failures_total", "counter", "Requests that failed.", counts.failed);
    write_metric(
        "cut_answers_total",
        "counter",
        "Answers cut midway.",
        counts.truncated);
    write_metric(
        "callers_left_total",
        "counter",
        "Callers that left early.",
        counts.caller_disconnects);
    write_metric(
        "sends_total", "counter", "Requests sent to upstreams.", counts.sent);
    write_metric(
        "repeats_total", "counter", "Sends beyond the first.", counts.retried);
    write_metric(
        "resumes_total", "counter", "Streams taken up again.", counts.resumed);
    write_metric(
        "events_total", "counter", "Events of streams.", counts.events);
    write_metric(
        "under_way", "gauge", "Requests under way.", relay_.in_flight());
    write_metric(
        "upstream_connects_total",
        "counter",
        "Connections to upstreams.",
        pool.connects);
    write_metric(
        "upstream_reuses_total",
        "counter",
        "Requests on kept connections.",
        pool.reuses);
    write_metric(
        "upstream_connect_failures_total",
        "counter",
        "Connections that failed.",
        pool.connect_failures);
    write_metric(
        "stray_answers_total",
        "counter",
        "Answers of upstreams that nobody waited for.",
        pool.stray_answers);
    write_metric(
        "caller_connections",
        "gauge",
        "Open connections of callers.",
        callers.open);
    write_metric(
        "malformed_requests_total",
        "counter",
        "Requests that could not be read.",
        callers.malformed);
    write_metric(
        "log_lines_dropped_total",
        "counter",
        "Log lines dropped.",
        log_.dropped());
    write_metric(
        "stale_messages_total",
        "counter",
        "Messages dropped as of an older incarnation of their sender.",
        status_of(*peers_).stale_incarnation);
    write_metric(
        "refused_for_limits_total",
        "counter",
        "Requests refused since all upstreams name limits.",
        counts.limited);
    write_metric(
        "upstreams", "gauge", "Upstreams known.", view_.upstreams.size());
    write_metric(
        "evacuated_domains",
        "gauge",
        "Failure domains whose upstreams get no request.",
        view_.evacuated.domains.size());
    write_metric(
        "site_version",
        "gauge",
        "Version of the site in force.",
        view_.site ? view_.site->value.version : 0);
    write_header("refusals_total", "counter", "Requests refused, by kind.");
    for (const auto& [kind, count] : counts.rejected)
        out << "bergamotusher_refusals_total{kind=\""
            << error_answer_for(kind).name << "\"} " << count << '\n';
    write_header(
        "left_domain_requests_total",
        "counter",
        "Requests sent to another failure domain.");
    const auto write_pair = [&](const char* name,
                                const service_name& service,
                                const failure_domain& domain) -> std::ostream&
    {
        return out << "bergamotusher_" << name << "{service=\"" << service.value
                   << "\",from=\"" << settings_.domain.value << "\",to=\""
                   << domain.value << "\"} ";
    };
    for (const auto& [key, traffic] : view_.left_domain)
        write_pair("left_domain_requests_total", key.first, key.second)
            << traffic.requests << '\n';
    write_header(
        "left_domain_bytes_total",
        "counter",
        "Bytes of requests to, and answers from, another failure domain.");
    for (const auto& [key, traffic] : view_.left_domain)
        write_pair("left_domain_bytes_total", key.first, key.second)
            << traffic.bytes << '\n';
    write_header(
        "leaving_share",
        "gauge",
        "Part of the arrivals that may go to another failure domain.");
    for (const auto& [service, exchange] : view_.exchanges)
        for (const auto& [domain, share] : exchange.shares)
            write_pair("leaving_share", service, domain) << share << '\n';
    write_header(
        "first_byte_ms", "histogram", "Time to the first byte of answers.");
    std::uint64_t sum = 0;
    for (const auto& [bound, count] : counts.first_byte_histogram)
    {
        sum += count;
        out << "bergamotusher_first_byte_ms_bucket{le=\"" << bound << "\"} "
            << sum << '\n';
    }
    out << "bergamotusher_first_byte_ms_bucket{le=\"+Inf\"} " << sum
        << "\nbergamotusher_first_byte_ms_count " << sum << '\n';
    return out.str();
}

} // namespace

int run_entry(
    const entry_settings& settings,
    const entry_wire& wire,
    const std::function<std::optional<entry_settings>()>& reload)
{
    std::signal(SIGPIPE, SIG_IGN);
    entry_process process(settings, wire, reload);
    return process.run();
}

} // namespace bergamotusher::gateway
