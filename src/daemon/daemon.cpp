#include "daemon/daemon.hpp"

#include "daemon/admin_duty.hpp"
#include "daemon/callers_duty.hpp"
#include "daemon/control_duty.hpp"
#include "daemon/events_duty.hpp"
#include "daemon/moves_duty.hpp"
#include "daemon/operator_requests.hpp"
#include "daemon/peers_duty.hpp"
#include "daemon/platform_duty.hpp"
#include "daemon/process_report.hpp"
#include "daemon/serving_duty.hpp"
#include "daemon/state_store.hpp"
#include "daemon/supervisor.hpp"
#include "daemon/upstreams_duty.hpp"
#include "observe/logging.hpp"

#include <boost/asio/post.hpp>

#include <fstream>
#include <stdexcept>

namespace bergamotusher
{

namespace
{

constexpr std::size_t mailbox_capacity = std::size_t{16} << 10;
constexpr std::size_t small_mailbox_capacity = 1024;

template<class T>
T value_or_throw(std::variant<T, failure> value)
{
    if (const auto* error = std::get_if<failure>(&value))
        throw std::runtime_error(error->detail);
    return std::get<T>(std::move(value));
}

void throw_if_failed(const std::optional<failure>& error)
{
    if (error)
        throw std::runtime_error(
            std::string(error_answer_for(error->kind).name) + ": " +
            error->detail);
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

std::vector<peer_address> peer_addresses(const settings& values)
{
    std::vector<peer_address> result;
    for (const peer& configured : values.peers)
        result.push_back(
            {configured.id, to_string(configured.address), configured.domain});
    return result;
}

peers_options peer_settings(
    const settings& values,
    std::uint64_t incarnation,
    observe::process_clock& clock)
{
    peers_options options;
    options.self = values.node;
    options.incarnation = incarnation;
    options.address = to_string(values.peer_address);
    options.peers = peer_addresses(values);
    if (!values.peer_key_file.empty())
        options.keys = value_or_throw(read_peer_keys(values.peer_key_file));
    options.clock = [&clock]
    {
        return clock.next();
    };
    options.observe = [&clock](hybrid_time remote)
    {
        clock.merge(remote);
    };
    return options;
}

// A mailbox whose values are passed to `target` on the loop of `thread`.
// `target` is built later, before the loop starts.
template<class T, class Target>
mailbox<T>
mailbox_to(duty& thread, std::unique_ptr<Target>& target, std::size_t capacity)
{
    return mailbox<T>(
        thread.loop(),
        capacity,
        [&target](T&& value) { target->take(std::move(value)); });
}

} // namespace

// Members are declared in the order in which they depend on each other at
// construction and destruction.
struct daemon_process::components
{
    explicit components(const settings& chosen_settings);

    void publish(std::shared_ptr<const configuration> config);
    void make_control_side();
    void make_moves_side();
    void make_serving_side();
    void make_caller_side();
    void make_admin_side();
    void make_platform_side();
    void start();
    void drain(std::optional<time_point> deadline);

    settings values;
    std::uint64_t incarnation;
    observe::process_clock clock;
    events_duty events;
    supervisor duties;
    duty& callers_thread;
    duty& upstreams_thread;
    duty& serving_thread;
    duty& admin_thread;
    duty& platform_thread;
    duty& moves_thread;

    std::unique_ptr<callers_duty> callers;
    std::unique_ptr<upstreams_duty> upstreams;
    std::unique_ptr<serving_duty> serving;
    std::unique_ptr<operator_requests> operators;
    std::unique_ptr<admin_duty> admin;
    std::unique_ptr<platform_duty> platform;
    std::unique_ptr<moves_duty> moves;

    mailbox<serving_input> callers_to_serving;
    mailbox<serving_input> upstreams_to_serving;
    mailbox<upstream_message> admin_to_serving;
    mailbox<control_message> control_to_serving;
    mailbox<reclaim_notice> platform_to_serving;
    mailbox<incoming_message> peers_to_serving;
    mailbox<serving_action> serving_to_callers;
    mailbox<serving_action> serving_to_upstreams;
    mailbox<proposal_answer> control_to_operators;
    mailbox<proposal_answer> control_to_moves;
    mailbox<entry_evidence> serving_to_moves;
    mailbox<entry_evidence> peers_to_moves;
    mailbox<std::shared_ptr<const configuration>> control_to_callers;

    state_store store;
    peers_duty_ptr peers;
    control_handle control;

    std::atomic<bool> is_drained{false};
    std::atomic<bool> storage_failed{false};
};

daemon_process::components::components(const settings& chosen_settings)
    : values(chosen_settings)
    , incarnation(static_cast<std::uint64_t>(wall_now().milliseconds))
    , events(event_settings(chosen_settings), clock)
    , callers_thread(duties.add("callers"))
    , upstreams_thread(duties.add("upstreams"))
    , serving_thread(duties.add("serving"))
    , admin_thread(duties.add("admin"))
    , platform_thread(duties.add("platform"))
    , moves_thread(duties.add("moves"))
    , callers_to_serving(
          mailbox_to<serving_input>(serving_thread, serving, mailbox_capacity))
    , upstreams_to_serving(
          mailbox_to<serving_input>(serving_thread, serving, mailbox_capacity))
    , admin_to_serving(mailbox_to<upstream_message>(
          serving_thread, serving, mailbox_capacity))
    , control_to_serving(mailbox_to<control_message>(
          serving_thread, serving, mailbox_capacity))
    , platform_to_serving(mailbox_to<reclaim_notice>(
          serving_thread, serving, small_mailbox_capacity))
    , peers_to_serving(mailbox_to<incoming_message>(
          serving_thread, serving, mailbox_capacity))
    , serving_to_callers(
          mailbox_to<serving_action>(callers_thread, callers, mailbox_capacity))
    , serving_to_upstreams(mailbox_to<serving_action>(
          upstreams_thread, upstreams, mailbox_capacity))
    , control_to_operators(mailbox_to<proposal_answer>(
          admin_thread, operators, small_mailbox_capacity))
    , control_to_moves(mailbox_to<proposal_answer>(
          moves_thread, moves, small_mailbox_capacity))
    , serving_to_moves(mailbox_to<entry_evidence>(
          moves_thread, moves, small_mailbox_capacity))
    , peers_to_moves(mailbox_to<entry_evidence>(
          moves_thread, moves, small_mailbox_capacity))
    , control_to_callers(
          callers_thread.loop(),
          small_mailbox_capacity,
          [this](std::shared_ptr<const configuration>&& config)
          { callers->apply_configuration(std::move(config)); })
    , store([this](std::shared_ptr<const configuration> config)
            { publish(std::move(config)); })
    , peers(make_peers_duty(peer_settings(values, incarnation, clock)))
{
    make_control_side();
    make_moves_side();
    make_serving_side();
    make_caller_side();
    make_admin_side();
    make_platform_side();
}

void daemon_process::components::publish(
    std::shared_ptr<const configuration> config)
{
    control_to_callers.push(std::shared_ptr<const configuration>(config));
    control_to_serving.push(configuration_applied{std::move(config)});
}

void daemon_process::components::make_control_side()
{
    control_options options;
    options.self = values.node;
    options.nodes = peer_addresses(values);
    options.data_dir = values.data_dir;
    options.record =
        [port = &events.port("control")](
            event_kind kind, std::uint64_t number, const std::string& detail)
    {
        event occurred;
        occurred.kind = kind;
        occurred.number = number;
        occurred.detail = detail;
        port->record(std::move(occurred));
    };
    options.on_failure = [this](const failure&)
    {
        storage_failed = true;
    };
    state_machine machine;
    machine.apply = [this](std::uint64_t index, const std::string& command)
    {
        return store.apply(index, command);
    };
    machine.snapshot = [this]
    {
        return store.snapshot();
    };
    machine.restore = [this](std::uint64_t, const std::string& bytes)
    {
        if (const std::error_code error = store.restore(bytes))
            throw std::system_error(error, "cannot read a snapshot");
    };
    machine.on_leadership = [](bool, std::uint64_t) {
    };
    control = make_control(std::move(options), std::move(machine), *peers);
}

void daemon_process::components::make_moves_side()
{
    on_message(
        *peers,
        wire::evidence,
        [this](incoming_message&& message)
        {
            if (auto report = rollout::parse_evidence(message.body))
                peers_to_moves.push({message.from, std::move(*report)});
        });
    proposer& to_control = make_proposer(
        *control,
        small_mailbox_capacity,
        [this](control_message&& message)
        {
            if (auto* answer = std::get_if<proposal_answer>(&message))
                control_to_moves.push(std::move(*answer));
        });
    moves = std::make_unique<moves_duty>(
        moves_thread.loop(),
        moves_links{
            store,
            [this] { return serving->snapshot()->move_upstreams; },
            [this](time_point at) { return order_fence(*control, at); },
            [&to_control](proposal value)
            { return propose(to_control, std::move(value)); },
            events.port("moves")});
}

void daemon_process::components::make_serving_side()
{
    for (const auto kind :
         {wire::directory,
          wire::entry_status,
          wire::hand_over,
          wire::hand_over_reply,
          wire::crash_report,
          wire::crash_acknowledged,
          wire::budget_ask,
          wire::budget_grant})
        on_message(
            *peers,
            kind,
            [this](incoming_message&& message)
            { peers_to_serving.push(std::move(message)); });
    proposer& to_control = make_proposer(
        *control,
        mailbox_capacity,
        [this](control_message&& message)
        { control_to_serving.push(std::move(message)); });
    upstreams = std::make_unique<upstreams_duty>(
        upstreams_thread.loop(), upstreams_to_serving);
    serving = std::make_unique<serving_duty>(
        serving_thread.loop(),
        values,
        incarnation,
        serving_links{
            serving_to_callers,
            serving_to_upstreams,
            [&to_control](proposal value)
            { return propose(to_control, std::move(value)); },
            make_sender(*peers, mailbox_capacity),
            events.port("serving"),
            [this] { return status_of(*control).leader; },
            [this](time_point at)
            { return order_fence(*control, at).has_value(); },
            serving_to_moves,
            [this]
            {
                is_drained = true;
            }});
}

void daemon_process::components::make_caller_side()
{
    callers_options options;
    options.address = values.entry_address;
    options.node = values.node;
    options.incarnation = incarnation;
    options.entries_json = [this](const account_id& account)
    {
        return membership::entries_json(membership::order_entries(
            serving->snapshot()->entries, account, {}));
    };
    options.entry_address_of = [this](const node_id& id)
    {
        for (const peer& configured : values.peers)
            if (configured.id == id)
                return to_string(configured.entry);
        return std::string();
    };
    callers = std::make_unique<callers_duty>(
        callers_thread.loop(), callers_to_serving, std::move(options));
}

void daemon_process::components::make_admin_side()
{
    proposer& to_control = make_proposer(
        *control,
        small_mailbox_capacity,
        [this](control_message&& message)
        {
            if (auto* answer = std::get_if<proposal_answer>(&message))
                control_to_operators.push(std::move(*answer));
        });
    operators = std::make_unique<operator_requests>(
        admin_thread.loop(),
        store,
        [&to_control](proposal value)
        { return propose(to_control, std::move(value)); });
    admin_options options;
    options.address = values.admin_address;
    options.operator_token = value_or_throw(
        read_token("--admin-token-file", values.admin_token_file));
    options.upstream_token = value_or_throw(
        read_token("--upstream-token-file", values.upstream_token_file));
    options.operate = [this](
                          state::operator_request request,
                          std::function<void(state::operator_answer)> reply)
    {
        operators->take(std::move(request), std::move(reply));
    };
    options.status = [this]
    {
        return status_json(
            values, *serving->snapshot(), status_of(*control), duties);
    };
    options.upstreams = [this]
    {
        return serving->snapshot()->upstreams;
    };
    options.metrics = [this]
    {
        return events.metrics() + metrics_text(
                                      {*serving->snapshot(),
                                       status_of(*control),
                                       status_of(*peers),
                                       callers->http(),
                                       callers->counters(),
                                       upstreams->counters(),
                                       admin->counters()});
    };
    options.timeline = [this](const observe::timeline_query& query)
    {
        return events.timeline(query);
    };
    options.ready = [this]
    {
        return serving->snapshot()->ready;
    };
    admin = std::make_unique<admin_duty>(
        admin_thread.loop(), admin_to_serving, std::move(options));
}

void daemon_process::components::make_platform_side()
{
    if (!values.cloud)
        return;
    platform = std::make_unique<platform_duty>(
        platform_thread.loop(),
        platform_to_serving,
        platform_options{
            *values.cloud,
            values.node,
            values.domain,
            [this](time_point deadline)
            {
                drain(deadline);
            }});
}

void daemon_process::components::start()
{
    events.start();
    throw_if_failed(bergamotusher::start(*control));
    throw_if_failed(bergamotusher::start(*peers));
    duties.start(
        [this](const duty& restarted, const std::string& reason)
        {
            event occurred;
            occurred.kind = event_kind::duty_restarted;
            occurred.detail = restarted.name() + ": " + reason;
            events.port("duty " + restarted.name()).record(std::move(occurred));
        });
}

void daemon_process::components::drain(std::optional<time_point> deadline)
{
    leave(*control);
    boost::asio::post(
        serving_thread.loop(), [this, deadline] { serving->drain(deadline); });
}

daemon_process::daemon_process(const settings& values)
{
    observe::start_logging(
        *from_name<observe::log_level>(values.log_level),
        *from_name<observe::log_format>(values.log_format));
    components_ = std::make_unique<components>(values);
    components_->start();
}

daemon_process::~daemon_process() = default;

void daemon_process::drain(std::optional<time_point> deadline)
{
    components_->drain(deadline);
}

bool daemon_process::drained() const
{
    return components_->is_drained;
}

bool daemon_process::left() const
{
    return has_left(*components_->control);
}

bool daemon_process::unhealthy() const
{
    return components_->storage_failed ||
           components_->duties.check(now()) != health::good;
}

void daemon_process::stop()
{
    components_->duties.stop();
    bergamotusher::stop(*components_->peers);
    bergamotusher::stop(*components_->control);
    components_->events.stop();
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
