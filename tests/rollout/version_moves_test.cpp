#include "rollout/move_world.hpp"

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

double share_of_new(const move_world& world)
{
    double share = 0;
    for (const version_share& each : split_of(world))
        share += each.version.value == "v2" ? each.share : 0;
    return share;
}

} // namespace

TEST_CASE("a good version is moved to, stage by stage")
{
    move_world world = make_world(20, 20, 1800);
    double before = 0;
    bool only_grows = true;
    while (!has_ended(world.held()))
    {
        run_second(world);
        only_grows &= share_of_new(world) >= before;
        before = share_of_new(world);
        if (world.held().phase == move_phase::trial)
        {
            CHECK(before <= 0.05);
            CHECK(world.held().trial.size() <= 2);
        }
    }
    CHECK(only_grows);
    CHECK(world.held().phase == move_phase::completed);
    CHECK(world.held().ended < world.held().deadline);
    CHECK(share_of_new(world) == 1);
    CHECK(world.orders.empty());
}

TEST_CASE("a bad version is taken back, and the operator is told why")
{
    move_world world = make_world(20, 20, 1800);

    SECTION("one that fails")
    {
        world.of_new = failing;
        run_to_end(world);
        CHECK(world.held().reason.find("failures") == 0);
        CHECK(world.second < 60);
    }
    SECTION("one that fails on one route")
    {
        world.of_new = [](evidence_sample usual)
        {
            usual.key.route = usual.key.band == load_band::low ? "/a" : "/b";
            return usual.key.route == "/b" ? failing(usual) : usual;
        };
        run_to_end(world);
        CHECK(world.held().reason.find("failures") == 0);
    }
    SECTION("one that is slow under load only")
    {
        world.of_new = [](const evidence_sample& usual)
        {
            return usual.key.band == load_band::full ? slower(usual) : usual;
        };
        run_to_end(world);
        CHECK(
            world.held().reason ==
            "first_token worse than the old version under full load");
    }
    SECTION("one whose answers are cut short")
    {
        world.of_new = [](evidence_sample usual)
        {
            usual.answered_tokens = 10;
            return usual;
        };
        run_to_end(world);
        CHECK(world.held().reason.find("answer_length") == 0);
    }
    SECTION("one that crashes")
    {
        world.of_new = [](evidence_sample usual)
        {
            usual.crashed = 1;
            return usual;
        };
        run_to_end(world);
        CHECK(world.held().reason.find("crashes") == 0);
    }
    SECTION("one that degrades in the soak")
    {
        while (world.held().phase != move_phase::soak)
            run_second(world);
        world.of_new = slower;
        run_to_end(world);
    }
    SECTION("one that the entries stopped")
    {
        while (world.held().phase != move_phase::trial)
            run_second(world);
        world.view.entries = 4;
        world.view.entries_stopped = 2;
        run_second(world);
    }
    CHECK(world.held().phase == move_phase::taken_back);
    CHECK(share_of_new(world) == 0);
}

TEST_CASE("one slow upstream does not condemn the version")
{
    move_world world = make_world(20, 20, 1800);
    world.of_new = [](const evidence_sample& usual)
    {
        return usual.target.value == "v2-0" ? slower(usual) : usual;
    };
    run_to_end(world);
    CHECK(world.held().phase == move_phase::completed);

    SECTION("nor at a small service, where another one is tried")
    {
        move_world small = make_world(3, 3, 1800);
        small.of_new = world.of_new;
        run_to_end(small);
        CHECK(small.held().phase == move_phase::completed);
        CHECK(small.held().suspects == std::vector<upstream_id>{{"v2-0"}});
    }
}

TEST_CASE("a version without evidence is taken back before the deadline")
{
    move_world world = make_world(20, 20, 600);
    world.of_new = [](const evidence_sample& usual)
    {
        evidence_sample none;
        none.key = usual.key;
        return none;
    };
    run_to_end(world);
    CHECK(world.held().phase == move_phase::taken_back);
    CHECK(world.held().ended < world.held().deadline);
    CHECK(world.held().reason.find("not done by the deadline") == 0);
}

TEST_CASE("a version that nobody runs is loaded by orders")
{
    move_world world = make_world(20, 0, 1800);
    run_second(world);
    REQUIRE(world.orders.size() == 1);
    CHECK(world.orders.front().version.value == "v2");

    SECTION("a refused order is sent again, later and later")
    {
        std::vector<std::int64_t> sent{world.second};
        const auto first = world.orders.front().target;
        world.view.refused = {first};
        while (world.second < 120)
        {
            world.orders.clear();
            run_second(world);
            for (const order_load& order : world.orders)
            {
                if (order.target != first)
                    continue;
                sent.push_back(world.second);
                world.view.refused = {first};
            }
        }
        REQUIRE(sent.size() == 4);
        CHECK(sent[2] - sent[1] > sent[1] - sent[0]);
        CHECK(sent[3] - sent[2] > sent[2] - sent[1]);
    }
    SECTION("a lost order is sent again")
    {
        for (int i = 0; i < 130; ++i)
            run_second(world);
        std::size_t again = 0;
        for (const order_load& order : world.orders)
            again += order.target == world.orders.front().target ? 1 : 0;
        CHECK(again == 2);
    }
    SECTION("the move completes, and some upstreams keep the old version")
    {
        std::size_t least_old = world.view.upstreams.size();
        while (!has_ended(world.held()))
        {
            run_second(world);
            if (world.second % 30 == 0)
                carry_out_orders(world);
            std::size_t old = 0;
            for (const auto& each : world.view.upstreams)
                old += each.version.value == "v1" ? 1 : 0;
            least_old = std::min(least_old, old);
        }
        CHECK(world.held().phase == move_phase::completed);
        CHECK(least_old >= 2);
    }
    SECTION("taken back, the old version is loaded again")
    {
        carry_out_orders(world);
        for (int i = 0; i < 5; ++i)
            run_second(world);
        carry_out_orders(world);
        world.of_new = failing;
        run_to_end(world);
        REQUIRE(world.held().phase == move_phase::taken_back);
        world.orders.clear();
        run_second(world);
        REQUIRE(world.orders.size() == 1);
        CHECK(world.orders.front().version.value == "v1");
    }
}

TEST_CASE("a move ends once, in time, over leader changes at every step")
{
    const bool held = rc::check(
        "one end",
        []
        {
            const bool bad = *rc::gen::arbitrary<bool>();
            move_world world = make_world(6, 6, 600);
            if (bad)
                world.of_new = failing;
            move_world other = world;
            const auto lossy = *rc::gen::inRange(0, 50);
            const auto restless = *rc::gen::inRange(1, 60);
            while (world.wall() < world.held().deadline)
            {
                if (*rc::gen::inRange(0, restless) == 0)
                    world.change_leader();
                run_second(world, *rc::gen::inRange(0, 100) < lossy);
                const double share = share_of_new(world);
                if (bad)
                    RC_ASSERT(share < 0.1);
                if (!has_ended(world.held()))
                    continue;
                // A leader that does not know of the end changes nothing.
                const auto end = world.held();
                world.working = other.held();
                world.working.sequence = end.sequence;
                world.memory = {};
                run_second(world);
                for (auto phase :
                     {move_phase::completed, move_phase::taken_back})
                {
                    auto next = end;
                    ++next.sequence;
                    next.phase = phase;
                    RC_ASSERT(world.commit(state::advance_move{next}).error);
                }
                RC_ASSERT(world.held() == end);
                RC_ASSERT(share_of_new(world) == share);
                break;
            }
            RC_ASSERT(world.ends == 1);
            RC_ASSERT(world.held().ended < world.held().deadline);
            RC_ASSERT(!bad || world.held().phase == move_phase::taken_back);
        });
    CHECK(held);
}
