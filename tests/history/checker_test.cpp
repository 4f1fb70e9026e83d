// Tests of the history checks: each reports the violations of its guarantee and
// accepts histories that satisfy it.
#include "harness/history.hpp"

#include <catch2/catch.hpp>

using namespace bergamotusher::tests;

namespace
{

using kind = operation_kind;
using outcome = operation_outcome;

operation
put(double start_seconds,
    double end_seconds,
    std::uint64_t from,
    std::uint64_t to)
{
    return {
        kind::put, outcome::done, start_seconds, end_seconds, from, to, "", ""};
}

operation read(double start_seconds, double end_seconds, std::uint64_t revision)
{
    return {
        kind::read,
        outcome::done,
        start_seconds,
        end_seconds,
        0,
        revision,
        "",
        ""};
}

operation read_in_force(
    double start_seconds, const std::string& entry, std::uint64_t revision)
{
    return {
        kind::in_force,
        outcome::done,
        start_seconds,
        start_seconds + 0.1,
        0,
        revision,
        entry,
        ""};
}

operation order(
    const std::string& key,
    outcome known_outcome,
    const std::string& answer = "")
{
    return {kind::order, known_outcome, 0, 1, 0, 0, key, answer};
}

} // namespace

TEST_CASE("check_configuration reports histories that are not linearizable")
{
    history run;
    run.operations = {put(0, 1, 0, 3), read(1.5, 2, 3), put(2, 3, 3, 5)};
    REQUIRE(check_configuration(run).empty());

    SECTION("accepts a read of the new revision during the put")
    {
        run.operations.push_back(read(2.1, 2.9, 3));
        run.operations.push_back(read(2.2, 2.3, 5));
        run.operations.erase(run.operations.end() - 2);
        CHECK(check_configuration(run).empty());
    }
    SECTION("reports a read that misses a completed put")
    {
        run.operations.push_back(read(4, 5, 3));
        CHECK(!check_configuration(run).empty());
    }
    SECTION("reports two successful puts that replace the same revision")
    {
        run.operations.push_back(put(2, 3, 3, 6));
        CHECK(!check_configuration(run).empty());
    }
    SECTION("reports a put that replaced a revision it did not expect")
    {
        run.operations.push_back(put(4, 5, 3, 7));
        CHECK(!check_configuration(run).empty());
    }
    SECTION("reports a read of a lower revision after a read")
    {
        run.operations.push_back(read(2.1, 2.2, 5));
        run.operations.push_back(read(2.3, 2.4, 3));
        CHECK(!check_configuration(run).empty());
    }
    SECTION(
        "accepts reads with and without the effect of a put of unknown outcome")
    {
        operation unanswered = put(4, 5, 5, 0);
        unanswered.outcome = outcome::unknown;
        run.operations.push_back(unanswered);
        run.operations.push_back(read(6, 7, 5));
        run.operations.push_back(read(8, 9, 8));
        CHECK(check_configuration(run).empty());
    }
}

TEST_CASE("check_in_force reports a revision in force that decreases")
{
    history run;
    run.operations = {
        read_in_force(0, "node-1", 3),
        read_in_force(1, "node-2", 2),
        read_in_force(2, "node-1", 3)};
    CHECK(check_in_force(run).empty());
    run.operations.push_back(read_in_force(3, "node-1", 2));
    CHECK(!check_in_force(run).empty());
}

TEST_CASE("check_orders compares the answers with the executed orders")
{
    history run;
    run.operations = {
        order("a", outcome::done, "1"),
        order("a", outcome::done, "1"),
        order("b", outcome::unknown),
        order("c", outcome::refused)};
    run.executed_orders = {"a", "b"};
    REQUIRE(check_orders(run).empty());

    SECTION("reports an order that was executed twice")
    {
        run.executed_orders.emplace_back("b");
        CHECK(!check_orders(run).empty());
    }
    SECTION("reports a refused order that was executed")
    {
        run.executed_orders.emplace_back("c");
        CHECK(!check_orders(run).empty());
    }
    SECTION("reports an answered order that was not executed")
    {
        run.operations.push_back(order("d", outcome::done, "2"));
        CHECK(!check_orders(run).empty());
    }
    SECTION("reports different answers to one key")
    {
        run.operations.push_back(order("a", outcome::done, "2"));
        CHECK(!check_orders(run).empty());
    }
}
