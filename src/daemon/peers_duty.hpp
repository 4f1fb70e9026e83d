// Messages between the processes of the system, over ZeroMQ on a thread of its
// own: one ROUTER socket receives from all peers, and one DEALER socket sends
// to each peer.
//
// Delivery is at most once. A message to a peer that is not connected, or whose
// queue is full, is dropped and counted; so is one from an unknown node, from
// an older incarnation of a node, or one that cannot be decoded. With keys,
// every connection uses CURVE and only holders of the cluster's key are
// accepted.
//
// Usage: create the duty, register handlers, create one sender for each sending
// thread, then start it. Handlers run on this duty's thread and should only
// push into the mailbox of the receiving duty.
#pragma once

#include "daemon/peer_keys.hpp"
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

/// A node named in the settings.
struct peer_address
{
    node_id id;
    /// IP:PORT on which its peers duty listens.
    std::string address;
    failure_domain domain;
};

/// Limits after which an unresponsive connection is closed and replaced.
struct peers_timing
{
    /// Interval between the pings of one connection.
    duration ping_interval = 2000ms;
    /// A connection that answers no ping for this long is closed. Otherwise a
    /// connection that crossed a network partition would be usable only after
    /// the kernel's timeouts once the partition ends.
    duration ping_timeout = 4000ms;
    /// Maximum time to establish a connection; zero uses the kernel's limit.
    duration connect_timeout{};
    /// A new connection whose other side does not answer the handshake for this
    /// long is closed. Pings begin only after the handshake.
    duration handshake_timeout = 4000ms;
};

/// Settings of the peers duty.
struct peers_options
{
    node_id self;
    /// Identifies this run of the process; increases with each start of the
    /// node. With open membership it may start too low: the node raises it when
    /// a peer tells it that it heard a higher one.
    std::uint64_t incarnation = 1;
    /// IP:PORT to listen on; port 0 selects a free port.
    std::string address;
    /// The other nodes; an element equal to `self` is ignored.
    std::vector<peer_address> peers;
    /// Nodes may join and leave at any time. The id of a node is the address of
    /// its peers duty; a connection is opened on the first message to it, and
    /// messages from any sender are accepted.
    bool open_membership = false;
    /// With open membership, a connection on which nothing was sent for this
    /// long is closed.
    duration idle_timeout = 60s;
    peers_timing timing;
    /// Without keys, connections are neither encrypted nor authenticated.
    std::optional<peer_keys> keys;
    /// Capacity of the send queue of one peer and of the receive queue, in
    /// messages.
    int queue = 1000;
    /// Returns the time stamp of a sent message; if empty, the wall clock is
    /// used.
    std::function<hybrid_time()> clock;
    /// Called with the time stamp of each accepted message, if not empty.
    std::function<void(hybrid_time)> observe;
};

/// Returns options with open membership for the node whose id is `address`. It
/// listens on `bind` if given, for nodes that others reach through a forwarded
/// port.
peers_options open_membership_options(
    const endpoint& address, const std::optional<endpoint>& bind);

/// A message to send to a peer.
struct outgoing_message
{
    node_id to;
    wire::message_kind kind = wire::unspecified;
    std::string body;
};

/// A message received from a peer.
struct incoming_message
{
    node_id from;
    std::uint64_t incarnation = 0;
    wire::message_kind kind = wire::unspecified;
    std::string body;
};

/// Number of messages and their size in bytes, without the overhead of the
/// transport.
struct peer_traffic
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
};

constexpr std::size_t message_kind_count = wire::message_kind_ARRAYSIZE;

/// Counters since the start.
struct peers_status
{
    std::array<peer_traffic, message_kind_count> sent{};
    std::array<peer_traffic, message_kind_count> received{};
    /// Messages to a peer that is not connected or whose queue is full.
    std::uint64_t dropped_unreachable = 0;
    /// Messages that did not fit in the queue of their `peers_sender`.
    std::uint64_t dropped_queue_full = 0;
    /// Connections whose handshake failed, such as those without the cluster's
    /// key.
    std::uint64_t refused_connections = 0;
    std::uint64_t malformed = 0;
    std::uint64_t unknown_sender = 0;
    std::uint64_t stale_incarnation = 0;
    /// IP:PORT on which the duty listens.
    std::string address;
};

struct peers_duty;
struct peers_sender;

/// Stops a duty and deletes it.
struct peers_deleter
{
    void operator()(peers_duty* duty) const;
};
using peers_duty_ptr = std::unique_ptr<peers_duty, peers_deleter>;

using message_handler = std::function<void(incoming_message&&)>;

peers_duty_ptr make_peers_duty(peers_options options);

/// Registers the handler of all messages of `kind`. Call only before `start`.
void on_message(
    peers_duty& duty, wire::message_kind kind, message_handler handler);

/// Creates a queue into the duty for one sending thread, of `capacity`
/// messages. Messages of a sender that was created earlier go first. Call only
/// before `start`. The sender lives as long as the duty.
peers_sender& make_sender(peers_duty& duty, std::size_t capacity);

/// Binds the address and starts the thread. Error: `invalid_setting` if the
/// address cannot be bound.
std::optional<failure> start(peers_duty& duty);

/// Joins the thread. Messages that are still queued are dropped.
void stop(peers_duty& duty);

/// Enqueues a message. If the queue is full, the message is counted as dropped
/// and the result is false.
bool send(peers_sender& sender, const outgoing_message& message);

/// May be called from any thread.
peers_status status_of(const peers_duty& duty);

} // namespace bergamotusher
