#include "capacity/transfer.hpp"

#include <algorithm>

namespace bergamotusher::capacity
{

namespace
{

constexpr double copy_weight = 0.3;
/// A copy must fit the notice with this factor to spare.
constexpr double notice_margin = 1.5;
/// Copies below this say nothing on the rate.
constexpr double least_copy_bytes = 1'000'000;
constexpr double slowest_rate = 50;

} // namespace

void on_copied(copy_estimate& estimate, double bytes, duration taken)
{
    if (bytes < least_copy_bytes)
        return;
    const double copying =
        std::max(0.001, to_seconds(taken) - estimate.setup_seconds);
    const double rate = bytes / copying;
    if (estimate.bytes_per_second <= 0)
        estimate.bytes_per_second = rate;
    else
        estimate.bytes_per_second +=
            copy_weight * (rate - estimate.bytes_per_second);
}

move_method
choose_method(const copy_estimate& estimate, const move_question& question)
{
    if (estimate.bytes_per_second <= 0)
        return move_method::recompute;
    const double copying = estimate.setup_seconds +
                           question.cache_bytes / estimate.bytes_per_second;
    const double computing =
        question.tokens /
        std::max(question.prompt_tokens_per_second, slowest_rate);
    const bool in_time =
        copying * notice_margin <= to_seconds(question.notice_left);
    return in_time && copying < computing ? move_method::transfer
                                          : move_method::recompute;
}

} // namespace bergamotusher::capacity
