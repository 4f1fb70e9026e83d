// Sharing of a rate among entries that may be less than one request for each.
//
// Time, by the clock that all nodes agree on, is divided into slots. The
// requests that the rate allows in a slot are dealt out to the entries in turn,
// so that an entry whose share is a fraction has one request in some slots.
// Which ones follows from the slot's number and the entry's seat: no message is
// needed to use a request, none is lost with a leader, and an entry that starts
// again needs no count of what it used before.
//
// Where entries disagree on the seats, as while one is added, each still uses
// its part of the slots, so that the sum stays about the rate.
#pragma once

#include <bergamotusher/time.hpp>

#include <cstdint>
#include <optional>

namespace bergamotusher::admission
{

struct slot_options
{
    duration length = 1s;
    /// A lower rate is taken as this one, so that whoever named 0 is asked
    /// again: one request in 30 s over all entries.
    double min_rate = 1.0 / 30;
    /// A higher rate is taken as this one: no upstream serves as many, and the
    /// numbers of requests since the epoch stay exact.
    double max_rate = 1e6;
    /// Requests over all entries that may be left unused and sent later, beside
    /// those of one slot: entries without callers in one slot have some in the
    /// next. Upstreams bear five more in 4 s than one and a half times their
    /// rate allows, which is another slot's.
    double spare_requests = 3;
    /// The most slots after its own in which a request may be sent.
    double max_later_slots = 8;
};

/// The place of an entry among those that share rates. `count` 0 means that it
/// is not known; such an entry has no requests.
struct entry_seat
{
    std::uint32_t rank = 0;
    std::uint32_t count = 0;

    bool operator==(const entry_seat&) const = default;
};

/// The place of an entry among the `owners` entries that share a rate, while
/// the others use nothing of it; `count` 0 if it is one of the others. Which
/// ones they are follows from `key`. Few owners can use a small rate without
/// long gaps, and keep the caches that they fill.
entry_seat seat_among_owners(
    const entry_seat& seat, std::uint64_t key, std::uint32_t owners);

/// A rate to share. `key` differs between rates, so that each begins its turn
/// at another entry.
struct shared_rate
{
    double requests_per_s = 0;
    std::uint64_t key = 0;
};

/// What an entry used of a rate. All requests that a rate allows are numbered
/// through since the epoch.
struct slot_use
{
    /// The rate by which requests are numbered.
    double requests_per_s = 0;
    /// Own requests with lower numbers are used.
    std::int64_t next_request = 0;
};

/// The number of the slot that contains `true_time`, a time of day that is
/// about equal at all entries.
std::int64_t slot_at(const slot_options& options, duration true_time);

/// Requests that are dealt out to the entry in a slot. It may send them in that
/// slot and, as far as `slot_options` says, later.
std::uint32_t requests_in_slot(
    const slot_options& options,
    const shared_rate& rate,
    const entry_seat& seat,
    std::int64_t slot);

/// Requests that the entry may send at `true_time`.
std::uint32_t requests_left(
    const slot_options& options,
    const shared_rate& rate,
    const entry_seat& seat,
    const slot_use& use,
    duration true_time);

/// Counts a request that is sent at `true_time`.
void record_use(
    const slot_options& options,
    const shared_rate& rate,
    const entry_seat& seat,
    slot_use& use,
    duration true_time);

/// Time until the entry may send its request number `ahead`, counted from 0
/// among those that it may still send; nothing if its seat is not known.
std::optional<duration> time_to_request(
    const slot_options& options,
    const shared_rate& rate,
    const entry_seat& seat,
    const slot_use& use,
    std::uint32_t ahead,
    duration true_time);

} // namespace bergamotusher::admission
