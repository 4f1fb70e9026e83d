#include "daemon/daemon.hpp"

#include "daemon/admin_duty.hpp"
#include "daemon/callers_duty.hpp"
#include "daemon/events_duty.hpp"
#include "daemon/peer_message.hpp"
#include "daemon/platform_duty.hpp"
#include "daemon/process_report.hpp"
#include "daemon/serving_duty.hpp"
#include "daemon/state_host.hpp"
#include "daemon/supervisor.hpp"
#include "daemon/upstreams_duty.hpp"
#include "observe/logging.hpp"

#include <boost/asio/post.hpp>

#include <fstream>
#include <stdexcept>
#include <thread>

namespace bergamotusher
{

namespace
{

constexpr std::size_t ring_capacity = 16 * 1024;
constexpr std::size_t small_ring_capacity = 1024;

std::string must_read(const char* flag, const std::string& file)
{
    auto token = read_token(flag, file);
    if (const auto* wrong = std::get_if<failure>(&token))
        throw std::runtime_error(wrong->detail);
    return std::get<std::string>(std::move(token));
}

events_options event_settings(const settings& values)
{
    events_options options;
    options.node = values.node;
    if (!values.data_dir.empty())
        options.files =
            observe::event_file_options{values.data_dir + "/events"};
    return options;
}

} // namespace

// Declared in the order in which the parts need each other: rings are there
// before the duties that write to them.
struct daemon_process::parts
{
    explicit parts(const settings& v);

    void on_reply(operator_reply&& reply);
    void publish(std::shared_ptr<const configuration> config);

    settings values;
    std::uint64_t incarnation;
    observe::process_clock clock;
    events_duty events;
    supervisor tree;
    duty& callers_thread;
    duty& upstreams_thread;
    duty& serving_thread;
    duty& admin_thread;
    duty& control_thread;
    duty& platform_thread;

    std::unique_ptr<callers_duty> callers;
    std::unique_ptr<upstreams_duty> upstreams;
    std::unique_ptr<serving_duty> serving;
    std::unique_ptr<admin_duty> admin;
    std::unique_ptr<platform_duty> platform;
    state_host host;
    std::uint64_t local_index = 0;

    mailbox<serving_input> callers_to_serving;
    mailbox<serving_input> upstreams_to_serving;
    mailbox<upstream_message> admin_to_serving;
    mailbox<control_news> control_to_serving;
    mailbox<reclaim_notice> platform_to_serving;
    mailbox<peer_message> peers_to_serving;
    mailbox<serving_action> serving_to_callers;
    mailbox<serving_action> serving_to_upstreams;
    mailbox<proposal> serving_to_control;
    mailbox<peer_message> serving_to_peers;
    mailbox<operator_task> admin_to_control;
    mailbox<operator_reply> control_to_admin;
    mailbox<std::shared_ptr<const configuration>> control_to_callers;

    std::atomic<bool> is_drained{false};
    bool reported_unhealthy = false;
};

daemon_process::parts::parts(const settings& v)
    : values(v)
    , incarnation(static_cast<std::uint64_t>(wall_now().milliseconds))
    , events(event_settings(v), clock)
    , callers_thread(tree.add("callers"))
    , upstreams_thread(tree.add("upstreams"))
    , serving_thread(tree.add("serving"))
    , admin_thread(tree.add("admin"))
    , control_thread(tree.add("control"))
    , platform_thread(tree.add("platform"))
    , callers_to_serving(
          serving_thread.loop(),
          ring_capacity,
          [this](serving_input&& input) { serving->take(std::move(input)); })
    , upstreams_to_serving(
          serving_thread.loop(),
          ring_capacity,
          [this](serving_input&& input) { serving->take(std::move(input)); })
    , admin_to_serving(
          serving_thread.loop(),
          ring_capacity,
          [this](upstream_message&& message)
          { serving->take(std::move(message)); })
    , control_to_serving(
          serving_thread.loop(),
          ring_capacity,
          [this](control_news&& news) { serving->take(std::move(news)); })
    , platform_to_serving(
          serving_thread.loop(),
          small_ring_capacity,
          [this](reclaim_notice&& notice) { serving->take(notice); })
    , peers_to_serving(
          serving_thread.loop(),
          ring_capacity,
          [this](peer_message&& message) { serving->take(std::move(message)); })
    , serving_to_callers(
          callers_thread.loop(),
          ring_capacity,
          [this](serving_action&& action) { callers->take(std::move(action)); })
    , serving_to_upstreams(
          upstreams_thread.loop(),
          ring_capacity,
          [this](serving_action&& action)
          { upstreams->take(std::move(action)); })
    , serving_to_control(
          control_thread.loop(),
          ring_capacity,
          [this](proposal&& wanted)
          {
              const auto index = ++local_index;
              control_to_serving.push(proposal_answer{
                  wanted.ticket,
                  proposal_outcome::committed,
                  apply(host, index, wanted.command),
                  index});
          })
    , serving_to_peers(
          control_thread.loop(), ring_capacity, [](peer_message&&) {})
    , admin_to_control(
          control_thread.loop(),
          small_ring_capacity,
          [this](operator_task&& task)
          { bergamotusher::take(host, std::move(task), wall_now(), now()); })
    , control_to_admin(
          admin_thread.loop(),
          small_ring_capacity,
          [this](operator_reply&& reply) { admin->take(std::move(reply)); })
    , control_to_callers(
          callers_thread.loop(),
          small_ring_capacity,
          [this](std::shared_ptr<const configuration>&& config)
          { callers->apply(std::move(config)); })
{
}

void daemon_process::parts::publish(std::shared_ptr<const configuration> config)
{
    control_to_callers.push(std::shared_ptr<const configuration>(config));
    control_to_serving.push(configuration_applied{std::move(config)});
    control_to_serving.push(configuration_lease{time_point::max()});
}

daemon_process::daemon_process(const settings& values)
    : parts_(std::make_unique<parts>(values))
{
    parts& p = *parts_;
    observe::start_logging(
        *from_name<observe::log_level>(values.log_level),
        *from_name<observe::log_format>(values.log_format));
    callers_options caller_side;
    caller_side.address = values.entry_address;
    caller_side.node = values.node;
    caller_side.incarnation = p.incarnation;
    caller_side.entries = [&p](const account_id& account)
    {
        return membership::entries_json(membership::order_entries(
            p.serving->shown()->entries, account, {}));
    };
    caller_side.entry_address_of = [&p](const node_id& id)
    {
        for (const peer& one : p.values.peers)
            if (one.id == id)
                return to_string(one.entry);
        return std::string();
    };
    p.callers = std::make_unique<callers_duty>(
        p.callers_thread.loop(), p.callers_to_serving, caller_side);
    p.upstreams = std::make_unique<upstreams_duty>(
        p.upstreams_thread.loop(), p.upstreams_to_serving);
    p.serving = std::make_unique<serving_duty>(
        p.serving_thread.loop(),
        values,
        p.incarnation,
        serving_links{
            p.serving_to_callers,
            p.serving_to_upstreams,
            p.serving_to_control,
            p.serving_to_peers,
            p.events.port("serving"),
            [&p]
            {
                p.is_drained = true;
            }});
    admin_options admin_side;
    admin_side.address = values.admin_address;
    admin_side.operator_token =
        must_read("--admin-token-file", values.admin_token_file);
    admin_side.upstream_token =
        must_read("--upstream-token-file", values.upstream_token_file);
    admin_side.status = [&p]
    {
        return status_json(p.values, *p.serving->shown(), p.tree);
    };
    admin_side.upstreams = [&p]
    {
        return p.serving->shown()->upstreams;
    };
    admin_side.metrics = [&p]
    {
        return p.events.metrics();
    };
    admin_side.timeline = [&p](const observe::timeline_query& query)
    {
        return p.events.timeline(query);
    };
    admin_side.ready = [&p]
    {
        return p.serving->shown()->ready;
    };
    p.admin = std::make_unique<admin_duty>(
        p.admin_thread.loop(),
        p.admin_to_serving,
        p.admin_to_control,
        admin_side);
    if (values.cloud)
        p.platform = std::make_unique<platform_duty>(
            p.platform_thread.loop(),
            p.platform_to_serving,
            platform_options{
                *values.cloud,
                values.node,
                values.domain,
                [this](time_point deadline)
                {
                    drain(deadline);
                }});
    p.host.links.publish = [&p](std::shared_ptr<const configuration> config)
    {
        p.publish(std::move(config));
    };
    p.host.links.reply = [&p](operator_reply reply)
    {
        p.control_to_admin.push(std::move(reply));
    };
    p.host.links.propose = [&p](const proposal& wanted)
    {
        const auto index = ++p.local_index;
        bergamotusher::take(
            p.host,
            proposal_answer{
                wanted.ticket,
                proposal_outcome::committed,
                apply(p.host, index, wanted.command),
                index});
    };
    p.events.start();
    p.tree.start(
        [&p](const duty& one, const std::string& reason)
        {
            event happened;
            happened.kind = event_kind::duty_restarted;
            happened.detail = one.name() + ": " + reason;
            p.events.port("duty " + one.name()).record(std::move(happened));
        });
}

daemon_process::~daemon_process() = default;

void daemon_process::drain(std::optional<time_point> deadline)
{
    parts& p = *parts_;
    boost::asio::post(
        p.serving_thread.loop(),
        [&p, deadline] { p.serving->drain(deadline); });
}

bool daemon_process::drained() const
{
    return parts_->is_drained;
}

bool daemon_process::unhealthy()
{
    return parts_->tree.check(now()) != health::good;
}

void daemon_process::stop()
{
    parts_->tree.stop();
    parts_->events.stop();
}

std::variant<std::string, failure>
read_token(const char* flag, const std::string& file)
{
    if (file.empty())
        return std::string();
    std::ifstream in(file);
    std::string token;
    std::getline(in, token);
    if (token.empty())
        return failure{
            error_kind::invalid_setting,
            std::string(flag) + "='" + file +
                "': cannot be read, or its first line is empty"};
    return token;
}

} // namespace bergamotusher
