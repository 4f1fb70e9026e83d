// Limit on the amount that an account may use in any window of a given length,
// over all entries.
//
// Each entry keeps to a part of the limit by its own count, so that the sum
// keeps to the limit without messages between entries. This suits loads that
// arrive in bursts: within the window an account may use its part at once,
// where a token bucket would reject the burst.
#pragma once

#include <bergamotusher/time.hpp>

#include <cstdint>
#include <deque>
#include <optional>

namespace bergamotusher::admission
{

/// Bound on the use at all entries together, as set by the operator.
struct window_bound
{
    duration window = 8s;
    /// Fraction by which the use in a window may exceed the limit.
    double overshoot = 0;
    /// Tokens (or requests) allowed in addition to the limit.
    double slack = 0;
    /// Fraction of the bound that the entries share. The rest covers entries
    /// that restart and lose their counts, and requests in transit.
    double usable_fraction = 0.8;
};

/// Fraction of its share that an entry may use within the first window after
/// its start. It has lost its count of what was used just before: all of its
/// share and this fraction of it together stay within the bound.
double initial_fraction(const window_bound& bound);

/// Amount that all entries together may admit in one window.
double window_total(const window_bound& bound, double rate, double burst);

/// Share in `total` of one of `entries` entries, for an entry that started
/// `since_start` ago.
double share_of_entry(
    const window_bound& bound,
    double total,
    std::uint32_t entries,
    duration since_start);

/// Amounts that one entry admitted for one account, by slice of the window.
struct window_usage
{
    struct slice
    {
        time_point begins;
        double amount = 0;
    };
    std::deque<slice> slices;
    double sum = 0;
};

/// Treatment of an amount that is larger than the whole `allowed`.
enum class large_amount
{
    /// Admitted if the window is empty; it would never fit otherwise.
    admitted_alone,
    refused
};

/// Admits `amount` if the amount admitted in the window stays within `allowed`;
/// else returns how long to wait.
std::optional<duration> admit(
    window_usage& usage,
    const window_bound& bound,
    double allowed,
    double amount,
    time_point now,
    large_amount large = large_amount::admitted_alone);

/// Amount that the entry admitted in the window that ends at `now`.
double
admitted_within(window_usage& usage, const window_bound& bound, time_point now);

} // namespace bergamotusher::admission
