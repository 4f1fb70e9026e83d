#include "daemon/daemon.hpp"

#include "daemon/admin_duty.hpp"
#include "daemon/callers_duty.hpp"
#include "daemon/control_duty.hpp"
#include "daemon/events_duty.hpp"
#include "daemon/moves_duty.hpp"
#include "daemon/operator_desk.hpp"
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

constexpr std::size_t ring_capacity = std::size_t{16} << 10;
constexpr std::size_t small_ring_capacity = 1024;

template<class T>
T must(std::variant<T, failure> value)
{
    if (const auto* wrong = std::get_if<failure>(&value))
        throw std::runtime_error(wrong->detail);
    return std::get<T>(std::move(value));
}

void must_start(const std::optional<failure>& wrong)
{
    if (wrong)
        throw std::runtime_error(
            std::string(answer_of(wrong->kind).name) + ": " + wrong->detail);
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
    for (const peer& one : values.peers)
        result.push_back({one.id, to_string(one.address), one.domain});
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
        options.keys = must(read_peer_keys(values.peer_key_file));
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

// A ring whose values `target`, once it is built, takes on its own loop.
template<class T, class Target>
mailbox<T>
ring_to(duty& thread, std::unique_ptr<Target>& target, std::size_t capacity)
{
    return mailbox<T>(
        thread.loop(),
        capacity,
        [&target](T&& value) { target->take(std::move(value)); });
}

} // namespace

// The parts stand in the order in which they need each other: threads, rings,
// duties.
struct daemon_process::parts
{
    explicit parts(const settings& v);

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
    supervisor tree;
    duty& callers_thread;
    duty& upstreams_thread;
    duty& serving_thread;
    duty& admin_thread;
    duty& platform_thread;
    duty& moves_thread;

    std::unique_ptr<callers_duty> callers;
    std::unique_ptr<upstreams_duty> upstreams;
    std::unique_ptr<serving_duty> serving;
    std::unique_ptr<operator_desk> desk;
    std::unique_ptr<admin_duty> admin;
    std::unique_ptr<platform_duty> platform;
    std::unique_ptr<moves_duty> moves;

    mailbox<serving_input> callers_to_serving;
    mailbox<serving_input> upstreams_to_serving;
    mailbox<upstream_message> admin_to_serving;
    mailbox<control_news> control_to_serving;
    mailbox<reclaim_notice> platform_to_serving;
    mailbox<incoming_message> peers_to_serving;
    mailbox<serving_action> serving_to_callers;
    mailbox<serving_action> serving_to_upstreams;
    mailbox<proposal_answer> control_to_desk;
    mailbox<proposal_answer> control_to_moves;
    mailbox<entry_evidence> serving_to_moves;
    mailbox<entry_evidence> peers_to_moves;
    mailbox<std::shared_ptr<const configuration>> control_to_callers;

    state_store store;
    peers_handle peers;
    control_handle control;

    std::atomic<bool> is_drained{false};
    std::atomic<bool> storage_failed{false};
};

daemon_process::parts::parts(const settings& v)
    : values(v)
    , incarnation(static_cast<std::uint64_t>(wall_now().milliseconds))
    , events(event_settings(v), clock)
    , callers_thread(tree.add("callers"))
    , upstreams_thread(tree.add("upstreams"))
    , serving_thread(tree.add("serving"))
    , admin_thread(tree.add("admin"))
    , platform_thread(tree.add("platform"))
    , moves_thread(tree.add("moves"))
    , callers_to_serving(
          ring_to<serving_input>(serving_thread, serving, ring_capacity))
    , upstreams_to_serving(
          ring_to<serving_input>(serving_thread, serving, ring_capacity))
    , admin_to_serving(
          ring_to<upstream_message>(serving_thread, serving, ring_capacity))
    , control_to_serving(
          ring_to<control_news>(serving_thread, serving, ring_capacity))
    , platform_to_serving(
          ring_to<reclaim_notice>(serving_thread, serving, small_ring_capacity))
    , peers_to_serving(
          ring_to<incoming_message>(serving_thread, serving, ring_capacity))
    , serving_to_callers(
          ring_to<serving_action>(callers_thread, callers, ring_capacity))
    , serving_to_upstreams(
          ring_to<serving_action>(upstreams_thread, upstreams, ring_capacity))
    , control_to_desk(
          ring_to<proposal_answer>(admin_thread, desk, small_ring_capacity))
    , control_to_moves(
          ring_to<proposal_answer>(moves_thread, moves, small_ring_capacity))
    , serving_to_moves(
          ring_to<entry_evidence>(moves_thread, moves, small_ring_capacity))
    , peers_to_moves(
          ring_to<entry_evidence>(moves_thread, moves, small_ring_capacity))
    , control_to_callers(
          callers_thread.loop(),
          small_ring_capacity,
          [this](std::shared_ptr<const configuration>&& config)
          { callers->apply(std::move(config)); })
    , store([this](std::shared_ptr<const configuration> config)
            { publish(std::move(config)); })
    , peers(make_peers(peer_settings(values, incarnation, clock)))
{
    make_control_side();
    make_moves_side();
    make_serving_side();
    make_caller_side();
    make_admin_side();
    make_platform_side();
}

void daemon_process::parts::publish(std::shared_ptr<const configuration> config)
{
    control_to_callers.push(std::shared_ptr<const configuration>(config));
    control_to_serving.push(configuration_applied{std::move(config)});
}

void daemon_process::parts::make_control_side()
{
    control_options options;
    options.self = values.node;
    options.nodes = peer_addresses(values);
    options.data_dir = values.data_dir;
    options.record =
        [port = &events.port("control")](
            event_kind kind, std::uint64_t number, const std::string& detail)
    {
        event happened;
        happened.kind = kind;
        happened.number = number;
        happened.detail = detail;
        port->record(std::move(happened));
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

void daemon_process::parts::make_moves_side()
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
        small_ring_capacity,
        [this](control_news&& news)
        {
            if (auto* answer = std::get_if<proposal_answer>(&news))
                control_to_moves.push(std::move(*answer));
        });
    moves = std::make_unique<moves_duty>(
        moves_thread.loop(),
        moves_links{
            store,
            [this] { return serving->shown()->for_moves; },
            [this](time_point at) { return order_fence(*control, at); },
            [&to_control](proposal wanted)
            { return propose(to_control, std::move(wanted)); },
            events.port("moves")});
}

void daemon_process::parts::make_serving_side()
{
    for (const auto kind :
         {wire::directory,
          wire::entry_status,
          wire::hand_over,
          wire::hand_over_reply,
          wire::crash_report,
          wire::budget_ask,
          wire::budget_grant})
        on_message(
            *peers,
            kind,
            [this](incoming_message&& message)
            { peers_to_serving.push(std::move(message)); });
    proposer& to_control = make_proposer(
        *control,
        ring_capacity,
        [this](control_news&& news)
        { control_to_serving.push(std::move(news)); });
    upstreams = std::make_unique<upstreams_duty>(
        upstreams_thread.loop(), upstreams_to_serving);
    serving = std::make_unique<serving_duty>(
        serving_thread.loop(),
        values,
        incarnation,
        serving_links{
            serving_to_callers,
            serving_to_upstreams,
            [&to_control](proposal wanted)
            { return propose(to_control, std::move(wanted)); },
            make_sender(*peers, ring_capacity),
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

void daemon_process::parts::make_caller_side()
{
    callers_options options;
    options.address = values.entry_address;
    options.node = values.node;
    options.incarnation = incarnation;
    options.entries = [this](const account_id& account)
    {
        return membership::entries_json(
            membership::order_entries(serving->shown()->entries, account, {}));
    };
    options.entry_address_of = [this](const node_id& id)
    {
        for (const peer& one : values.peers)
            if (one.id == id)
                return to_string(one.entry);
        return std::string();
    };
    callers = std::make_unique<callers_duty>(
        callers_thread.loop(), callers_to_serving, std::move(options));
}

void daemon_process::parts::make_admin_side()
{
    proposer& to_control = make_proposer(
        *control,
        small_ring_capacity,
        [this](control_news&& news)
        {
            if (auto* answer = std::get_if<proposal_answer>(&news))
                control_to_desk.push(std::move(*answer));
        });
    desk = std::make_unique<operator_desk>(
        admin_thread.loop(),
        store,
        [&to_control](proposal wanted)
        { return propose(to_control, std::move(wanted)); });
    admin_options options;
    options.address = values.admin_address;
    options.operator_token =
        must(read_token("--admin-token-file", values.admin_token_file));
    options.upstream_token =
        must(read_token("--upstream-token-file", values.upstream_token_file));
    options.operate = [this](
                          state::operator_request request,
                          std::function<void(state::operator_answer)> reply)
    {
        desk->take(std::move(request), std::move(reply));
    };
    options.status = [this]
    {
        return status_json(
            values, *serving->shown(), status_of(*control), tree);
    };
    options.upstreams = [this]
    {
        return serving->shown()->upstreams;
    };
    options.metrics = [this]
    {
        return events.metrics() + metrics_text(
                                      {*serving->shown(),
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
        return serving->shown()->ready;
    };
    admin = std::make_unique<admin_duty>(
        admin_thread.loop(), admin_to_serving, std::move(options));
}

void daemon_process::parts::make_platform_side()
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

void daemon_process::parts::start()
{
    events.start();
    must_start(bergamotusher::start(*control));
    must_start(bergamotusher::start(*peers));
    tree.start(
        [this](const duty& one, const std::string& reason)
        {
            event happened;
            happened.kind = event_kind::duty_restarted;
            happened.detail = one.name() + ": " + reason;
            events.port("duty " + one.name()).record(std::move(happened));
        });
}

void daemon_process::parts::drain(std::optional<time_point> deadline)
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
    parts_ = std::make_unique<parts>(values);
    parts_->start();
}

daemon_process::~daemon_process() = default;

void daemon_process::drain(std::optional<time_point> deadline)
{
    parts_->drain(deadline);
}

bool daemon_process::drained() const
{
    return parts_->is_drained;
}

bool daemon_process::left() const
{
    return has_left(*parts_->control);
}

bool daemon_process::unhealthy() const
{
    return parts_->storage_failed || parts_->tree.check(now()) != health::good;
}

void daemon_process::stop()
{
    parts_->tree.stop();
    bergamotusher::stop(*parts_->peers);
    bergamotusher::stop(*parts_->control);
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
