#include "ctl/scripted_server.hpp"
#include "observe/ctl/failover.hpp"

#include <catch2/catch.hpp>

#include <set>
#include <string>

using namespace bergamotusher;
using namespace bergamotusher::ctl;

namespace
{

const send_function send_over_tcp =
    [](const endpoint& to, const http_request& request)
{
    return send(to, request, 5s);
};

http_request make_change()
{
    http_request request;
    request.method = boost::beast::http::verb::put;
    request.target = "/v1/config/classes/chat";
    request.body = "{}";
    request.token = "t0ken";
    request.if_match = "4";
    request.idempotency_key = "k1";
    return request;
}

std::string make_problem(const char* kind, const char* run)
{
    return std::string(R"({"kind":")") + kind + R"(","run":")" + run +
           R"(","detail":"because"})";
}

} // namespace

TEST_CASE("sends target, headers and body to the server")
{
    scripted_server::request received;
    scripted_server server(
        [&received](const scripted_server::request& request)
        {
            received = request;
            return scripted_server::reply{200, "{}", "5"};
        });
    const failover_result result =
        send_with_failover({server.address()}, make_change(), 1, send_over_tcp);
    REQUIRE(result.answer);
    CHECK(result.answer->status == 200);
    CHECK(result.answer->etag == "5");
    CHECK(received.target() == "/v1/config/classes/chat");
    CHECK(received["Authorization"] == "Bearer t0ken");
    CHECK(received["If-Match"] == "4");
    CHECK(received["Idempotency-Key"] == "k1");
    CHECK(received.body() == "{}");
}

TEST_CASE("tries the next address or round after a failed try")
{
    scripted_server available([](const auto&)
                              { return scripted_server::reply{}; });

    SECTION("connection refused")
    {
        const auto result = send_with_failover(
            {unused_address(), available.address()},
            make_change(),
            1,
            send_over_tcp);
        REQUIRE(result.answer);
        CHECK(succeeded(*result.answer));
        REQUIRE(result.failures.size() == 1);
        CHECK(result.failures[0].kind == error_kind::peer_unreachable);
    }

    SECTION("response lost; the retry uses the same idempotency key")
    {
        std::set<std::string> keys;
        int requests = 0;
        scripted_server closing_server(
            [&](const auto& request)
            {
                ++requests;
                keys.insert(std::string(request["Idempotency-Key"]));
                return requests == 1 ? std::nullopt
                                     : std::optional(scripted_server::reply{});
            });
        const auto result = send_with_failover(
            {closing_server.address()}, make_change(), 2, send_over_tcp);
        REQUIRE(result.answer);
        CHECK(requests == 2);
        CHECK(keys == std::set<std::string>{"k1"});
        CHECK_FALSE(result.outcome_unknown);
    }

    SECTION("response with a retriable error")
    {
        scripted_server follower(
            [](const auto&)
            {
                return scripted_server::reply{
                    503, make_problem("not_leader", "not_run"), ""};
            });
        const auto result = send_with_failover(
            {follower.address(), available.address()},
            make_change(),
            1,
            send_over_tcp);
        REQUIRE(result.answer);
        CHECK(succeeded(*result.answer));
    }
}

TEST_CASE("does not try other addresses after a non-retriable error")
{
    int attempts = 0;
    const send_function reject_all = [&](const auto&, const auto&)
    {
        ++attempts;
        return http_answer{
            412, "", make_problem("revision_conflict", "not_run")};
    };
    const auto result =
        send_with_failover({{}, {}}, make_change(), 3, reject_all);
    CHECK(attempts == 1);
    CHECK(parse_problem(*result.answer).kind == error_kind::revision_conflict);
    CHECK(parse_problem(*result.answer).detail == "because");
    CHECK_FALSE(result.outcome_unknown);
}

TEST_CASE("the outcome stays unknown after a lost response to a change")
{
    int attempts = 0;
    const send_function lose_first = [&](const auto&,
                                         const auto&) -> http_result
    {
        if (attempts++ == 0)
            return failure{error_kind::outcome_unknown, "lost"};
        return http_answer{503, "", make_problem("no_quorum", "not_run")};
    };

    SECTION("a later error response does not resolve it")
    {
        CHECK(send_with_failover({{}}, make_change(), 2, lose_first)
                  .outcome_unknown);
    }

    SECTION("a GET request never has an unknown outcome")
    {
        CHECK_FALSE(send_with_failover({{}}, http_request{}, 2, lose_first)
                        .outcome_unknown);
    }
}

TEST_CASE("treats a body that is no problem document as an internal error")
{
    CHECK(parse_problem({500, "", "<html>"}).kind == error_kind::internal);
    CHECK(
        parse_problem({500, "", R"({"kind":7})"}).kind == error_kind::internal);
    CHECK(parse_problem({500, "", "<html>"}).detail == "status 500");
}
