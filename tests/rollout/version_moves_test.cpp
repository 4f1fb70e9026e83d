#include "rollout/move_simulation.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace bergamotusher;
using namespace bergamotusher::rollout;

namespace
{

evidence_sample failing(evidence_sample usual)
{
    usual.failed = usual.succeeded / 2;
    usual.succeeded -= usual.failed;
    return usual;
}

evidence_sample slower(evidence_sample usual)
{
    latency_histogram moved;
    constexpr std::size_t doubled = latency_buckets_per_doubling;
    for (std::size_t i = 0; i + doubled < latency_buckets; ++i)
        moved.counts[i + doubled] = usual.first_token.counts[i];
    usual.first_token = moved;
    return usual;
}

double new_version_share(const move_simulation& simulation)
{
    double share = 0;
    for (const version_share& each : current_split(simulation))
        share += each.version.value == "v2" ? each.share : 0;
    return share;
}

} // namespace

TEST_CASE("a good version gets the traffic stage by stage")
{
    move_simulation simulation = make_simulation(20, 20, 1800);
    double before = 0;
    bool only_grows = true;
    while (!has_ended(simulation.committed_move()))
    {
        run_second(simulation);
        only_grows &= new_version_share(simulation) >= before;
        before = new_version_share(simulation);
        if (simulation.committed_move().phase == move_phase::trial)
        {
            CHECK(before <= 0.05);
            CHECK(simulation.committed_move().trial.size() <= 2);
        }
    }
    CHECK(only_grows);
    CHECK(simulation.committed_move().phase == move_phase::completed);
    CHECK(
        simulation.committed_move().ended <
        simulation.committed_move().deadline);
    CHECK(new_version_share(simulation) == 1);
    CHECK(simulation.orders.empty());
}

TEST_CASE("a bad version is rolled back with a reason for the operator")
{
    move_simulation simulation = make_simulation(20, 20, 1800);

    SECTION("fails on all routes")
    {
        simulation.new_version_answers = failing;
        run_to_end(simulation);
        CHECK(simulation.committed_move().reason.find("failures") == 0);
        CHECK(simulation.second < 60);
    }
    SECTION("fails on one route")
    {
        simulation.new_version_answers = [](evidence_sample usual)
        {
            usual.key.route = usual.key.band == load_band::low ? "/a" : "/b";
            return usual.key.route == "/b" ? failing(usual) : usual;
        };
        run_to_end(simulation);
        CHECK(simulation.committed_move().reason.find("failures") == 0);
    }
    SECTION("is slow under full load only")
    {
        simulation.new_version_answers = [](const evidence_sample& usual)
        {
            return usual.key.band == load_band::full ? slower(usual) : usual;
        };
        run_to_end(simulation);
        CHECK(
            simulation.committed_move().reason ==
            "first_token worse than the old version under full load");
    }
    SECTION("gives truncated answers")
    {
        simulation.new_version_answers = [](evidence_sample usual)
        {
            usual.answered_tokens = 10;
            return usual;
        };
        run_to_end(simulation);
        CHECK(simulation.committed_move().reason.find("answer_length") == 0);
    }
    SECTION("has upstreams that crash")
    {
        simulation.new_version_answers = [](evidence_sample usual)
        {
            usual.crashed = 1;
            return usual;
        };
        run_to_end(simulation);
        CHECK(simulation.committed_move().reason.find("crashes") == 0);
    }
    SECTION("becomes slow during the soak")
    {
        while (simulation.committed_move().phase != move_phase::soak)
            run_second(simulation);
        simulation.new_version_answers = slower;
        run_to_end(simulation);
    }
    SECTION("was stopped by half of the entries")
    {
        while (simulation.committed_move().phase != move_phase::trial)
            run_second(simulation);
        simulation.view.entries = 4;
        simulation.view.entries_stopped = 2;
        run_second(simulation);
    }
    CHECK(simulation.committed_move().phase == move_phase::taken_back);
    CHECK(new_version_share(simulation) == 0);
}

TEST_CASE("one slow upstream does not roll the version back")
{
    move_simulation simulation = make_simulation(20, 20, 1800);
    simulation.new_version_answers = [](const evidence_sample& usual)
    {
        return usual.target.value == "v2-0" ? slower(usual) : usual;
    };
    run_to_end(simulation);
    CHECK(simulation.committed_move().phase == move_phase::completed);

    SECTION("at a small service another upstream is tried")
    {
        move_simulation small = make_simulation(3, 3, 1800);
        small.new_version_answers = simulation.new_version_answers;
        run_to_end(small);
        CHECK(small.committed_move().phase == move_phase::completed);
        CHECK(
            small.committed_move().suspects ==
            std::vector<upstream_id>{{"v2-0"}});
    }
}

TEST_CASE("a version without evidence is rolled back before the deadline")
{
    move_simulation simulation = make_simulation(20, 20, 600);
    simulation.new_version_answers = [](const evidence_sample& usual)
    {
        evidence_sample none;
        none.key = usual.key;
        return none;
    };
    run_to_end(simulation);
    CHECK(simulation.committed_move().phase == move_phase::taken_back);
    CHECK(
        simulation.committed_move().ended <
        simulation.committed_move().deadline);
    CHECK(
        simulation.committed_move().reason.find("not done by the deadline") ==
        0);
}

TEST_CASE("a version that no upstream runs is loaded by orders")
{
    move_simulation simulation = make_simulation(20, 0, 1800);
    run_second(simulation);
    REQUIRE(simulation.orders.size() == 1);
    CHECK(simulation.orders.front().version.value == "v2");

    SECTION("a refused order is repeated with growing delays")
    {
        std::vector<std::int64_t> sent{simulation.second};
        const auto first = simulation.orders.front().target;
        simulation.view.refused = {first};
        while (simulation.second < 120)
        {
            simulation.orders.clear();
            run_second(simulation);
            for (const order_load& order : simulation.orders)
            {
                if (order.target != first)
                    continue;
                sent.push_back(simulation.second);
                simulation.view.refused = {first};
            }
        }
        REQUIRE(sent.size() == 4);
        CHECK(sent[2] - sent[1] > sent[1] - sent[0]);
        CHECK(sent[3] - sent[2] > sent[2] - sent[1]);
    }
    SECTION("a lost order is repeated")
    {
        for (int i = 0; i < 130; ++i)
            run_second(simulation);
        std::size_t again = 0;
        for (const order_load& order : simulation.orders)
            again += order.target == simulation.orders.front().target ? 1 : 0;
        CHECK(again == 2);
    }
    SECTION("the move completes, and some upstreams keep the old version")
    {
        std::size_t min_old = simulation.view.upstreams.size();
        while (!has_ended(simulation.committed_move()))
        {
            run_second(simulation);
            if (simulation.second % 30 == 0)
                complete_orders(simulation);
            std::size_t old = 0;
            for (const auto& each : simulation.view.upstreams)
                old += each.version.value == "v1" ? 1 : 0;
            min_old = std::min(min_old, old);
        }
        CHECK(simulation.committed_move().phase == move_phase::completed);
        CHECK(min_old >= 2);
    }
    SECTION("after a rollback the old version is loaded again")
    {
        complete_orders(simulation);
        for (int i = 0; i < 5; ++i)
            run_second(simulation);
        complete_orders(simulation);
        simulation.new_version_answers = failing;
        run_to_end(simulation);
        REQUIRE(simulation.committed_move().phase == move_phase::taken_back);
        simulation.orders.clear();
        run_second(simulation);
        REQUIRE(simulation.orders.size() == 1);
        CHECK(simulation.orders.front().version.value == "v1");
    }
}

TEST_CASE("a move ends exactly once and before its deadline under leader "
          "changes and lost proposals")
{
    const bool property_holds = rc::check(
        "one end",
        []
        {
            const bool bad = *rc::gen::arbitrary<bool>();
            move_simulation simulation = make_simulation(6, 6, 600);
            if (bad)
                simulation.new_version_answers = failing;
            move_simulation initial = simulation;
            const auto loss_percent = *rc::gen::inRange(0, 50);
            const auto leader_change_interval = *rc::gen::inRange(1, 60);
            while (simulation.wall() < simulation.committed_move().deadline)
            {
                if (*rc::gen::inRange(0, leader_change_interval) == 0)
                    simulation.change_leader();
                run_second(
                    simulation, *rc::gen::inRange(0, 100) < loss_percent);
                const double share = new_version_share(simulation);
                if (bad)
                    RC_ASSERT(share < 0.1);
                if (!has_ended(simulation.committed_move()))
                    continue;
                // A leader that does not know of the end must not change
                // anything.
                const auto end = simulation.committed_move();
                simulation.working = initial.committed_move();
                simulation.working.sequence = end.sequence;
                simulation.memory = {};
                run_second(simulation);
                for (auto phase :
                     {move_phase::completed, move_phase::taken_back})
                {
                    auto next = end;
                    ++next.sequence;
                    next.phase = phase;
                    RC_ASSERT(
                        simulation.commit(state::advance_move{next}).error);
                }
                RC_ASSERT(simulation.committed_move() == end);
                RC_ASSERT(new_version_share(simulation) == share);
                break;
            }
            RC_ASSERT(simulation.end_count == 1);
            RC_ASSERT(
                simulation.committed_move().ended <
                simulation.committed_move().deadline);
            RC_ASSERT(
                !bad ||
                simulation.committed_move().phase == move_phase::taken_back);
        });
    CHECK(property_holds);
}
