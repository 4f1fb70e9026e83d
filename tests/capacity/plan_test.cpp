// Rented capacity survives the loss of a failure domain at the lowest price.
#include "capacity/plan.hpp"
#include "capacity/transfer.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <set>

using namespace bergamotusher;
using namespace bergamotusher::capacity;

namespace
{

constexpr time_point start{1000s};

std::vector<instance_offer> default_offers()
{
    std::vector<instance_offer> all;
    double factor = 1;
    for (const char* domain : {"suva", "nadi", "lautoka"})
    {
        all.push_back(
            {{{domain}, "small", market::reclaimable}, factor, 10, 0.5});
        all.push_back(
            {{{domain}, "small", market::on_demand}, 3 * factor, 10, 0});
        factor += 0.2;
    }
    return all;
}

/// A platform that starts the requested instances, except kinds listed in
/// `refusing`.
struct simulated_platform
{
    planner_state state{"test", 0, {}, {}, {}};
    std::vector<instance_offer> offered = default_offers();
    std::vector<held_instance> held;
    std::set<offer_key> refusing;
    std::set<std::string> tokens;

    std::size_t apply_plan(double needed, time_point now)
    {
        const auto actions = plan(state, offered, held, needed, now);
        for (const plan_action& action : actions)
        {
            if (const auto* gone = std::get_if<release_instance>(&action))
                std::erase_if(
                    held,
                    [gone](const held_instance& one)
                    { return one.id == gone->id; });
            if (const auto* asked = std::get_if<start_instance>(&action))
                handle_start(*asked, now);
        }
        return actions.size();
    }

    void handle_start(const start_instance& asked, time_point now)
    {
        if (refusing.count(asked.key) != 0)
            return on_refused(state, asked.token, now);
        if (tokens.insert(asked.token).second)
            held.push_back({asked.token, asked.key, false});
        on_started(state, asked.token);
    }

    double price() const
    {
        double sum = 0;
        for (const held_instance& one : held)
            for (const instance_offer& kind : offered)
                sum += kind.key == one.key ? kind.price_per_hour : 0;
        return sum;
    }

    std::size_t count(market paid_as) const
    {
        std::size_t sum = 0;
        for (const held_instance& one : held)
            sum += one.key.paid_as == paid_as ? 1 : 0;
        return sum;
    }
};

} // namespace

TEST_CASE("rents the capacity that a demand needs")
{
    simulated_platform cloud;
    auto now = start;
    while (cloud.apply_plan(80, now) > 0)
        now += 1s;
    CHECK(capacity_after_loss(cloud.offered, cloud.held) >= 80);
    CHECK(cloud.count(market::on_demand) == 2);
    // 12 instances of 10 hold 120; without one of three failure domains 80 are
    // left.
    CHECK(cloud.held.size() <= 13);

    SECTION("rents replacements when a failure domain is lost")
    {
        for (held_instance& one : cloud.held)
            one.leaving = one.key.domain.value == "suva";
        for (const instance_offer& kind : cloud.offered)
            if (kind.key.domain.value == "suva")
                cloud.refusing.insert(kind.key);
        for (int i = 0; i < 20; ++i)
            cloud.apply_plan(80, now += 1s);
        CHECK(capacity_after_loss(cloud.offered, cloud.held) >= 80);
    }
    SECTION("releases instances only after a delay when the demand falls")
    {
        const std::size_t before = cloud.held.size();
        cloud.apply_plan(20, now);
        cloud.apply_plan(20, now + release_delay - 1s);
        CHECK(cloud.held.size() == before);
        for (int i = 0; i < 40; ++i)
            cloud.apply_plan(20, now += release_delay);
        CHECK(cloud.held.size() == 5);
        CHECK(capacity_after_loss(cloud.offered, cloud.held) >= 20);
        // With the release margin of 1.1, 22 must be left after a loss; four
        // instances would leave only 20.
        SECTION("does not oscillate between releases and starts")
        {
            const auto price = cloud.price();
            for (int i = 0; i < 10; ++i)
                CHECK(cloud.apply_plan(20, now += release_delay) == 0);
            CHECK(cloud.price() == price);
        }
    }
}

TEST_CASE("a refused start backs off and another kind is started")
{
    simulated_platform cloud;
    planner_state other;
    const auto first_plan = plan(other, cloud.offered, {}, 20, start);
    const offer_key cheapest = std::get<start_instance>(first_plan.at(0)).key;
    cloud.refusing.insert(cheapest);
    auto now = start;
    cloud.apply_plan(20, now);
    CHECK(now < cloud.state.backoffs.at(cheapest).until);
    const auto asks_again = [&](time_point at)
    {
        for (const auto& action : plan(cloud.state, cloud.offered, {}, 20, at))
            if (const auto* asked = std::get_if<start_instance>(&action))
                if (asked->key == cheapest)
                    return true;
        return false;
    };
    SECTION("is not repeated before the back-off is over")
    {
        CHECK_FALSE(asks_again(now + first_backoff - 1s));
    }
    SECTION("is repeated after the back-off")
    {
        cloud.state.pending.clear();
        CHECK(asks_again(now + first_backoff));
    }
    SECTION("other kinds cover the demand meanwhile")
    {
        for (int i = 0; i < 10; ++i)
            cloud.apply_plan(20, now += 1s);
        CHECK(capacity_after_loss(cloud.offered, cloud.held) >= 20);
    }
}

TEST_CASE("an unanswered start is sent again with the same token")
{
    planner_state state{"test", 0, {}, {}, {}};
    const auto first = plan(state, default_offers(), {}, 10, start);
    REQUIRE_FALSE(first.empty());
    CHECK(plan(state, default_offers(), {}, 10, start + 1s).empty());
    CHECK(
        plan(state, default_offers(), {}, 10, start + start_timeout) == first);
}

TEST_CASE("the plan recovers from any refusals, losses and reclaims")
{
    CHECK(rc::check(
        []
        {
            simulated_platform cloud;
            auto now = start;
            const double needed = *rc::gen::inRange(1, 200);
            for (int step = 0; step < 20; ++step)
            {
                now += *rc::gen::inRange(1, 60) * 1s;
                cloud.refusing.clear();
                for (const instance_offer& kind : cloud.offered)
                    if (*rc::gen::inRange(0, 3) == 0)
                        cloud.refusing.insert(kind.key);
                cloud.apply_plan(needed, now);
                if (!cloud.held.empty() && *rc::gen::inRange(0, 2) == 0)
                    cloud.held.pop_back();
            }
            cloud.refusing.clear();
            for (int step = 0; step < 30; ++step)
                cloud.apply_plan(needed, now += longest_backoff);
            RC_ASSERT(capacity_after_loss(cloud.offered, cloud.held) >= needed);
            RC_ASSERT(cloud.state.pending.empty());
        }));
}

TEST_CASE("the KV cache is copied only if that is faster and fits the notice")
{
    copy_estimate estimate;
    move_inputs inputs{1e9, 8'000, 4'000, 20s};
    CHECK(choose_method(estimate, inputs) == move_method::recompute);
    record_copy(estimate, 1e9, 1s);
    CHECK(choose_method(estimate, inputs) == move_method::transfer);

    SECTION("recomputes if little notice is left")
    {
        inputs.notice_left = 1s;
        CHECK(choose_method(estimate, inputs) == move_method::recompute);
    }
    SECTION("recomputes if that is faster")
    {
        inputs.prompt_tokens_per_second = 20'000;
        CHECK(choose_method(estimate, inputs) == move_method::recompute);
    }
    SECTION("recomputes once copies have become slow")
    {
        for (int i = 0; i < 20; ++i)
            record_copy(estimate, 1e9, 10s);
        CHECK(choose_method(estimate, inputs) == move_method::recompute);
    }
}
