#include "admission/slot_share.hpp"

#include <algorithm>
#include <cmath>

namespace bergamotusher::admission
{

namespace
{

double rate_per_slot(const slot_options& options, const shared_rate& rate)
{
    return std::max(rate.requests_per_s, options.min_rate) *
           to_seconds(options.length);
}

/// Requests that the rate allows before the slot begins, over all entries.
std::int64_t requests_before(double per_slot, std::int64_t slot)
{
    return static_cast<std::int64_t>(
        std::floor(static_cast<double>(slot) * per_slot));
}

/// Number of the entry's next request, from request `first` on; all requests of
/// the rate are numbered through.
std::int64_t next_own_request(
    const shared_rate& rate, const entry_seat& seat, std::int64_t first)
{
    const auto turn = static_cast<std::uint32_t>(
        (rate.key + static_cast<std::uint64_t>(first)) % seat.count);
    return first + (seat.rank + seat.count - turn) % seat.count;
}

} // namespace

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
    const std::int64_t end = requests_before(per_slot, slot + 1);
    const std::int64_t own =
        next_own_request(rate, seat, requests_before(per_slot, slot));
    return own >= end
               ? 0
               : static_cast<std::uint32_t>(1 + (end - 1 - own) / seat.count);
}

std::uint32_t requests_left(
    const slot_options& options,
    const shared_rate& rate,
    const entry_seat& seat,
    const slot_use& use,
    duration true_time)
{
    const std::int64_t slot = slot_at(options, true_time);
    // A clock that was set back does not bring a used slot back.
    if (slot < use.slot)
        return 0;
    const std::uint32_t all = requests_in_slot(options, rate, seat, slot);
    const std::uint32_t used = use.slot == slot ? use.requests : 0;
    return all - std::min(used, all);
}

void record_use(const slot_options& options, slot_use& use, duration true_time)
{
    const std::int64_t slot = slot_at(options, true_time);
    if (slot > use.slot)
        use = {slot, 0};
    ++use.requests;
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
    const std::uint32_t left =
        requests_left(options, rate, seat, use, true_time);
    if (ahead < left)
        return duration{};
    const double per_slot = rate_per_slot(options, rate);
    const std::int64_t slot =
        std::max(slot_at(options, true_time), use.slot) + 1;
    const std::int64_t own =
        next_own_request(rate, seat, requests_before(per_slot, slot)) +
        std::int64_t{ahead - left} * seat.count;
    // The slot in which that request lies: the first one that ends above it.
    const auto at = static_cast<std::int64_t>(
                        std::ceil(static_cast<double>(own + 1) / per_slot)) -
                    1;
    return std::max(
        std::max(at, slot) * options.length - true_time, duration{});
}

} // namespace bergamotusher::admission
