#include "state/machine.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace bergamotusher;
using namespace bergamotusher::state;

namespace
{

start_move move_to(const std::string& version, std::string key = "")
{
    return {{"assistant"}, {"v1"}, {version}, {}, 600'000, std::move(key)};
}

version_move
next_of(const machine& run, const move_id& id, move_phase phase, double share)
{
    version_move next = run.state.moves.at(id);
    ++next.sequence;
    next.phase = phase;
    next.share = share;
    return next;
}

/// Any command, of a few keys, so that commands meet.
std::string any_command(const machine& run)
{
    const auto key = std::to_string(*rc::gen::inRange(0, 3));
    const auto begun =
        begin_as(key, "e" + std::to_string(*rc::gen::inRange(0, 2)));
    const std::uint64_t revision = run.state.operator_revision;
    service desk;
    desk.name.value = "assistant";
    desk.default_class.value = "quick";
    std::vector<command> choices{
        put(quick_class(*rc::gen::inRange(0U, 3U)), revision, key),
        put(desk, revision),
        begun,
        finish_of(begun, "done"),
        release_of(begun),
        lose_owner{{"e1"}, 1},
        move_to("v2", key),
        quarantine_fingerprint{key}};
    for (const auto& [id, move] : run.state.moves)
        choices.push_back(advance_move{next_of(
            run,
            id,
            *rc::gen::element(move_phase::widen, move_phase::taken_back),
            0.5)});
    const auto which = *rc::gen::inRange<std::size_t>(0, choices.size());
    return encode(choices[which], run.now);
}

} // namespace

TEST_CASE("equal logs give equal states, also from a snapshot on")
{
    const bool held = rc::check(
        "determinism",
        []
        {
            machine one;
            one.state.bounds.clock_step = one.state.bounds.window;
            replicated_state two;
            two.bounds = one.state.bounds;
            const int steps = *rc::gen::inRange(1, 60);
            const int restart_at = *rc::gen::inRange(0, steps);
            for (int step = 0; step < steps; ++step)
            {
                const std::string each = any_command(one);
                ++one.index;
                const auto first = apply(one.state, one.index, each);
                RC_ASSERT(first == apply(two, one.index, each));
                one.now.milliseconds +=
                    *rc::gen::element<std::int64_t>(1, 20'000'000);
                if (step == restart_at)
                {
                    replicated_state fresh;
                    fresh.bounds = two.bounds;
                    RC_ASSERT(!restore(fresh, snapshot(two)));
                    two = fresh;
                }
                RC_ASSERT(snapshot(one.state) == snapshot(two));
                RC_ASSERT(one.state.requests.by_age == two.requests.by_age);
            }
        });
    CHECK(held);
}

TEST_CASE("a damaged snapshot or command changes nothing")
{
    machine run;
    add_service(run);
    const std::string before = snapshot(run.state);
    CHECK(restore(run.state, "\xff\xff") == error_kind::malformed_message);
    CHECK(snapshot(run.state) == before);
    const auto outcome =
        *parse_result(apply(run.state, ++run.index, "\xff\xff"));
    REQUIRE(outcome.error);
    CHECK(outcome.error->kind == error_kind::malformed_message);

    SECTION("and an index applied before is not applied again")
    {
        apply(run.state, 1, encode(quarantine_fingerprint{"x"}, run.now));
        CHECK(published(run.state)->quarantined.empty());
    }
}

TEST_CASE("a batch gives each command its own result")
{
    machine run;
    const auto one = begin_as("1", "e1");
    const auto encoded = encode_batch(
        {encode(one, run.now), encode(begin_as("1", "e2"), run.now), "\xff"},
        run.now);
    const auto outcome = *parse_result(apply(run.state, 1, encoded));
    REQUIRE(outcome.batch.size() == 3);
    CHECK(outcome.batch[0].begin->outcome == begin_outcome::begun);
    CHECK(outcome.batch[1].begin->outcome == begin_outcome::in_flight);
    CHECK(outcome.batch[2].error->kind == error_kind::malformed_message);
}

TEST_CASE("a version move is started and goes step by step")
{
    machine run;
    add_service(run);
    const auto begun = run(move_to("v2", "key"));
    REQUIRE_FALSE(begun.error);
    const auto split = [&]
    {
        return published(run.state)->splits.at({"assistant"});
    };
    CHECK(split() == std::vector<version_share>{{{"v1"}, 1, {}, false}});

    SECTION("resent, it is the same move; another one must wait")
    {
        run.now.milliseconds += 5000;
        CHECK(run(move_to("v2", "key")).move == begun.move);
        CHECK(run(move_to("v3")).error->kind == error_kind::revision_conflict);
    }
    SECTION("of two leaders' next steps one is taken")
    {
        auto next = next_of(run, begun.move, move_phase::trial, 0.05);
        next.trial = {{"u1"}};
        CHECK_FALSE(run(advance_move{next}).error);
        CHECK(run(advance_move{next}).error->kind == error_kind::fenced);
        CHECK(split().front().share == 0.05);
        CHECK(split().front().on_trial);

        SECTION("without an upstream for its trial, it gets nothing")
        {
            next = next_of(run, begun.move, move_phase::trial, 0.05);
            next.trial.clear();
            run(advance_move{next});
            CHECK(split().size() == 1);
            CHECK(split().front().version.value == "v1");
        }
    }
    SECTION("it ends once")
    {
        run(advance_move{next_of(run, begun.move, move_phase::taken_back, 0)});
        const auto again = run(
            advance_move{next_of(run, begun.move, move_phase::completed, 1)});
        CHECK(again.error->kind == error_kind::fenced);
        CHECK(split() == std::vector<version_share>{{{"v1"}, 1, {}, false}});
        CHECK_FALSE(run(move_to("v2")).error);
    }
    SECTION("completed, all requests go to the new version")
    {
        run(advance_move{next_of(run, begun.move, move_phase::completed, 1)});
        CHECK(split() == std::vector<version_share>{{{"v2"}, 1, {}, false}});
        CHECK(run(move_to("v2")).error);
    }
}
