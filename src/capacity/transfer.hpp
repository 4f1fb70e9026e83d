// Choice between copying a request's KV cache to another upstream and
// recomputing it there.
#pragma once

#include <bergamotusher/enum_names.hpp>
#include <bergamotusher/time.hpp>

#include <array>

namespace bergamotusher::capacity
{

/// Throughput of KV cache copies, learned from past copies.
struct copy_estimate
{
    /// 0 until the first copy is recorded.
    double bytes_per_second = 0;
    /// Fixed time for each copy, in seconds.
    double setup_seconds = 0.05;
};

/// Updates the estimate from a finished copy.
void record_copy(copy_estimate& estimate, double bytes, duration taken);

/// How a request resumes on another upstream.
enum class move_method
{
    /// Export the KV cache from the old upstream and import it on the new one.
    transfer,
    /// Recompute the prompt and the delivered tokens.
    recompute
};

/// Inputs to the choice for one request.
struct move_inputs
{
    double cache_bytes = 0;
    double tokens = 0;
    /// Prefill rate of the upstream that the request moves to.
    double prompt_tokens_per_second = 0;
    /// Time until the instance is reclaimed.
    duration notice_left{};
};

/// The faster method. `recompute` if the copy might not finish within the
/// notice, or if no copy was recorded yet.
move_method
choose_method(const copy_estimate& estimate, const move_inputs& question);

constexpr auto enum_names(move_method)
{
    return std::array{
        enum_name<move_method>{move_method::transfer, "transfer"},
        enum_name<move_method>{move_method::recompute, "recompute"}};
}

} // namespace bergamotusher::capacity
