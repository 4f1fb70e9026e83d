#include "control/local_cluster.hpp"

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

/// Two nodes, of which the second counts what it gets from the first.
struct pair_of_peers
{
    observed seen;
    std::vector<std::string> bodies;
    peers_handle sender;
    peers_handle receiver;
    peers_sender* ring = nullptr;
};

void start_pair(
    pair_of_peers& both,
    const std::optional<peer_keys>& sender_keys,
    const std::optional<peer_keys>& receiver_keys)
{
    const std::vector<peer_address> nodes{
        {{"a"}, free_address(), {"x"}}, {{"b"}, free_address(), {"y"}}};
    peers_options a;
    a.self = {"a"};
    a.incarnation = 5;
    a.address = nodes[0].address;
    a.peers = nodes;
    a.keys = sender_keys;
    peers_options b = a;
    b.self = {"b"};
    b.address = nodes[1].address;
    b.keys = receiver_keys;
    both.sender = make_peers(a);
    both.receiver = make_peers(b);
    both.ring = &make_sender(*both.sender, 1024);
    on_message(
        *both.receiver,
        wire::directory,
        [&both](incoming_message&& message)
        {
            const std::lock_guard lock(both.seen.mutex);
            both.bodies.push_back(std::move(message.body));
            both.seen.changed.notify_all();
        });
    REQUIRE_FALSE(start(*both.receiver));
    REQUIRE_FALSE(start(*both.sender));
}

/// Sends until one message has arrived.
bool reaches(pair_of_peers& both, duration limit)
{
    return wait_for(
        both.seen,
        limit,
        [&]
        {
            send(*both.ring, {{"b"}, wire::directory, "hello"});
            return !both.bodies.empty();
        });
}

/// Sends raw bytes to the receiver as a stranger would.
void send_raw(const pair_of_peers& both, const std::string& bytes)
{
    zmq::context_t context;
    zmq::socket_t socket(context, zmq::socket_type::dealer);
    socket.connect("tcp://" + status_of(*both.receiver).address);
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
bool counted(pair_of_peers& both, Count count)
{
    return wait_for(
        both.seen, 5s, [&] { return count(status_of(*both.receiver)) > 0; });
}

} // namespace

TEST_CASE("messages go from node to node, and are counted by kind")
{
    pair_of_peers both;
    const auto keys = GENERATE(
        std::optional<peer_keys>(), std::optional<peer_keys>(new_keys()));
    start_pair(both, keys, keys);
    REQUIRE(reaches(both, 5s));
    CHECK(both.bodies.front() == "hello");
    CHECK(status_of(*both.sender).sent[wire::directory].messages > 0);
    CHECK(status_of(*both.receiver).received[wire::directory].bytes > 0);
    CHECK(status_of(*both.receiver).refused_connections == 0);
}

TEST_CASE("a node without the cluster's key is refused and counted")
{
    pair_of_peers both;
    const auto wrong = GENERATE(
        std::optional<peer_keys>(), std::optional<peer_keys>(new_keys()));
    start_pair(both, wrong, new_keys());
    CHECK(counted(
        both,
        [](const peers_status& status) { return status.refused_connections; }));
    CHECK_FALSE(reaches(both, 200ms));
}

TEST_CASE("knowing the public key alone does not let a client in")
{
    const peer_keys cluster = new_keys();
    pair_of_peers both;
    peer_keys thief = new_keys();
    start_pair(both, cluster, cluster);
    zmq::context_t context;
    zmq::socket_t socket(context, zmq::socket_type::dealer);
    char own_public[41];
    zmq_curve_public(own_public, thief.secret_key.c_str());
    socket.set(zmq::sockopt::curve_serverkey, cluster.public_key);
    socket.set(zmq::sockopt::curve_publickey, own_public);
    socket.set(zmq::sockopt::curve_secretkey, thief.secret_key);
    socket.set(zmq::sockopt::linger, 0);
    socket.connect("tcp://" + status_of(*both.receiver).address);
    socket.send(zmq::buffer(envelope_from("a", 9)));
    CHECK(counted(
        both,
        [](const peers_status& status) { return status.refused_connections; }));
    CHECK(both.bodies.empty());
}

TEST_CASE("what is not a message of a known node is dropped and counted")
{
    pair_of_peers both;
    start_pair(both, {}, {});
    SECTION("bytes that cannot be read")
    {
        send_raw(both, "\xff\xff\xff");
        CHECK(counted(
            both, [](const peers_status& status) { return status.malformed; }));
    }
    SECTION("an unknown node")
    {
        send_raw(both, envelope_from("stranger", 1));
        CHECK(counted(
            both,
            [](const peers_status& status) { return status.unknown_sender; }));
    }
    SECTION("a process that its node has since replaced")
    {
        REQUIRE(reaches(both, 5s));
        send_raw(both, envelope_from("a", 4));
        CHECK(counted(
            both,
            [](const peers_status& status)
            { return status.stale_incarnation; }));
    }
}

TEST_CASE("a message to a node that is away is dropped and counted")
{
    pair_of_peers both;
    start_pair(both, {}, {});
    stop(*both.receiver);
    CHECK(wait_for(
        both.seen,
        5s,
        [&]
        {
            send(*both.ring, {{"b"}, wire::directory, "lost"});
            return status_of(*both.sender).dropped_unreachable > 0;
        }));
}

TEST_CASE("a key that is no key is named as a bad setting")
{
    CHECK(std::holds_alternative<failure>(parse_peer_keys("short")));
    CHECK(std::holds_alternative<failure>(read_peer_keys("/nowhere")));
}
