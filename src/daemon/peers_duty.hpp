// Messages between the system's own processes: one ZeroMQ ROUTER that others
// send to, and one DEALER for each peer, on a thread of its own.
//
// Delivery is at most once. A message to a peer that is not connected, or whose
// queue is full, is dropped and counted; so is one from an unknown node, from
// an older incarnation of a node, or one that cannot be read. With keys, every
// connection is CURVE and only holders of the cluster's key are let in.
//
// Wiring: make the duty, register handlers and make one sender for each duty
// that sends, then start it. Handlers run on this duty's thread and should only
// push into the mailbox of the duty that wants the message.
#pragma once

#include "settings/settings.hpp"
#include "wire/envelope.pb.h"

#include <bergamotusher/error_kind.hpp>
#include <bergamotusher/event.hpp>
#include <bergamotusher/ids.hpp>
#include <bergamotusher/time.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bergamotusher
{

/// A node that the settings name.
struct peer_address
{
    node_id id;
    /// IP:PORT that its peers duty listens on.
    std::string address;
    failure_domain domain;
};

/// The cluster's CURVE key pair, Z85 text of 40 characters each.
struct peer_keys
{
    std::string public_key;
    std::string secret_key;
};

/// How soon a connection that went silent is noticed and replaced.
struct peers_timing
{
    /// Between the pings of one connection.
    duration ping_interval = 2000ms;
    /// A connection that answers no ping for so long is closed, so that one
    /// over a partition does not wait for the kernel's timeouts when it ends.
    duration ping_timeout = 4000ms;
    /// The longest that a connection may take to be established; zero leaves
    /// it to the kernel.
    duration connect_timeout{};
};

/// What the duty is made of.
struct peers_options
{
    node_id self;
    /// Start of this process; grows with each start of the node.
    std::uint64_t incarnation = 1;
    /// IP:PORT to listen on; port 0 takes a free one.
    std::string address;
    /// The other nodes; one that is `self` is passed over.
    std::vector<peer_address> peers;
    /// Nodes come and go: the id of a node is the address of its peers duty.
    /// A connection is made when something is first sent there, and any sender
    /// is let in.
    bool open_membership = false;
    /// Connections to nodes that were sent nothing for so long are closed,
    /// where membership is open.
    duration forget_after = 60s;
    peers_timing timing;
    /// None means that connections are neither encrypted nor checked.
    std::optional<peer_keys> keys;
    /// Messages that wait for one peer, and for this duty.
    int queue = 1000;
    /// Stamps what is sent; the wall clock if empty.
    std::function<hybrid_time()> clock;
    /// Told the stamp of what is received, if not empty.
    std::function<void(hybrid_time)> observe;
};

/// Options of a node whose id is its own address, where nodes come and go. It
/// listens on `bind` if others reach `address` through a forwarded port.
peers_options open_membership_options(
    const endpoint& address, const std::optional<endpoint>& bind);

/// A message to hand to a peer.
struct outgoing_message
{
    node_id to;
    wire::message_kind kind = wire::unspecified;
    std::string body;
};

/// A message from a peer.
struct incoming_message
{
    node_id from;
    std::uint64_t incarnation = 0;
    wire::message_kind kind = wire::unspecified;
    std::string body;
};

/// Messages and their bytes on the wire, without the transport's own.
struct peer_traffic
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
};

constexpr std::size_t message_kinds = wire::message_kind_ARRAYSIZE;

/// Counters since the start.
struct peers_status
{
    std::array<peer_traffic, message_kinds> sent{};
    std::array<peer_traffic, message_kinds> received{};
    /// The peer is not connected or its queue is full.
    std::uint64_t dropped_unreachable = 0;
    /// A sender's ring was full.
    std::uint64_t dropped_ring_full = 0;
    /// Connections without the cluster's key.
    std::uint64_t refused_connections = 0;
    std::uint64_t malformed = 0;
    std::uint64_t unknown_sender = 0;
    std::uint64_t stale_incarnation = 0;
    /// IP:PORT that the duty listens on.
    std::string address;
};

struct peers_duty;
struct peers_sender;

/// Deletes a duty, after it was stopped.
struct peers_deleter
{
    void operator()(peers_duty* duty) const;
};
using peers_handle = std::unique_ptr<peers_duty, peers_deleter>;

using message_handler = std::function<void(incoming_message&&)>;

/// Reads a key file: the secret key in Z85, alone on the first line. Error:
/// `invalid_setting`.
std::variant<peer_keys, failure> read_peer_keys(const std::string& path);

/// The key pair whose secret key is `secret`. Error: `invalid_setting`.
std::variant<peer_keys, failure> parse_peer_keys(const std::string& secret);

peers_handle make_peers(peers_options options);

/// `handler` takes all messages of `kind`. Only before the start.
void on_message(
    peers_duty& duty, wire::message_kind kind, message_handler handler);

/// A ring into the duty, for one sending thread. Only before the start; lives
/// as long as the duty.
peers_sender& make_sender(peers_duty& duty, std::size_t capacity);

/// Binds and starts the thread. Error: `invalid_setting` if the address cannot
/// be listened on.
std::optional<failure> start(peers_duty& duty);

/// Ends the thread; what waits is dropped.
void stop(peers_duty& duty);

/// Hands a message over; false, and counted, if the ring is full.
bool send(peers_sender& sender, const outgoing_message& message);

/// May be called from any thread.
peers_status status_of(const peers_duty& duty);

} // namespace bergamotusher
