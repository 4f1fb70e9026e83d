#include "capacity/transfer.hpp"

#include <algorithm>

namespace bergamotusher::capacity
{

namespace
{

constexpr double copy_rate_weight = 0.3;
/// The expected copy time is multiplied by this factor before it is compared
/// with the remaining notice.
constexpr double notice_margin = 1.5;
/// Smaller copies do not update the rate.
constexpr double min_copy_bytes = 1'000'000;
constexpr double min_prompt_tokens_per_second = 50;

} // namespace

void record_copy(copy_estimate& estimate, double bytes, duration elapsed)
{
    if (bytes < min_copy_bytes)
        return;
    const double transfer_seconds =
        std::max(0.001, to_seconds(elapsed) - estimate.setup_seconds);
    const double rate = bytes / transfer_seconds;
    if (estimate.bytes_per_second <= 0)
        estimate.bytes_per_second = rate;
    else
        estimate.bytes_per_second +=
            copy_rate_weight * (rate - estimate.bytes_per_second);
}

move_method
choose_method(const copy_estimate& estimate, const move_inputs& inputs)
{
    if (estimate.bytes_per_second <= 0)
        return move_method::recompute;
    const double copy_seconds =
        estimate.setup_seconds + inputs.cache_bytes / estimate.bytes_per_second;
    const double recompute_seconds =
        inputs.tokens /
        std::max(inputs.prompt_tokens_per_second, min_prompt_tokens_per_second);
    const bool in_time =
        copy_seconds * notice_margin <= to_seconds(inputs.notice_left);
    return in_time && copy_seconds < recompute_seconds ? move_method::transfer
                                                       : move_method::recompute;
}

} // namespace bergamotusher::capacity
