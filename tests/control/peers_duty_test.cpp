#include "control/local_cluster.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <zmq.hpp>

#include <atomic>

using namespace local_cluster;

namespace
{

peer_keys new_keys()
{
    char public_key[41];
    char secret_key[41];
    REQUIRE(zmq_curve_keypair(public_key, secret_key) == 0);
    return std::get<peer_keys>(parse_peer_keys(secret_key));
}

/// Two nodes; the receiver stores the bodies of the messages from the sender.
struct pair_of_peers
{
    observed seen;
    std::vector<std::string> bodies;
    std::uint64_t last_incarnation = 0;
    peers_duty_ptr sender;
    peers_duty_ptr receiver;
    peers_sender* outgoing = nullptr;
};

void receive_directories(pair_of_peers& nodes)
{
    on_message(
        *nodes.receiver,
        wire::directory,
        [&nodes](incoming_message&& message)
        {
            const std::lock_guard lock(nodes.seen.mutex);
            nodes.bodies.push_back(std::move(message.body));
            nodes.last_incarnation = message.incarnation;
            nodes.seen.changed.notify_all();
        });
}

void start_pair(
    pair_of_peers& nodes,
    const std::optional<peer_keys>& sender_keys,
    const std::optional<peer_keys>& receiver_keys)
{
    const std::vector<peer_address> addresses{
        {{"a"}, free_address(), {"x"}}, {{"b"}, free_address(), {"y"}}};
    peers_options a;
    a.self = {"a"};
    a.incarnation = 5;
    a.address = addresses[0].address;
    a.peers = addresses;
    a.keys = sender_keys;
    peers_options b = a;
    b.self = {"b"};
    b.address = addresses[1].address;
    b.keys = receiver_keys;
    nodes.sender = make_peers_duty(a);
    nodes.receiver = make_peers_duty(b);
    nodes.outgoing = &make_sender(*nodes.sender, 1024);
    receive_directories(nodes);
    REQUIRE_FALSE(start(*nodes.receiver));
    REQUIRE_FALSE(start(*nodes.sender));
}

/// Sends repeatedly until one more message has arrived; false after `timeout`.
bool message_arrives(
    pair_of_peers& nodes, const node_id& receiver, duration timeout)
{
    const std::size_t before = [&]
    {
        const std::lock_guard lock(nodes.seen.mutex);
        return nodes.bodies.size();
    }();
    return wait_for(
        nodes.seen,
        timeout,
        [&]
        {
            send(*nodes.outgoing, {receiver, wire::directory, "hello"});
            return nodes.bodies.size() > before;
        });
}

bool message_arrives(pair_of_peers& nodes, duration timeout)
{
    return message_arrives(nodes, {"b"}, timeout);
}

/// Sends raw bytes to the receiver on a connection of an unknown process.
void send_raw(const pair_of_peers& nodes, const std::string& bytes)
{
    zmq::context_t context;
    zmq::socket_t socket(context, zmq::socket_type::dealer);
    socket.connect("tcp://" + status_of(*nodes.receiver).address);
    socket.send(zmq::buffer(bytes));
    socket.set(zmq::sockopt::linger, 1000);
}

std::string envelope_from(const std::string& from, std::uint64_t incarnation)
{
    wire::envelope envelope;
    envelope.set_from(from);
    envelope.set_incarnation(incarnation);
    envelope.set_kind(wire::directory);
    return envelope.SerializeAsString();
}

template<class Count>
bool counter_rises(pair_of_peers& nodes, Count count)
{
    return wait_for(
        nodes.seen, 5s, [&] { return count(status_of(*nodes.receiver)) > 0; });
}

} // namespace

TEST_CASE("peers deliver messages and count them by kind")
{
    pair_of_peers nodes;
    const auto keys = GENERATE(
        std::optional<peer_keys>(), std::optional<peer_keys>(new_keys()));
    start_pair(nodes, keys, keys);
    REQUIRE(message_arrives(nodes, 5s));
    CHECK(nodes.bodies.front() == "hello");
    // The sender counts what it handed over after the receiver may have it.
    CHECK(wait_for(
        nodes.seen,
        5s,
        [&] {
            return status_of(*nodes.sender).sent[wire::directory].messages > 0;
        }));
    CHECK(status_of(*nodes.receiver).received[wire::directory].bytes > 0);
    CHECK(status_of(*nodes.receiver).refused_connections == 0);
}

TEST_CASE("peers refuse and count connections without the cluster's key")
{
    pair_of_peers nodes;
    const auto wrong = GENERATE(
        std::optional<peer_keys>(), std::optional<peer_keys>(new_keys()));
    start_pair(nodes, wrong, new_keys());
    CHECK(counter_rises(
        nodes,
        [](const peers_status& status) { return status.refused_connections; }));
    CHECK_FALSE(message_arrives(nodes, 200ms));
}

TEST_CASE("a client that knows only the public key is refused")
{
    const peer_keys cluster = new_keys();
    pair_of_peers nodes;
    peer_keys unauthorized = new_keys();
    start_pair(nodes, cluster, cluster);
    zmq::context_t context;
    zmq::socket_t socket(context, zmq::socket_type::dealer);
    char own_public[41];
    zmq_curve_public(own_public, unauthorized.secret_key.c_str());
    socket.set(zmq::sockopt::curve_serverkey, cluster.public_key);
    socket.set(zmq::sockopt::curve_publickey, own_public);
    socket.set(zmq::sockopt::curve_secretkey, unauthorized.secret_key);
    socket.set(zmq::sockopt::linger, 0);
    socket.connect("tcp://" + status_of(*nodes.receiver).address);
    socket.send(zmq::buffer(envelope_from("a", 9)));
    CHECK(counter_rises(
        nodes,
        [](const peers_status& status) { return status.refused_connections; }));
    CHECK(nodes.bodies.empty());
}

TEST_CASE(
    "peers drop and count messages that are not valid or not from a known node")
{
    pair_of_peers nodes;
    start_pair(nodes, {}, {});
    SECTION("bytes that cannot be decoded")
    {
        send_raw(nodes, "\xff\xff\xff");
        CHECK(counter_rises(
            nodes,
            [](const peers_status& status) { return status.malformed; }));
    }
    SECTION("an unknown node")
    {
        send_raw(nodes, envelope_from("stranger", 1));
        CHECK(counter_rises(
            nodes,
            [](const peers_status& status) { return status.unknown_sender; }));
    }
    SECTION("an older incarnation of a known node")
    {
        REQUIRE(message_arrives(nodes, 5s));
        send_raw(nodes, envelope_from("a", 4));
        CHECK(counter_rises(
            nodes,
            [](const peers_status& status)
            { return status.stale_incarnation; }));
    }
}

TEST_CASE("a message to a disconnected node is dropped and counted")
{
    pair_of_peers nodes;
    start_pair(nodes, {}, {});
    stop(*nodes.receiver);
    CHECK(wait_for(
        nodes.seen,
        5s,
        [&]
        {
            send(*nodes.outgoing, {{"b"}, wire::directory, "lost"});
            return status_of(*nodes.sender).dropped_unreachable > 0;
        }));
}

TEST_CASE("a connection that is silent from its start is replaced")
{
    namespace asio = boost::asio;
    pair_of_peers nodes;
    asio::io_context loop;
    asio::ip::tcp::acceptor silent(
        loop, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    const std::string address =
        "127.0.0.1:" + std::to_string(silent.local_endpoint().port());
    peers_options a = open_membership_options({"127.0.0.1", 0}, {});
    a.self = {"a"};
    nodes.sender = make_peers_duty(a);
    nodes.outgoing = &make_sender(*nodes.sender, 1024);
    REQUIRE_FALSE(start(*nodes.sender));
    send(*nodes.outgoing, {{address}, wire::directory, "hello"});
    const asio::ip::tcp::socket kept_open = silent.accept();
    silent.close();

    peers_options b =
        open_membership_options(parse_endpoint(address).value(), {});
    nodes.receiver = make_peers_duty(b);
    receive_directories(nodes);
    REQUIRE_FALSE(start(*nodes.receiver));
    CHECK(message_arrives(nodes, {address}, 5s));
}

TEST_CASE("a node whose clock was set back between two starts is heard")
{
    pair_of_peers nodes;
    const endpoint a_address = parse_endpoint(free_address()).value();
    const endpoint b_address = parse_endpoint(free_address()).value();
    nodes.receiver = make_peers_duty(open_membership_options(b_address, {}));
    receive_directories(nodes);
    REQUIRE_FALSE(start(*nodes.receiver));
    const auto start_sender = [&](std::uint64_t incarnation)
    {
        nodes.sender.reset();
        peers_options options = open_membership_options(a_address, {});
        options.incarnation = incarnation;
        nodes.sender = make_peers_duty(options);
        nodes.outgoing = &make_sender(*nodes.sender, 1024);
        REQUIRE_FALSE(start(*nodes.sender));
    };
    /// Messages of the earlier process may still arrive in between.
    const auto is_heard_as = [&](std::uint64_t incarnation)
    {
        return wait_for(
            nodes.seen,
            5s,
            [&]
            {
                send(
                    *nodes.outgoing,
                    {{to_string(b_address)}, wire::directory, "hello"});
                return nodes.last_incarnation == incarnation;
            });
    };
    start_sender(9000);
    REQUIRE(is_heard_as(9000));
    start_sender(4000);
    CHECK(is_heard_as(9001));

    SECTION("and what the earlier process sent stays dropped")
    {
        const auto dropped = status_of(*nodes.receiver).stale_incarnation;
        send_raw(nodes, envelope_from(to_string(a_address), 9000));
        CHECK(counter_rises(
            nodes,
            [&](const peers_status& status)
            { return status.stale_incarnation > dropped ? 1 : 0; }));
        // The notice that the late message brings does not raise it again.
        for (int i = 0; i < 20; ++i)
        {
            REQUIRE(message_arrives(nodes, {to_string(b_address)}, 5s));
            CHECK(nodes.last_incarnation == 9001);
        }
    }
}

TEST_CASE("an invalid key or a missing key file is reported as a failure")
{
    CHECK(std::holds_alternative<failure>(parse_peer_keys("short")));
    CHECK(std::holds_alternative<failure>(read_peer_keys("/nowhere")));
}
