// The evidence for a version move. Guards against a bad version that is not
// found, since a rejected version's failures count as the old version's.
#include "site/move_evidence.hpp"

#include <catch2/catch.hpp>

using namespace bergamotusher;
using namespace bergamotusher::site;

namespace
{

version_move move_to_v3()
{
    version_move move;
    move.service = {"llm"};
    move.target = {"v3"};
    move.duration_ms = 12'000;
    move.number = 2;
    move.rejected = {{"v2"}};
    return move;
}

} // namespace

TEST_CASE("late failures of a reverted version do not hide that the next one "
          "is bad")
{
    const reported_counts counts{
        {{"llm", "v1", "chat"}, {60, 0, 0, 0}},
        {{"llm", "v2", "chat"}, {10, 40, 0, 0}},
        {{"llm", "v3", "chat"}, {4, 3, 0, 0}}};
    std::map<std::string, version_evidence> routes;
    add_evidence(routes, move_to_v3(), counts, {});
    CHECK(routes["chat"].old_successes == 60);
    CHECK(routes["chat"].old_failures == 0);
    const version_move next =
        advance({}, move_to_v3(), {routes["chat"]}, 9, 1'000);
    CHECK(next.state == move_state::reverted);
}

TEST_CASE("answers from before a move, or of another service, are no evidence")
{
    const reported_counts baseline{{{"llm", "v1", "chat"}, {60, 5, 10, 40.0}}};
    const reported_counts counts{
        {{"llm", "v1", "chat"}, {70, 6, 12, 50.0}},
        {{"llm", "v3", "chat"}, {4, 0, 4, 16.0}},
        {{"desk", "v3", "chat"}, {9, 9, 9, 9.0}}};
    std::map<std::string, version_evidence> routes;
    add_evidence(routes, move_to_v3(), counts, baseline);
    const version_evidence& sum = routes["chat"];
    CHECK(sum.old_successes == 10);
    CHECK(sum.old_failures == 1);
    CHECK(sum.old_latency_samples == 2);
    CHECK(sum.old_log_latency_sum == Approx(10));
    CHECK(sum.new_successes == 4);
    CHECK(sum.new_failures == 0);
}
