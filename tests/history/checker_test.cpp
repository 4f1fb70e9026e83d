// The checks of histories find what is wrong in bad histories, and nothing in
// good ones.
#include "harness/history.hpp"

#include <catch2/catch.hpp>

using namespace bergamotusher::tests;

namespace
{

using kind = operation_kind;
using outcome = operation_outcome;

operation
put(double called, double answered, std::uint64_t from, std::uint64_t to)
{
    return {kind::put, outcome::done, called, answered, from, to, "", ""};
}

operation read(double called, double answered, std::uint64_t revision)
{
    return {kind::read, outcome::done, called, answered, 0, revision, "", ""};
}

operation shown(double at, const std::string& entry, std::uint64_t revision)
{
    return {
        kind::in_force, outcome::done, at, at + 0.1, 0, revision, entry, ""};
}

operation
order(const std::string& key, outcome told, const std::string& answer = "")
{
    return {kind::order, told, 0, 1, 0, 0, key, answer};
}

} // namespace

TEST_CASE("a history of the configuration is checked for linearizability")
{
    history run;
    run.operations = {put(0, 1, 0, 3), read(1.5, 2, 3), put(2, 3, 3, 5)};
    REQUIRE(check_configuration(run).empty());

    SECTION("a read may see either side of a put that overlaps it")
    {
        run.operations.push_back(read(2.1, 2.9, 3));
        run.operations.push_back(read(2.2, 2.3, 5));
        run.operations.erase(run.operations.end() - 2);
        CHECK(check_configuration(run).empty());
    }
    SECTION("a read that misses an answered put is found")
    {
        run.operations.push_back(read(4, 5, 3));
        CHECK(!check_configuration(run).empty());
    }
    SECTION("two winners of one revision are found")
    {
        run.operations.push_back(put(2, 3, 3, 6));
        CHECK(!check_configuration(run).empty());
    }
    SECTION("a put over a revision that it did not expect is found")
    {
        run.operations.push_back(put(4, 5, 3, 7));
        CHECK(!check_configuration(run).empty());
    }
    SECTION("two reads that go back are found")
    {
        run.operations.push_back(read(2.1, 2.2, 5));
        run.operations.push_back(read(2.3, 2.4, 3));
        CHECK(!check_configuration(run).empty());
    }
    SECTION("a put with an unknown outcome may or may not count")
    {
        operation lost = put(4, 5, 5, 0);
        lost.outcome = outcome::unknown;
        run.operations.push_back(lost);
        run.operations.push_back(read(6, 7, 5));
        run.operations.push_back(read(8, 9, 8));
        CHECK(check_configuration(run).empty());
    }
}

TEST_CASE("a revision in force that goes back is found")
{
    history run;
    run.operations = {
        shown(0, "node-1", 3), shown(1, "node-2", 2), shown(2, "node-1", 3)};
    CHECK(check_in_force(run).empty());
    run.operations.push_back(shown(3, "node-1", 2));
    CHECK(!check_in_force(run).empty());
}

TEST_CASE("orders are checked against what the desk ran")
{
    history run;
    run.operations = {
        order("a", outcome::done, "1"),
        order("a", outcome::done, "1"),
        order("b", outcome::unknown),
        order("c", outcome::refused)};
    run.runs = {"a", "b"};
    REQUIRE(check_orders(run).empty());

    SECTION("a second run is found")
    {
        run.runs.emplace_back("b");
        CHECK(!check_orders(run).empty());
    }
    SECTION("a refusal that was not true is found")
    {
        run.runs.emplace_back("c");
        CHECK(!check_orders(run).empty());
    }
    SECTION("an answer without a run is found")
    {
        run.operations.push_back(order("d", outcome::done, "2"));
        CHECK(!check_orders(run).empty());
    }
    SECTION("two answers to one key are found")
    {
        run.operations.push_back(order("a", outcome::done, "2"));
        CHECK(!check_orders(run).empty());
    }
}
