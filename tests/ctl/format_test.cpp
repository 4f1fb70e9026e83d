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

TEST_CASE("a table is aligned and safe to print")
{
    CHECK(
        format_table({{"name", "note"}, {{"é", "x"}, {"long", "y\x1b[2J"}}}) ==
        "NAME  NOTE\n"
        "é     x\n"
        "long  y?[2J\n");
}

TEST_CASE("any answer can be shown to people")
{
    const auto shown = describe(nlohmann::json::parse(
        R"({"node":"e1","roles":["entry"],
            "peers":[{"id":"e2","up":true},{"id":"e3","lag":4}]})"));
    CHECK(
        shown == "FIELD  VALUE\n"
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

TEST_CASE("an event is one line")
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

TEST_CASE("a timeline query survives the URL")
{
    const bool held = rc::check(
        []
        {
            observe::timeline_query query;
            query.request.value = *rc::gen::arbitrary<std::string>();
            query.move.value = *rc::gen::arbitrary<std::string>();
            query.target.value = *rc::gen::arbitrary<std::string>();
            query.since = hybrid_time{*rc::gen::inRange(0, 9'999), 3};
            query.limit = *rc::gen::inRange<std::size_t>(1, 10'000);
            const auto text = observe::format_timeline_query(query);
            const auto back = observe::parse_timeline_query(text);
            RC_ASSERT(std::holds_alternative<observe::timeline_query>(back));
            const auto& read = std::get<observe::timeline_query>(back);
            RC_ASSERT(read.request == query.request);
            RC_ASSERT(read.move == query.move);
            RC_ASSERT(read.target == query.target);
            RC_ASSERT(read.since == query.since);
            RC_ASSERT(read.limit == query.limit);
        });
    CHECK(held);
    for (const char* wrong : {"since=x", "limit=0", "zone=1", "request=%4"})
        CHECK(std::holds_alternative<failure>(
            observe::parse_timeline_query(wrong)));
}

TEST_CASE("a report adds up what the entries' metrics say")
{
    observe::counters one;
    observe::request_observed seen;
    seen.service.value = "wax-llm";
    seen.work_class.value = "a\"b\\c";
    seen.version.value = "v1";
    seen.first_token = 100ms;
    seen.answered_tokens = 500;
    seen.recomputed_tokens = 20;
    seen.cost = 0.5;
    count(one, seen);
    count(one, event_kind::move_completed);
    observe::counters two = one;
    seen.first_token = 300ms;
    count(two, seen);

    report all;
    add(all, observe::parse_metrics(prometheus_text(one)));
    add(all, observe::parse_metrics(prometheus_text(two)));
    REQUIRE(all.requests.size() == 1);
    const auto& [key, row] = *all.requests.begin();
    CHECK(key.work_class.value == "a\"b\\c");
    CHECK(row.requests == 3);
    CHECK(row.recomputed_tokens == 60);
    CHECK(row.cost == Approx(1.5));
    CHECK(row.first_token.sum == Approx(0.5));
    CHECK(row.first_token.p95 == Approx(0.3));
    CHECK(all.moves_completed == 2);
    CHECK(
        request_table(all).rows.front().size() ==
        request_table(all).columns.size());
    CHECK(draw_report(all).find("300.0") != std::string::npos);

    SECTION("totals without a service are no row")
    {
        add(all, observe::parse_metrics("bergamotusher_requests_total 9\n"));
        CHECK(all.requests.size() == 1);
    }

    SECTION("a span is the difference of two readings")
    {
        report earlier;
        add(earlier, observe::parse_metrics(prometheus_text(one)));
        const report span = difference(all, earlier);
        CHECK(span.requests.begin()->second.requests == 2);
        CHECK(span.moves_completed == 1);
    }
}
