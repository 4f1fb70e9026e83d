#include "ctl/tiny_server.hpp"
#include "observe/ctl/failover.hpp"

#include <catch2/catch.hpp>

#include <set>
#include <string>

using namespace bergamotusher;
using namespace bergamotusher::ctl;

namespace
{

const try_function over_tcp = [](const endpoint& to, const http_request& what)
{
    return send(to, what, 5s);
};

http_request change()
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

std::string problem(const char* kind, const char* run)
{
    return std::string(R"({"kind":")") + kind + R"(","run":")" + run +
           R"(","detail":"because"})";
}

} // namespace

TEST_CASE("a request reaches the server as it was meant")
{
    tiny_server::request seen;
    tiny_server server(
        [&seen](const tiny_server::request& request)
        {
            seen = request;
            return tiny_server::reply{200, "{}", "5"};
        });
    const ask_result result = ask({server.address()}, change(), 1, over_tcp);
    REQUIRE(result.answer);
    CHECK(result.answer->status == 200);
    CHECK(result.answer->etag == "5");
    CHECK(seen.target() == "/v1/config/classes/chat");
    CHECK(seen["Authorization"] == "Bearer t0ken");
    CHECK(seen["If-Match"] == "4");
    CHECK(seen["Idempotency-Key"] == "k1");
    CHECK(seen.body() == "{}");
}

TEST_CASE("the next address is asked where one does not answer")
{
    tiny_server good([](const auto&) { return tiny_server::reply{}; });

    SECTION("because nobody listens there")
    {
        const auto result =
            ask({dead_address(), good.address()}, change(), 1, over_tcp);
        REQUIRE(result.answer);
        CHECK(succeeded(*result.answer));
        REQUIRE(result.failures.size() == 1);
        CHECK(result.failures[0].kind == error_kind::peer_unreachable);
    }

    SECTION("because the answer was lost, and the key stays the same")
    {
        std::set<std::string> keys;
        int requests = 0;
        tiny_server closing(
            [&](const auto& request)
            {
                ++requests;
                keys.insert(std::string(request["Idempotency-Key"]));
                return requests == 1 ? std::nullopt
                                     : std::optional(tiny_server::reply{});
            });
        const auto result = ask({closing.address()}, change(), 2, over_tcp);
        REQUIRE(result.answer);
        CHECK(requests == 2);
        CHECK(keys == std::set<std::string>{"k1"});
        CHECK_FALSE(result.outcome_unknown);
    }

    SECTION("because it cannot serve now")
    {
        tiny_server follower(
            [](const auto&) {
                return tiny_server::reply{
                    503, problem("not_leader", "not_run"), ""};
            });
        const auto result =
            ask({follower.address(), good.address()}, change(), 1, over_tcp);
        REQUIRE(result.answer);
        CHECK(succeeded(*result.answer));
    }
}

TEST_CASE("an answer that no other address can better is final")
{
    int asked = 0;
    const try_function refuse = [&](const auto&, const auto&)
    {
        ++asked;
        return http_answer{412, "", problem("revision_conflict", "not_run")};
    };
    const auto result = ask({{}, {}}, change(), 3, refuse);
    CHECK(asked == 1);
    CHECK(problem_of(*result.answer).kind == error_kind::revision_conflict);
    CHECK(problem_of(*result.answer).detail == "because");
    CHECK_FALSE(result.outcome_unknown);
}

TEST_CASE("a change whose answer was lost stays unknown until one settles it")
{
    int asked = 0;
    const try_function lose_first = [&](const auto&, const auto&) -> http_result
    {
        if (asked++ == 0)
            return failure{error_kind::outcome_unknown, "lost"};
        return http_answer{503, "", problem("no_quorum", "not_run")};
    };

    SECTION("a later refusal does not settle it")
    {
        CHECK(ask({{}}, change(), 2, lose_first).outcome_unknown);
    }

    SECTION("a reading request has no outcome")
    {
        CHECK_FALSE(ask({{}}, http_request{}, 2, lose_first).outcome_unknown);
    }
}

TEST_CASE("what is not a problem document is an internal error")
{
    CHECK(problem_of({500, "", "<html>"}).kind == error_kind::internal);
    CHECK(problem_of({500, "", R"({"kind":7})"}).kind == error_kind::internal);
    CHECK(problem_of({500, "", "<html>"}).detail == "status 500");
}
