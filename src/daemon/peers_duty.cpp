#include "daemon/peers_duty.hpp"

#include "base/clock.hpp"
#include "daemon/peer_incarnations.hpp"

#include <boost/lockfree/spsc_queue.hpp>
#include <zmq.hpp>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <sys/eventfd.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace bergamotusher
{

namespace
{

constexpr int reconnect_ms = 100;
constexpr int max_reconnect_ms = 1000;
/// With open membership, messages to a node wait this long for the connection
/// that was opened for the first of them: after a start of many nodes, replies
/// and votes would be lost otherwise.
constexpr duration first_connect_time = 500ms;
/// Interval at which waiting messages are tried again.
constexpr std::chrono::milliseconds waiting_retry_interval{10};
constexpr std::size_t max_waiting_messages = 1024;
/// Minimum time between two searches for idle connections.
constexpr duration idle_check_interval = 5s;
/// Maximum number of connections to other nodes with open membership; the
/// largest planned system has 410 nodes.
constexpr std::size_t max_open_dealers = 1024;
/// Twice the largest configuration that operators may send.
constexpr std::int64_t max_message_bytes = std::int64_t{16} * 1024 * 1024;
/// Messages read from the network in one round before queued messages are
/// sent.
constexpr int receive_burst = 256;
constexpr const char* monitor_endpoint = "inproc://peers-monitor";

struct traffic_counter
{
    std::atomic<std::uint64_t> messages{0};
    std::atomic<std::uint64_t> bytes{0};
};

void count_message(traffic_counter& to, std::size_t bytes)
{
    to.messages.fetch_add(1, std::memory_order_relaxed);
    to.bytes.fetch_add(bytes, std::memory_order_relaxed);
}

} // namespace

struct peers_sender
{
    peers_sender(peers_duty& owner, std::size_t capacity)
        : duty(owner), outgoing(capacity)
    {
    }

    peers_duty& duty;
    boost::lockfree::spsc_queue<outgoing_message> outgoing;
};

struct peers_duty
{
    peers_options options;
    std::array<message_handler, message_kind_count> handlers;
    std::vector<std::unique_ptr<peers_sender>> senders;

    zmq::context_t context{1};
    zmq::socket_t router;
    zmq::socket_t monitor;
    zmq::socket_t authenticator;
    std::map<node_id, zmq::socket_t> dealers;
    /// With open membership, the time of the last message to each node.
    std::map<node_id, time_point> last_sent_at;
    time_point next_idle_check;
    peer_incarnations incarnations;
    /// With open membership, when the connection to each node was opened, and
    /// the encoded messages that wait for it.
    std::map<node_id, time_point> opened_at;
    struct waiting_message
    {
        node_id to;
        wire::message_kind kind = wire::unspecified;
        std::string bytes;
    };
    std::deque<waiting_message> waiting;

    std::thread thread;
    std::atomic<bool> stopping{false};
    std::atomic<bool> wake_pending{false};
    int wake_fd = -1;

    std::array<traffic_counter, message_kind_count> sent;
    std::array<traffic_counter, message_kind_count> received;
    std::atomic<std::uint64_t> dropped_unreachable{0};
    std::atomic<std::uint64_t> dropped_ring_full{0};
    std::atomic<std::uint64_t> refused_connections{0};
    std::atomic<std::uint64_t> malformed{0};
    std::atomic<std::uint64_t> unknown_sender{0};
    std::atomic<std::uint64_t> stale_incarnation{0};
    std::string address;
};

namespace
{

void wake(peers_duty& duty)
{
    if (duty.wake_pending.exchange(true))
        return;
    const std::uint64_t increment = 1;
    [[maybe_unused]] const ssize_t written =
        ::write(duty.wake_fd, &increment, sizeof(increment));
}

int milliseconds(duration span)
{
    return static_cast<int>(span / 1ms);
}

void set_common_options(zmq::socket_t& socket, const peers_options& options)
{
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::sndhwm, options.queue);
    socket.set(zmq::sockopt::rcvhwm, options.queue);
    socket.set(zmq::sockopt::maxmsgsize, max_message_bytes);
    const peers_timing& timing = options.timing;
    socket.set(zmq::sockopt::heartbeat_ivl, milliseconds(timing.ping_interval));
    socket.set(
        zmq::sockopt::heartbeat_timeout, milliseconds(timing.ping_timeout));
    socket.set(
        zmq::sockopt::handshake_ivl, milliseconds(timing.handshake_timeout));
    if (timing.connect_timeout > 0s)
        socket.set(
            zmq::sockopt::connect_timeout,
            milliseconds(timing.connect_timeout));
}

/// Opens the socket on which ZeroMQ asks whether to accept a client's key (ZAP,
/// ZeroMQ RFC 27).
void open_authenticator(peers_duty& duty)
{
    duty.authenticator = zmq::socket_t(duty.context, zmq::socket_type::rep);
    duty.authenticator.set(zmq::sockopt::linger, 0);
    duty.authenticator.bind("inproc://zeromq.zap.01");
}

void open_router(peers_duty& duty)
{
    const peers_options& options = duty.options;
    duty.router = zmq::socket_t(duty.context, zmq::socket_type::router);
    set_common_options(duty.router, options);
    if (options.keys)
    {
        open_authenticator(duty);
        duty.router.set(zmq::sockopt::zap_domain, "peers");
        duty.router.set(zmq::sockopt::curve_server, true);
        duty.router.set(
            zmq::sockopt::curve_secretkey, options.keys->secret_key);
    }
    const int events = ZMQ_EVENT_HANDSHAKE_FAILED_NO_DETAIL |
                       ZMQ_EVENT_HANDSHAKE_FAILED_PROTOCOL |
                       ZMQ_EVENT_HANDSHAKE_FAILED_AUTH;
    zmq_socket_monitor(duty.router.handle(), monitor_endpoint, events);
    duty.monitor = zmq::socket_t(duty.context, zmq::socket_type::pair);
    duty.monitor.set(zmq::sockopt::linger, 0);
    duty.monitor.connect(monitor_endpoint);
    duty.router.bind("tcp://" + options.address);
    duty.address = duty.router.get(zmq::sockopt::last_endpoint)
                       .substr(std::string("tcp://").size());
}

void open_dealer(peers_duty& duty, const peer_address& peer)
{
    zmq::socket_t dealer(duty.context, zmq::socket_type::dealer);
    set_common_options(dealer, duty.options);
    // Queues messages only for connected peers: they would be out of date by
    // the time that a peer reconnects.
    dealer.set(zmq::sockopt::immediate, true);
    dealer.set(zmq::sockopt::reconnect_ivl, reconnect_ms);
    dealer.set(zmq::sockopt::reconnect_ivl_max, max_reconnect_ms);
    if (const auto& keys = duty.options.keys)
    {
        dealer.set(zmq::sockopt::curve_serverkey, keys->public_key);
        dealer.set(zmq::sockopt::curve_publickey, keys->public_key);
        dealer.set(zmq::sockopt::curve_secretkey, keys->secret_key);
    }
    dealer.connect("tcp://" + peer.address);
    duty.dealers.emplace(peer.id, std::move(dealer));
}

void answer_authentication(peers_duty& duty)
{
    std::vector<std::string> frames;
    zmq::message_t frame;
    do
    {
        if (!duty.authenticator.recv(frame, zmq::recv_flags::dontwait))
            return;
        frames.push_back(frame.to_string());
    } while (frame.more());
    // Frames: version, request id, domain, address, identity, mechanism, client
    // key.
    constexpr std::size_t curve_frames = 7;
    bool key_matches = false;
    if (frames.size() == curve_frames && frames[5] == "CURVE")
    {
        char text[z85_key_size + 1] = {};
        const std::string& key = frames[6];
        zmq_z85_encode(
            text,
            reinterpret_cast<const std::uint8_t*>(key.data()),
            key.size());
        key_matches = text == duty.options.keys->public_key;
    }
    const std::string id = frames.size() > 1 ? frames[1] : std::string();
    const std::array<std::string, 6> answer{
        "1.0", id, key_matches ? "200" : "400", "", "", ""};
    for (std::size_t i = 0; i < answer.size(); ++i)
        duty.authenticator.send(
            zmq::buffer(answer[i]),
            i + 1 < answer.size() ? zmq::send_flags::sndmore
                                  : zmq::send_flags::none);
}

void count_failed_handshakes(peers_duty& duty)
{
    zmq::message_t frame;
    while (duty.monitor.recv(frame, zmq::recv_flags::dontwait))
        if (!frame.more())
            duty.refused_connections.fetch_add(1, std::memory_order_relaxed);
}

void transmit(peers_duty& duty, outgoing_message&& message);

/// Handles a message of an earlier process of a node: it is dropped, and the
/// node is told the incarnation that was heard.
void drop_stale(peers_duty& duty, const node_id& from)
{
    duty.stale_incarnation.fetch_add(1, std::memory_order_relaxed);
    if (duty.options.open_membership &&
        should_notify(duty.incarnations, from, uptime()))
        transmit(
            duty,
            {from,
             wire::incarnation_notice,
             std::to_string(duty.incarnations.newest[from])});
}

void handle_incarnation_notice(
    peers_duty& duty, const incoming_message& message)
{
    const auto raised =
        incarnation_after_notice(duty.options.incarnation, message.body);
    if (raised)
        duty.options.incarnation = *raised;
    else
        duty.malformed.fetch_add(1, std::memory_order_relaxed);
}

void handle_frame(peers_duty& duty, const zmq::message_t& frame)
{
    wire::envelope envelope;
    if (!envelope.ParseFromArray(
            frame.data(), static_cast<int>(frame.size())) ||
        !wire::message_kind_IsValid(envelope.kind()))
    {
        duty.malformed.fetch_add(1, std::memory_order_relaxed);
        return;
    }
    incoming_message message{
        {envelope.from()},
        envelope.incarnation(),
        envelope.kind(),
        std::move(*envelope.mutable_body())};
    if (!duty.options.open_membership && duty.dealers.count(message.from) == 0)
    {
        duty.unknown_sender.fetch_add(1, std::memory_order_relaxed);
        return;
    }
    const sender_process sender = record_incarnation(
        duty.incarnations, message.from, message.incarnation);
    if (sender == sender_process::earlier)
        return drop_stale(duty, message.from);
    // A connection that is being restored waits between its attempts; a new one
    // connects at once.
    if (sender == sender_process::restarted && duty.options.open_membership)
        duty.dealers.erase(message.from);
    if (duty.options.observe)
        duty.options.observe({envelope.wall_ms(), envelope.logical()});
    count_message(duty.received[message.kind], frame.size());
    if (message.kind == wire::incarnation_notice &&
        duty.options.open_membership)
        return handle_incarnation_notice(duty, message);
    if (const message_handler& handler = duty.handlers[message.kind])
        handler(std::move(message));
}

void receive(peers_duty& duty)
{
    zmq::message_t frame;
    for (int i = 0; i < receive_burst; ++i)
    {
        // The first frame is the routing id of the connection.
        if (!duty.router.recv(frame, zmq::recv_flags::dontwait))
            return;
        std::size_t frames = 1;
        while (frame.more())
        {
            if (!duty.router.recv(frame, zmq::recv_flags::dontwait))
                return;
            ++frames;
        }
        if (frames == 2)
            handle_frame(duty, frame);
        else
            duty.malformed.fetch_add(1, std::memory_order_relaxed);
    }
}

/// Opens a connection to `to` if there is none, and from time to time closes
/// idle connections. Used with open membership only.
void ensure_dealer(peers_duty& duty, const node_id& to)
{
    const time_point now = uptime();
    duty.last_sent_at[to] = now;
    if (now >= duty.next_idle_check)
    {
        duty.next_idle_check = now + idle_check_interval;
        for (auto i = duty.last_sent_at.begin(); i != duty.last_sent_at.end();)
        {
            if (now - i->second < duty.options.idle_timeout)
            {
                ++i;
                continue;
            }
            duty.dealers.erase(i->first);
            forget_node(duty.incarnations, i->first);
            duty.opened_at.erase(i->first);
            i = duty.last_sent_at.erase(i);
        }
    }
    if (duty.dealers.count(to) != 0 || to == duty.options.self ||
        duty.dealers.size() >= max_open_dealers)
        return;
    try
    {
        open_dealer(duty, {to, to.value, {}});
        duty.opened_at[to] = now;
    }
    catch (const zmq::error_t&)
    {
        // The node id is not an address. `transmit` counts the message as
        // unreachable.
        duty.malformed.fetch_add(1, std::memory_order_relaxed);
    }
}

bool try_send(
    peers_duty& duty,
    const node_id& to,
    wire::message_kind kind,
    const std::string& bytes)
{
    const auto dealer = duty.dealers.find(to);
    if (dealer == duty.dealers.end() ||
        !dealer->second.send(zmq::buffer(bytes), zmq::send_flags::dontwait))
        return false;
    count_message(duty.sent[kind], bytes.size());
    return true;
}

bool is_connecting(const peers_duty& duty, const node_id& to)
{
    const auto opened = duty.opened_at.find(to);
    return opened != duty.opened_at.end() &&
           uptime() - opened->second < first_connect_time;
}

void transmit(peers_duty& duty, outgoing_message&& message)
{
    const hybrid_time at = duty.options.clock
                               ? duty.options.clock()
                               : hybrid_time{time_of_day().milliseconds, 0};
    wire::envelope envelope;
    envelope.set_kind(message.kind);
    envelope.set_from(duty.options.self.value);
    envelope.set_incarnation(duty.options.incarnation);
    envelope.set_wall_ms(at.wall);
    envelope.set_logical(at.logical);
    envelope.set_body(std::move(message.body));
    std::string bytes = envelope.SerializeAsString();
    if (duty.options.open_membership)
        ensure_dealer(duty, message.to);
    if (try_send(duty, message.to, message.kind, bytes))
        return;
    if (is_connecting(duty, message.to) &&
        duty.waiting.size() < max_waiting_messages)
        duty.waiting.push_back({message.to, message.kind, std::move(bytes)});
    else
        duty.dropped_unreachable.fetch_add(1, std::memory_order_relaxed);
}

/// Sends the messages that wait for a connection that exists by now, and drops
/// those whose connection was not established in time.
void send_waiting(peers_duty& duty)
{
    for (auto& message : std::exchange(duty.waiting, {}))
    {
        if (try_send(duty, message.to, message.kind, message.bytes))
            continue;
        if (is_connecting(duty, message.to))
            duty.waiting.push_back(std::move(message));
        else
            duty.dropped_unreachable.fetch_add(1, std::memory_order_relaxed);
    }
}

/// Takes the next message of the first sender that has one.
bool pop_first(peers_duty& duty, outgoing_message& message)
{
    return std::any_of(
        duty.senders.begin(),
        duty.senders.end(),
        [&](const auto& sender) { return sender->outgoing.pop(message); });
}

void transmit_queued(peers_duty& duty)
{
    std::uint64_t ignored = 0;
    [[maybe_unused]] const ssize_t bytes_read =
        ::read(duty.wake_fd, &ignored, sizeof(ignored));
    duty.wake_pending.store(false);
    outgoing_message message;
    while (pop_first(duty, message))
        transmit(duty, std::move(message));
}

/// Waits for input on any socket, or until waiting messages are to be tried
/// again. Returns false if interrupted by a signal.
bool poll_once(std::vector<zmq::pollitem_t>& items, bool has_waiting_messages)
{
    constexpr std::chrono::milliseconds no_timeout{-1};
    try
    {
        zmq::poll(
            items, has_waiting_messages ? waiting_retry_interval : no_timeout);
        return true;
    }
    catch (const zmq::error_t& error)
    {
        if (error.num() != EINTR)
            throw;
        return false;
    }
}

void run(peers_duty& duty)
{
    std::vector<zmq::pollitem_t> items{
        {duty.router.handle(), 0, ZMQ_POLLIN, 0},
        {duty.monitor.handle(), 0, ZMQ_POLLIN, 0},
        {nullptr, duty.wake_fd, ZMQ_POLLIN, 0}};
    if (duty.options.keys)
        items.push_back({duty.authenticator.handle(), 0, ZMQ_POLLIN, 0});
    while (!duty.stopping.load())
    {
        if (!poll_once(items, !duty.waiting.empty()))
            continue;
        if (!duty.waiting.empty())
            send_waiting(duty);
        if (items[0].revents != 0)
            receive(duty);
        if (items[1].revents != 0)
            count_failed_handshakes(duty);
        if (items[2].revents != 0)
            transmit_queued(duty);
        if (items.size() > 3 && items[3].revents != 0)
            answer_authentication(duty);
    }
}

} // namespace

void peers_deleter::operator()(peers_duty* duty) const
{
    stop(*duty);
    if (duty->wake_fd >= 0)
        ::close(duty->wake_fd);
    delete duty;
}

peers_duty_ptr make_peers_duty(peers_options options)
{
    peers_duty_ptr duty(new peers_duty);
    duty->options = std::move(options);
    duty->wake_fd = ::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    return duty;
}

void on_message(
    peers_duty& duty, wire::message_kind kind, message_handler handler)
{
    duty.handlers[kind] = std::move(handler);
}

peers_sender& make_sender(peers_duty& duty, std::size_t capacity)
{
    duty.senders.push_back(std::make_unique<peers_sender>(duty, capacity));
    return *duty.senders.back();
}

std::optional<failure> start(peers_duty& duty)
{
    try
    {
        open_router(duty);
        for (const peer_address& peer : duty.options.peers)
            if (peer.id != duty.options.self)
                open_dealer(duty, peer);
    }
    catch (const zmq::error_t& error)
    {
        return failure{
            error_kind::invalid_setting,
            "peer address " + duty.options.address + ": " + error.what()};
    }
    duty.thread = std::thread([&duty] { run(duty); });
    return std::nullopt;
}

void stop(peers_duty& duty)
{
    if (!duty.thread.joinable())
        return;
    duty.stopping.store(true);
    duty.wake_pending.store(false);
    wake(duty);
    duty.thread.join();
    zmq_socket_monitor(duty.router.handle(), nullptr, 0);
    duty.dealers.clear();
    duty.router.close();
    duty.monitor.close();
    duty.authenticator.close();
}

bool send(peers_sender& sender, const outgoing_message& message)
{
    if (!sender.outgoing.push(message))
    {
        sender.duty.dropped_ring_full.fetch_add(1, std::memory_order_relaxed);
        return false;
    }
    wake(sender.duty);
    return true;
}

peers_status status_of(const peers_duty& duty)
{
    peers_status status;
    for (std::size_t i = 0; i < message_kind_count; ++i)
    {
        status.sent[i] = {duty.sent[i].messages, duty.sent[i].bytes};
        status.received[i] = {
            duty.received[i].messages, duty.received[i].bytes};
    }
    status.dropped_unreachable = duty.dropped_unreachable;
    status.dropped_queue_full = duty.dropped_ring_full;
    status.refused_connections = duty.refused_connections;
    status.malformed = duty.malformed;
    status.unknown_sender = duty.unknown_sender;
    status.stale_incarnation = duty.stale_incarnation;
    status.address = duty.address;
    return status;
}

} // namespace bergamotusher
