#include "site/move_policy.hpp"

#include <algorithm>
#include <cmath>

namespace bergamotusher::site
{

namespace
{

constexpr std::uint32_t whole_share = 1000;

double rate(std::uint64_t bad, std::uint64_t good)
{
    const std::uint64_t all = bad + good;
    return all == 0 ? 0 : static_cast<double>(bad) / static_cast<double>(all);
}

/// Why the target is bad; empty if nothing speaks against it.
std::string objection(
    const move_options& options, const std::vector<version_evidence>& evidence)
{
    std::uint64_t old_bad = 0;
    std::uint64_t old_good = 0;
    std::uint64_t new_bad = 0;
    std::uint64_t new_good = 0;
    for (const version_evidence& each : evidence)
    {
        old_bad += each.old_bad;
        old_good += each.old_good;
        new_bad += each.new_bad;
        new_good += each.new_good;
        if (each.new_bad >= options.bad_least &&
            rate(each.new_bad, each.new_good) >
                rate(each.old_bad, each.old_good) + 2 * options.bad_rate)
            return "failures on route " + each.route;
        if (each.new_timed >= options.slow_least &&
            each.old_timed >= options.slow_least &&
            each.new_log_sum / static_cast<double>(each.new_timed) -
                    each.old_log_sum / static_cast<double>(each.old_timed) >
                std::log(options.slow_ratio))
            return "slow on route " + each.route;
    }
    if (new_bad >= options.bad_least &&
        rate(new_bad, new_good) > rate(old_bad, old_good) + options.bad_rate)
        return "failures";
    return {};
}

} // namespace

version_move advance(
    const move_options& options,
    const version_move& move,
    const std::vector<version_evidence>& evidence,
    std::int64_t now_ms)
{
    version_move next = move;
    if (move.state != move_state::active)
        return next;
    next.reason = objection(options, evidence);
    if (!next.reason.empty())
    {
        next.state = move_state::reverted;
        next.share = 0;
        return next;
    }
    const double passed =
        static_cast<double>(now_ms - move.started_ms) /
        static_cast<double>(std::max<std::int64_t>(move.duration_ms, 1));
    std::uint64_t seen = 0;
    for (const version_evidence& each : evidence)
        seen += each.new_good;
    std::uint32_t share = options.first_share;
    if (passed >= options.last_from)
        share = whole_share;
    else if (passed >= options.second_from)
        share = options.second_share;
    // A version that answered nothing is not given more.
    if (seen < options.bad_least)
        share = options.first_share;
    next.share = std::max(move.share, share);
    if (passed >= options.complete_at)
    {
        const bool proven = next.share == whole_share;
        next.state = proven ? move_state::completed : move_state::reverted;
        next.reason =
            proven ? "nothing speaks against it" : "no answers to judge by";
        if (!proven)
            next.share = 0;
    }
    return next;
}

} // namespace bergamotusher::site
