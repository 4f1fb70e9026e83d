#include "admission/slot_share.hpp"

#include <algorithm>
#include <cmath>

namespace bergamotusher::admission
{

namespace
{

double rate_per_slot(const slot_options& options, const shared_rate& rate)
{
    return std::clamp(rate.requests_per_s, options.min_rate, options.max_rate) *
           to_seconds(options.length);
}

/// Requests that the rate allows before the slot begins, over all entries.
std::int64_t requests_before(double per_slot, std::int64_t slot)
{
    return static_cast<std::int64_t>(
        std::floor(static_cast<double>(slot) * per_slot));
}

/// Number of the entry's next request, from request `first` on.
std::int64_t next_own_request(
    const shared_rate& rate, const entry_seat& seat, std::int64_t first)
{
    const auto turn = static_cast<std::uint32_t>(
        (rate.key + static_cast<std::uint64_t>(first)) % seat.count);
    return first + (seat.rank + seat.count - turn) % seat.count;
}

/// Number of own requests from the own request `first` to before `end`.
std::uint32_t
own_requests(const entry_seat& seat, std::int64_t first, std::int64_t end)
{
    return first >= end
               ? 0
               : static_cast<std::uint32_t>(1 + (end - 1 - first) / seat.count);
}

/// The requests that may be sent in a slot: those of the slot and of some slots
/// before it, less what was used.
struct open_requests
{
    /// An own request.
    std::int64_t first = 0;
    std::int64_t end = 0;
};

open_requests requests_at(
    const slot_options& options,
    const shared_rate& rate,
    const entry_seat& seat,
    const slot_use& use,
    std::int64_t slot)
{
    const double per_slot = rate_per_slot(options, rate);
    const auto later_slots = static_cast<std::int64_t>(std::min(
        1 + options.spare_requests / per_slot, options.max_later_slots));
    const std::int64_t end = requests_before(per_slot, slot + 1);
    std::int64_t first = requests_before(per_slot, slot - later_slots);
    if (use.requests_per_s != rate.requests_per_s)
        // Requests were numbered otherwise: begins with this slot.
        first = requests_before(per_slot, slot);
    else if (use.next_request > requests_before(per_slot, slot + later_slots))
        // The clock was far ahead.
        first = end;
    else
        first = std::max(first, use.next_request);
    return {next_own_request(rate, seat, first), end};
}

} // namespace

entry_seat seat_among_owners(
    const entry_seat& seat, std::uint64_t key, std::uint32_t owners)
{
    if (seat.count == 0 || owners >= seat.count)
        return seat;
    const auto first = static_cast<std::uint32_t>(key % seat.count);
    const std::uint32_t rank = (seat.rank + seat.count - first) % seat.count;
    return rank < owners ? entry_seat{rank, owners} : entry_seat{};
}

std::int64_t slot_at(const slot_options& options, duration true_time)
{
    return true_time / options.length;
}

std::uint32_t requests_in_slot(
    const slot_options& options,
    const shared_rate& rate,
    const entry_seat& seat,
    std::int64_t slot)
{
    if (seat.count == 0)
        return 0;
    const double per_slot = rate_per_slot(options, rate);
    return own_requests(
        seat,
        next_own_request(rate, seat, requests_before(per_slot, slot)),
        requests_before(per_slot, slot + 1));
}

std::uint32_t requests_left(
    const slot_options& options,
    const shared_rate& rate,
    const entry_seat& seat,
    const slot_use& use,
    duration true_time)
{
    if (seat.count == 0)
        return 0;
    const open_requests open =
        requests_at(options, rate, seat, use, slot_at(options, true_time));
    return own_requests(seat, open.first, open.end);
}

void record_use(
    const slot_options& options,
    const shared_rate& rate,
    const entry_seat& seat,
    slot_use& use,
    duration true_time)
{
    if (seat.count == 0)
        return;
    const open_requests open =
        requests_at(options, rate, seat, use, slot_at(options, true_time));
    use = {rate.requests_per_s, open.first + 1};
}

std::optional<duration> time_to_request(
    const slot_options& options,
    const shared_rate& rate,
    const entry_seat& seat,
    const slot_use& use,
    std::uint32_t ahead,
    duration true_time)
{
    if (seat.count == 0)
        return std::nullopt;
    const std::int64_t now_slot = slot_at(options, true_time);
    const open_requests open = requests_at(options, rate, seat, use, now_slot);
    if (ahead < own_requests(seat, open.first, open.end))
        return duration{};
    const std::int64_t own = open.first + std::int64_t{ahead} * seat.count;
    // The slot in which that request lies: the first one that ends above it.
    const double per_slot = rate_per_slot(options, rate);
    const auto slot = static_cast<std::int64_t>(
                          std::ceil(static_cast<double>(own + 1) / per_slot)) -
                      1;
    return std::max(
        std::max(slot, now_slot + 1) * options.length - true_time, duration{});
}

} // namespace bergamotusher::admission
