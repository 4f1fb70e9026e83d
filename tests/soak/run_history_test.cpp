// Shows that the checks of the soak test detect each kind of violation.
#include "soak/run_history.hpp"

#include <catch2/catch.hpp>

using namespace soak;

namespace
{

struct history_fixture
{
    run_history history;
    time_point now = clock_type::now();

    void add_request(const std::string& attempt, request_kind kind, int status)
    {
        request_record request;
        request.kind = kind;
        request.key = "acme-1";
        request.sent_at = now;
        request.status = status;
        request.complete = true;
        request.has_server_seal = status == 200;
        request.body = status == 200 ? answer_body(kind, attempt) : "";
        history.record_request(attempt, request);
    }

    execution_record
    execution_of(const std::string& attempt, request_kind kind) const
    {
        return {
            attempt,
            "u1",
            request_method(kind),
            request_path(kind),
            request_body(kind, attempt),
            "acme",
            false,
            now,
            "desk"};
    }
};

} // namespace

TEST_CASE("run_history reports exactly the violated guarantees")
{
    history_fixture fixture;
    fixture.add_request("a1", request_kind::order, 200);
    fixture.history.record_execution(
        fixture.execution_of("a1", request_kind::order));
    CHECK(fixture.history.violations().empty());
    CHECK(
        fixture.history.count_served(fixture.now, time_point::max()).second ==
        1);

    SECTION("reports an order that was executed twice")
    {
        fixture.history.record_execution(
            fixture.execution_of("a1", request_kind::order));
        CHECK(fixture.history.violations().size() == 1);
    }
    SECTION("reports an order that was executed although it was rejected")
    {
        fixture.add_request("a2", request_kind::order, 503);
        fixture.history.record_execution(
            fixture.execution_of("a2", request_kind::order));
        CHECK(fixture.history.violations().size() == 1);
    }
    SECTION("reports an execution without a request")
    {
        fixture.history.record_execution(
            fixture.execution_of("a9", request_kind::order));
        CHECK(fixture.history.violations().size() == 1);
    }
    SECTION("reports a successful response without an execution")
    {
        fixture.add_request("a3", request_kind::lookup, 200);
        CHECK(fixture.history.violations().size() == 1);
    }
    SECTION("reports a missing event in a complete or partial stream")
    {
        fixture.add_request("a4", request_kind::chat, 200);
        request_record request;
        request.kind = request_kind::chat;
        request.key = "acme-1";
        request.sent_at = fixture.now;
        request.status = 200;
        request.complete = true;
        request.has_server_seal = true;
        request.body = event_text("a4", 1) + event_text("a4", 3);
        fixture.history.record_request("a4", request);
        fixture.history.record_execution(
            fixture.execution_of("a4", request_kind::chat));
        CHECK(fixture.history.violations().size() == 1);

        request.complete = false;
        fixture.history.record_request("a4", request);
        CHECK(fixture.history.violations().size() == 1);
        request.body = event_text("a4", 1) + event_text("a4", 2);
        fixture.history.record_request("a4", request);
        CHECK(fixture.history.violations().empty());
    }
    SECTION("reports an execution after key revocation or upstream drain")
    {
        fixture.history.record_revocation_acknowledged(
            "acme-1", fixture.now - 2 * max_revocation_time);
        CHECK(fixture.history.violations().size() == 1);
        fixture.history.record_drain_acknowledged(
            "u1", fixture.now - 2 * max_drain_time);
        CHECK(fixture.history.violations().size() == 2);
    }
    SECTION("reports a forwarded API key and a wrong account")
    {
        fixture.add_request("a5", request_kind::lookup, 0);
        execution_record execution =
            fixture.execution_of("a5", request_kind::lookup);
        execution.has_api_key = true;
        execution.account = "zeta";
        fixture.history.record_execution(execution);
        CHECK(fixture.history.violations().size() == 2);
    }
}
