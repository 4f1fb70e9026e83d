#include "observe/counters.hpp"
#include "observe/ctl/report.hpp"
#include "observe/ctl/table.hpp"
#include "observe/metrics_text.hpp"
#include "observe/timeline_query.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <string>

using namespace bergamotusher;
using namespace bergamotusher::ctl;

TEST_CASE("aligns table columns and replaces control characters")
{
    CHECK(
        format_table({{"name", "note"}, {{"é", "x"}, {"long", "y\x1b[2J"}}}) ==
        "NAME  NOTE\n"
        "é     x\n"
        "long  y?[2J\n");
}

TEST_CASE("formats any JSON value as text")
{
    const auto text = describe(nlohmann::json::parse(
        R"({"node":"e1","roles":["entry"],
            "peers":[{"id":"e2","up":true},{"id":"e3","lag":4}]})"));
    CHECK(
        text == "FIELD  VALUE\n"
                "node   e1\n"
                "roles  [\"entry\"]\n"
                "\n"
                "PEERS\n"
                "ID  UP    LAG\n"
                "e2  true\n"
                "e3        4\n");
    CHECK(describe(nlohmann::json::array()) == "(nothing)\n");
    CHECK(describe(nlohmann::json::object()) == "(nothing)\n");
    CHECK(describe("text") == "text\n");
}

TEST_CASE("formats an event as one line")
{
    event value;
    value.at = {1'764'806'400'123, 0};
    value.node.value = "e1";
    value.kind = event_kind::attempt_failed;
    value.request.value = "r7";
    value.number = 2;
    value.detail = "broken\n";
    CHECK(
        format_event(value) ==
        "2025-12-04T00:00:00.123Z e1     attempt_failed          request=r7 "
        "number=2 broken?\n");
}

TEST_CASE("a timeline query survives URL encoding and parsing")
{
    const bool property_holds = rc::check(
        []
        {
            observe::timeline_query query;
            query.request.value = *rc::gen::arbitrary<std::string>();
            query.move.value = *rc::gen::arbitrary<std::string>();
            query.target.value = *rc::gen::arbitrary<std::string>();
            query.since = hybrid_time{*rc::gen::inRange(0, 9'999), 3};
            query.limit = *rc::gen::inRange<std::size_t>(1, 10'000);
            const auto text = observe::format_timeline_query(query);
            const auto parsed = observe::parse_timeline_query(text);
            RC_ASSERT(std::holds_alternative<observe::timeline_query>(parsed));
            const auto& decoded = std::get<observe::timeline_query>(parsed);
            RC_ASSERT(decoded.request == query.request);
            RC_ASSERT(decoded.move == query.move);
            RC_ASSERT(decoded.target == query.target);
            RC_ASSERT(decoded.since == query.since);
            RC_ASSERT(decoded.limit == query.limit);
        });
    CHECK(property_holds);
    for (const char* invalid_query :
         {"since=x", "limit=0", "zone=1", "request=%4"})
        CHECK(std::holds_alternative<failure>(
            observe::parse_timeline_query(invalid_query)));
}

TEST_CASE("a report sums the metrics of all entries")
{
    observe::counters first_entry;
    observe::request_observed request;
    request.service.value = "wax-llm";
    request.work_class.value = "a\"b\\c";
    request.version.value = "v1";
    request.first_token = 100ms;
    request.answered_tokens = 500;
    request.recomputed_tokens = 20;
    request.cost = 0.5;
    count(first_entry, request);
    count(first_entry, event_kind::move_completed);
    observe::counters second_entry = first_entry;
    request.first_token = 300ms;
    count(second_entry, request);

    report combined;
    add_metrics(combined, observe::parse_metrics(prometheus_text(first_entry)));
    add_metrics(
        combined, observe::parse_metrics(prometheus_text(second_entry)));
    REQUIRE(combined.requests.size() == 1);
    const auto& [key, row] = *combined.requests.begin();
    CHECK(key.work_class.value == "a\"b\\c");
    CHECK(row.requests == 3);
    CHECK(row.recomputed_tokens == 60);
    CHECK(row.cost == Approx(1.5));
    CHECK(row.first_token.sum == Approx(0.5));
    CHECK(row.first_token.p95 == Approx(0.3));
    CHECK(combined.moves_completed == 2);
    CHECK(
        request_table(combined).rows.front().size() ==
        request_table(combined).columns.size());
    CHECK(render_svg(combined).find("300.0") != std::string::npos);

    SECTION("ignores totals without a service label")
    {
        add_metrics(
            combined,
            observe::parse_metrics("bergamotusher_requests_total 9\n"));
        CHECK(combined.requests.size() == 1);
    }

    SECTION("subtracts an earlier reading")
    {
        report earlier;
        add_metrics(
            earlier, observe::parse_metrics(prometheus_text(first_entry)));
        const report increase = difference(combined, earlier);
        CHECK(increase.requests.begin()->second.requests == 2);
        CHECK(increase.moves_completed == 1);
    }
}
