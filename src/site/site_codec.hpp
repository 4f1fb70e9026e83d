// Conversions between the messages of src/wire/site.proto and plain structs.
#pragma once

#include "admission/crash_ledger.hpp"
#include "admission/shared_limit.hpp"
#include "routing/prefill_speed.hpp"
#include "site/site_state.hpp"
#include "site/stated_limits.hpp"
#include "site/upstream_directory.hpp"
#include "wire/site.pb.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bergamotusher::site
{

void write(wire::site::move_value& to, const version_move& from);
version_move read(const wire::site::move_value& from);

void write(
    wire::site::prefill_speed_value& to, const routing::prefill_speed& from);
routing::prefill_speed read(const wire::site::prefill_speed_value& from);

void write(wire::site::upstream_value& to, const upstream& from);
/// Returns nothing if the state is not a known `upstream_state`.
std::optional<upstream> read(const wire::site::upstream_value& from);

void write(wire::site::stated_limit& to, const stated_limit& from);
/// Returns nothing if the limit is not a number of requests.
std::optional<stated_limit> read(const wire::site::stated_limit& from);
/// Leaves out what is not a limit. A statement from a clock that is ahead
/// counts as read at most a second from now, so that it does not outdate what
/// comes after it. `now_ms` is the time of day that the nodes agree on.
std::vector<stated_limit> read_limits(
    const google::protobuf::RepeatedPtrField<wire::site::stated_limit>& from,
    std::int64_t now_ms);

void write(
    wire::site::account_amount& to, const account_id& account, double amount);
admission::account_amounts read_amounts(
    const google::protobuf::RepeatedPtrField<wire::site::account_amount>& from);

evacuations read_evacuations(
    const google::protobuf::RepeatedPtrField<std::string>& domains,
    std::uint64_t revision);

struct forwarded_announcement
{
    upstream value;
    /// Time since the sender heard of the upstream.
    duration age{};
};

/// Upstreams that one node tells another.
struct directory_message
{
    std::vector<forwarded_announcement> upstreams;
    /// Digest of the sender's directory; 0 if it is not told.
    std::uint64_t digest = 0;
    /// The message lists every upstream that the sender knows.
    bool is_complete = false;
    /// The sender has run for long enough to have heard of all live upstreams.
    bool is_settled = false;
};

std::string encode_directory(const directory_message& message);
/// All upstreams of the directory, those that are gone included.
directory_message
whole_directory(const upstream_directory& directory, time_point now);
/// Returns nothing if the message cannot be parsed. Leaves out upstreams with
/// an unknown state.
std::optional<directory_message> decode_directory(std::string_view bytes);

void write(
    wire::site::subject_state& to,
    const admission::subject_since& from,
    time_point now);

admission::subject_since
read(const wire::site::subject_state& from, time_point now);

} // namespace bergamotusher::site
