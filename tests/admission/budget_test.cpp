// The entries together never admit more than an account's limit.
#include "admission/budget.hpp"
#include "admission/connection_gate.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <string>

using namespace bergamotusher;
using namespace bergamotusher::admission;

namespace
{

constexpr time_point start{1000s};

account limits()
{
    account value;
    value.name = {"acme"};
    value.requests_per_second = 1'000;
    value.tokens_per_second = 10'000;
    return value;
}

struct entry
{
    node_id id;
    account_budget budget;
};

std::vector<entry> entries(std::size_t count)
{
    std::vector<entry> all;
    for (std::size_t i = 0; i < count; ++i)
        all.push_back(
            {{"n" + std::to_string(i)},
             initial_budget(limits(), count, start)});
    return all;
}

} // namespace

TEST_CASE("a bucket refills at its rate and returns the time to wait")
{
    token_bucket bucket = full_bucket(100, 50, start);
    REQUIRE(has(bucket, 50, start));
    take(bucket, 50, start);
    const duration wait = wait_for(bucket, 10, start);
    CHECK_FALSE(has(bucket, 10, start + wait - 2us));
    CHECK(has(bucket, 10, start + wait));
    CHECK(has(bucket, 1'000, start + 1s));
}

TEST_CASE("an entry without a lease has its guaranteed share")
{
    auto all = entries(4);
    double spent = 0;
    time_point now = start;
    for (int i = 0; i < 2'000; ++i, now += 5ms)
        if (!try_spend(all[0].budget, limits(), 4, 100, now))
            spent += 100;
    CHECK(spent == Approx(10'000 * 0.5 / 4 * 11).epsilon(0.05));

    SECTION("with a lease it has the whole leased half if no other entry asks")
    {
        budget_ledger ledger;
        const double wanted = wanted_share(all[0].budget, limits(), now);
        CHECK(wanted == 1);
        apply_lease(
            all[0].budget,
            grant_share(ledger, {"acme"}, {"n0"}, wanted, now),
            now);
        CHECK(all[0].budget.leased_share == 0.5);
    }
}

TEST_CASE("a grant whose answer was lost counts as in use")
{
    budget_ledger ledger;
    CHECK(grant_share(ledger, {"acme"}, {"n0"}, 0.5, start) == 0.5);
    // n0 requests nothing now, but may never receive the answer.
    grant_share(ledger, {"acme"}, {"n0"}, 0, start + 1s);
    CHECK(grant_share(ledger, {"acme"}, {"n1"}, 0.5, start + 1s) == 0);

    SECTION("until its lease has expired")
    {
        const auto later = start + budget_lease;
        CHECK(grant_share(ledger, {"acme"}, {"n1"}, 0.5, later) == 0.5);
    }
    SECTION("a late answer does not replace a newer lease")
    {
        auto all = entries(1);
        apply_lease(all[0].budget, 0.1, start + 1s);
        apply_lease(all[0].budget, 0.5, start);
        CHECK(all[0].budget.leased_share == 0.1);
    }
}

TEST_CASE("all entries together never admit more than the limit")
{
    CHECK(rc::check(
        []
        {
            constexpr std::size_t count = 4;
            auto all = entries(count);
            budget_ledger ledger;
            double spent = 0;
            time_point now = start;
            for (int step = 0; step < 400; ++step)
            {
                now += *rc::gen::inRange(1, 100) * 1ms;
                entry& one = all[*rc::gen::inRange<std::size_t>(0, count)];
                if (*rc::gen::inRange(0, 8) == 0)
                {
                    const double share = grant_share(
                        ledger,
                        {"acme"},
                        one.id,
                        wanted_share(one.budget, limits(), now),
                        now);
                    const bool answer_lost = *rc::gen::inRange(0, 4) == 0;
                    if (!answer_lost)
                        apply_lease(one.budget, share, now);
                }
                for (int i = *rc::gen::inRange(0, 100); i > 0; --i)
                    if (!try_spend(one.budget, limits(), count, 100, now))
                        spent += 100;
                const double allowed =
                    limits().tokens_per_second *
                    (to_seconds(now - start) + burst_seconds);
                RC_ASSERT(spent <= allowed + 1e-3);
            }
        }));
}

TEST_CASE("connections are limited per account and in total")
{
    connection_gate gate;
    gate.limit = 3;
    CHECK(open_connection(gate, {"a"}, 2));
    CHECK(open_connection(gate, {"a"}, 2));
    CHECK_FALSE(open_connection(gate, {"a"}, 2));
    CHECK(open_connection(gate, {"b"}, 2));
    CHECK_FALSE(open_connection(gate, {"c"}, 2));
    close_connection(gate, {"a"});
    CHECK(open_connection(gate, {"c"}, 2));
    close_connection(gate, {"nobody"});
    CHECK(gate.open == 3);
}
