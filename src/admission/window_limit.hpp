// A limit on what an account may use in any span of a given length, over all
// entries. Each entry keeps to a part of it by its own count, so that the sum
// keeps to the limit without any message between them.
//
// It answers for loads that come in clumps: within the span, an account may use
// its part at once, where a bucket that fills by the second would refuse.
#pragma once

#include <bergamotusher/time.hpp>

#include <cstdint>
#include <deque>
#include <optional>

namespace bergamotusher::admission
{

/// The operator's bound on all entries together.
struct window_bound
{
    duration window = 8s;
    /// Part beyond the limit that is allowed over a window.
    double overshoot = 0;
    /// Tokens (or requests) beyond the limit that are allowed besides.
    double slack = 0;
    /// Part of the bound that is used. The rest is for entries that restart
    /// and forget what they admitted, and for requests that were on their way.
    double used_part = 0.85;
    /// Part of its share that an entry may use right after its start, when it
    /// has forgotten what it admitted; the part grows to the whole within one
    /// window.
    double first_part = 0.3;
};

/// What all entries together may admit in one window.
double window_total(const window_bound& bound, double rate, double burst);

/// The share of one of `entries` entries in `total`, for one that started so
/// long ago.
double share_of_entry(
    const window_bound& bound,
    double total,
    std::uint32_t entries,
    duration since_start);

/// What one entry admitted for one account.
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

/// What is done with an amount above the whole `allowed`.
enum class large_amount
{
    /// Admitted if nothing else was: it would never fit otherwise.
    admitted_alone,
    refused
};

/// Admits `amount` if what the entry admitted in the window stays within
/// `allowed`, or tells how long to wait for it.
std::optional<duration> admit(
    window_usage& usage,
    const window_bound& bound,
    double allowed,
    double amount,
    time_point now,
    large_amount large = large_amount::admitted_alone);

/// What the entry admitted in the window that ends now.
double
admitted_within(window_usage& usage, const window_bound& bound, time_point now);

} // namespace bergamotusher::admission
