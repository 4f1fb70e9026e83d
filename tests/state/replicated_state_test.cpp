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

version_move next_step(
    const state_machine& machine,
    const move_id& id,
    move_phase phase,
    double share)
{
    version_move next = machine.state.moves.at(id);
    ++next.sequence;
    next.phase = phase;
    next.share = share;
    return next;
}

/// A random command. Few keys are used, so that commands conflict.
std::string random_command(const state_machine& machine)
{
    const auto key = std::to_string(*rc::gen::inRange(0, 3));
    const auto begun =
        begin_by(key, "e" + std::to_string(*rc::gen::inRange(0, 2)));
    const std::uint64_t revision = machine.state.operator_revision;
    service desk;
    desk.name.value = "assistant";
    desk.default_class.value = "quick";
    std::vector<command> choices{
        put(quick_class(*rc::gen::inRange(0U, 3U)), revision, key),
        put(desk, revision),
        begun,
        finish_of(begun, "done"),
        release_of(begun),
        mark_owner_lost{{"e1"}, 1},
        move_to("v2", key),
        quarantine_fingerprint{key}};
    for (const auto& [id, move] : machine.state.moves)
        choices.push_back(advance_move{next_step(
            machine,
            id,
            *rc::gen::element(move_phase::widen, move_phase::taken_back),
            0.5)});
    const auto which = *rc::gen::inRange<std::size_t>(0, choices.size());
    return encode(choices[which], machine.now);
}

} // namespace

TEST_CASE("equal logs give equal states, also after a restore")
{
    const bool held = rc::check(
        "determinism",
        []
        {
            state_machine machine;
            machine.state.bounds.max_clock_step_ms =
                machine.state.bounds.journal_window_ms;
            replicated_state other_state;
            other_state.bounds = machine.state.bounds;
            const int steps = *rc::gen::inRange(1, 60);
            const int restart_at = *rc::gen::inRange(0, steps);
            for (int step = 0; step < steps; ++step)
            {
                const std::string encoded = random_command(machine);
                ++machine.index;
                const auto first = apply(machine.state, machine.index, encoded);
                RC_ASSERT(first == apply(other_state, machine.index, encoded));
                machine.now.milliseconds +=
                    *rc::gen::element<std::int64_t>(1, 20'000'000);
                if (step == restart_at)
                {
                    replicated_state restored;
                    restored.bounds = other_state.bounds;
                    RC_ASSERT(!restore(restored, snapshot(other_state)));
                    other_state = restored;
                }
                RC_ASSERT(snapshot(machine.state) == snapshot(other_state));
                RC_ASSERT(
                    machine.state.requests.by_age ==
                    other_state.requests.by_age);
            }
        });
    CHECK(held);
}

TEST_CASE("a damaged snapshot or command changes nothing")
{
    state_machine machine;
    add_service(machine);
    const std::string before = snapshot(machine.state);
    CHECK(restore(machine.state, "\xff\xff") == error_kind::malformed_message);
    CHECK(snapshot(machine.state) == before);
    const auto outcome =
        *parse_result(apply(machine.state, ++machine.index, "\xff\xff"));
    REQUIRE(outcome.error);
    CHECK(outcome.error->kind == error_kind::malformed_message);

    SECTION("and an index is not applied twice")
    {
        apply(
            machine.state, 1, encode(quarantine_fingerprint{"x"}, machine.now));
        CHECK(published(machine.state)->quarantined.empty());
    }
}

TEST_CASE("a batch gives each command its own result")
{
    state_machine machine;
    const auto one = begin_by("1", "e1");
    const auto encoded = encode_batch(
        {encode(one, machine.now),
         encode(begin_by("1", "e2"), machine.now),
         "\xff"},
        machine.now);
    const auto outcome = *parse_result(apply(machine.state, 1, encoded));
    REQUIRE(outcome.batch.size() == 3);
    CHECK(outcome.batch[0].begin->outcome == begin_outcome::begun);
    CHECK(outcome.batch[1].begin->outcome == begin_outcome::in_flight);
    CHECK(outcome.batch[2].error->kind == error_kind::malformed_message);
}

TEST_CASE("a version move advances in steps")
{
    state_machine machine;
    add_service(machine);
    const auto begun = machine(move_to("v2", "key"));
    REQUIRE_FALSE(begun.error);
    const auto split = [&]
    {
        return published(machine.state)->splits.at({"assistant"});
    };
    CHECK(split() == std::vector<version_share>{{{"v1"}, 1, {}, false}});

    SECTION("a resent start returns the same move, another start is refused")
    {
        machine.now.milliseconds += 5000;
        CHECK(machine(move_to("v2", "key")).move == begun.move);
        CHECK(
            machine(move_to("v3")).error->kind ==
            error_kind::revision_conflict);
    }
    SECTION("a step that was applied already is refused")
    {
        auto next = next_step(machine, begun.move, move_phase::trial, 0.05);
        next.trial = {{"u1"}};
        CHECK_FALSE(machine(advance_move{next}).error);
        CHECK(machine(advance_move{next}).error->kind == error_kind::fenced);
        CHECK(split().front().share == 0.05);
        CHECK(split().front().on_trial);

        SECTION("a trial without upstreams gets no requests")
        {
            next = next_step(machine, begun.move, move_phase::trial, 0.05);
            next.trial.clear();
            machine(advance_move{next});
            CHECK(split().size() == 1);
            CHECK(split().front().version.value == "v1");
        }
    }
    SECTION("a move that has ended does not advance")
    {
        machine(advance_move{
            next_step(machine, begun.move, move_phase::taken_back, 0)});
        const auto again = machine(advance_move{
            next_step(machine, begun.move, move_phase::completed, 1)});
        CHECK(again.error->kind == error_kind::fenced);
        CHECK(split() == std::vector<version_share>{{{"v1"}, 1, {}, false}});
        CHECK_FALSE(machine(move_to("v2")).error);
    }
    SECTION("after completion all requests go to the new version")
    {
        machine(advance_move{
            next_step(machine, begun.move, move_phase::completed, 1)});
        CHECK(split() == std::vector<version_share>{{{"v2"}, 1, {}, false}});
        CHECK(machine(move_to("v2")).error);
    }
}
