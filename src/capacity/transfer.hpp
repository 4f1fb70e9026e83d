// Whether a request that must move takes its KV cache along.
#pragma once

#include <bergamotusher/enum_names.hpp>
#include <bergamotusher/time.hpp>

#include <array>

namespace bergamotusher::capacity
{

/// What copies between two upstreams have shown.
struct copy_estimate
{
    /// 0 until the first copy was measured.
    double bytes_per_second = 0;
    /// Time that a copy of nothing takes, in seconds.
    double setup_seconds = 0.05;
};

/// Learns from a copy that was made.
void on_copied(copy_estimate& estimate, double bytes, duration taken);

/// How a request goes on elsewhere.
enum class move_method
{
    /// Export the KV cache here and import it there.
    transfer,
    /// Compute prompt and delivered tokens again.
    recompute
};

/// A request to be moved.
struct move_question
{
    double cache_bytes = 0;
    double tokens = 0;
    /// Prompt tokens a second of the upstream it moves to.
    double prompt_tokens_per_second = 0;
    /// Time until the instance is gone.
    duration notice_left{};
};

/// The sooner way, or `recompute` if the copy might not end in time or no copy
/// was ever measured.
move_method
choose_method(const copy_estimate& estimate, const move_question& question);

constexpr auto enum_names(move_method)
{
    return std::array{
        enum_name<move_method>{move_method::transfer, "transfer"},
        enum_name<move_method>{move_method::recompute, "recompute"}};
}

} // namespace bergamotusher::capacity
