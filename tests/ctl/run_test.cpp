#include "observe/ctl/run.hpp"
#include "observe/ctl/timeline_command.hpp"
#include "observe/event_json.hpp"
#include "observe/timeline_query.hpp"

#include <catch2/catch.hpp>

#include <functional>
#include <map>
#include <sstream>
#include <string>

using namespace bergamotusher;
using namespace bergamotusher::ctl;

namespace
{

/// Runs commands against the responses of a function, and records the requests
/// and the output.
struct command_fixture
{
    std::istringstream in;
    std::ostringstream out;
    std::ostringstream err;
    std::vector<http_request> requests;
    std::function<http_result(const endpoint&, const http_request&)> answer;
    int pauses_left = 0;
    std::function<void()> on_pause = [] {
    };

    /// Wall times of the printed events, in the order of printing.
    std::vector<std::int64_t> printed_wall_times() const
    {
        std::vector<std::int64_t> wall_times;
        std::istringstream lines(out.str());
        for (std::string line; std::getline(lines, line);)
            wall_times.push_back(nlohmann::json::parse(line)["wall"]);
        return wall_times;
    }

    exit_code run(const arguments& args)
    {
        const auto send_request =
            [this](const endpoint& to, const http_request& request)
        {
            requests.push_back(request);
            return answer(to, request);
        };
        const auto pause = [this](duration)
        {
            on_pause();
            return pauses_left-- > 0;
        };
        return ctl::run(args, {in, out, err, send_request, pause, "t0ken"});
    }
};

http_result success_answer(const nlohmann::json& body)
{
    return http_answer{200, "", body.dump()};
}

event make_event(std::int64_t wall, std::string node)
{
    event value;
    value.at.wall = wall;
    value.node.value = std::move(node);
    value.kind = event_kind::term_started;
    return value;
}

/// The response of a process whose time line holds `events`.
http_result
answer_timeline(const std::vector<event>& events, const http_request& request)
{
    observe::timeline store(100);
    for (const event& value : events)
        append(store, value);
    const auto query = observe::parse_timeline_query(
        request.target.substr(request.target.find('?') + 1));
    return success_answer(observe::encode_timeline(
        select(store, std::get<observe::timeline_query>(query))));
}

arguments make_arguments(command what)
{
    arguments args;
    args.what = what;
    args.admins = {{"127.0.0.1", "1"}, {"127.0.0.1", "2"}};
    args.idempotency_key = "k1";
    return args;
}

} // namespace

TEST_CASE("config put sends the value, its revision and the idempotency key")
{
    command_fixture fixture;
    fixture.in.str(R"({"priority":2})");
    fixture.answer = [](const auto&, const auto&)
    {
        return success_answer({{"revision", 8}});
    };
    arguments args = make_arguments(command::config_put);
    args.collection = "classes";
    args.name = "quick chat";
    args.file = "-";
    args.revision = 7;
    CHECK(fixture.run(args) == exit_code::success);
    REQUIRE(fixture.requests.size() == 1);
    const http_request& sent = fixture.requests.front();
    CHECK(sent.method == boost::beast::http::verb::put);
    CHECK(sent.target == "/v1/config/classes/quick%20chat");
    CHECK(sent.body == R"({"priority":2})");
    CHECK(sent.if_match == "7");
    CHECK(sent.idempotency_key == "k1");
    CHECK(sent.token == "t0ken");
    CHECK(fixture.out.str() == "FIELD     VALUE\nrevision  8\n");

    SECTION("does not send a value that is not JSON")
    {
        fixture.in.clear();
        fixture.in.str("{");
        CHECK(fixture.run(args) == exit_code::usage);
        CHECK(fixture.requests.size() == 1);
    }
}

TEST_CASE("move start sends service, version and deadline")
{
    command_fixture fixture;
    fixture.answer = [](const auto&, const auto&)
    {
        return success_answer({{"id", "m1"}});
    };
    arguments args = make_arguments(command::move_start);
    args.service = "wax-llm";
    args.version = "v2";
    args.deadline_s = 600;
    CHECK(fixture.run(args) == exit_code::success);
    CHECK(fixture.requests.front().target == "/v1/moves");
    CHECK(
        nlohmann::json::parse(fixture.requests.front().body) ==
        nlohmann::json{
            {"service", "wax-llm"}, {"version", "v2"}, {"within_s", 600}});
}

TEST_CASE("the exit code and standard error report a failure")
{
    command_fixture fixture;

    SECTION("error response: prints the kind of the problem")
    {
        fixture.answer = [](const auto&, const auto&)
        {
            return http_answer{
                412, "", R"({"kind":"revision_conflict","detail":"at 9"})"};
        };
        CHECK(
            fixture.run(make_arguments(command::upstreams)) ==
            exit_code::request_failed);
        CHECK(fixture.err.str() == "bergamotctl: revision_conflict: at 9\n");
    }

    SECTION("no address reachable")
    {
        fixture.answer = [](const auto&, const auto&)
        {
            return failure{error_kind::peer_unreachable, "no"};
        };
        for (const auto what :
             {command::status, command::timeline, command::report})
            CHECK(fixture.run(make_arguments(what)) == exit_code::unreachable);
    }

    SECTION("lost response to a change: prints the key to resend with")
    {
        fixture.answer = [](const auto&, const auto&)
        {
            return failure{error_kind::outcome_unknown, "lost"};
        };
        CHECK(
            fixture.run(make_arguments(command::move_start)) ==
            exit_code::unreachable);
        CHECK(
            fixture.err.str().find("--idempotency-key k1") !=
            std::string::npos);
    }
}

TEST_CASE("status shows every process that answers")
{
    command_fixture fixture;
    fixture.answer = [](const endpoint& to, const http_request&) -> http_result
    {
        if (to.port == "1")
            return failure{error_kind::peer_unreachable, "no e1"};
        return success_answer(
            {{"node", "e2"},
             {"ready", true},
             {"control", {{"role", "leader"}, {"term", 3}}}});
    };
    CHECK(fixture.run(make_arguments(command::status)) == exit_code::success);
    CHECK(fixture.err.str().find("no e1") != std::string::npos);
    CHECK(fixture.out.str().find("e2") != std::string::npos);
    CHECK(fixture.out.str().find("leader") != std::string::npos);

    SECTION("fails if every process returns an error")
    {
        fixture.answer = [](const auto&, const auto&)
        {
            return http_answer{401, "", R"({"kind":"unauthenticated"})"};
        };
        CHECK(
            fixture.run(make_arguments(command::status)) ==
            exit_code::request_failed);
    }
}

TEST_CASE("timeline prints the events of all processes in one order")
{
    command_fixture fixture;
    std::map<std::string, std::vector<event>> timelines{
        {"1", {make_event(10, "e1"), make_event(30, "e1")}},
        {"2", {make_event(20, "e2")}}};
    fixture.answer = [&](const endpoint& to, const http_request& request)
    {
        return answer_timeline(timelines[to.port], request);
    };
    arguments args = make_arguments(command::timeline);
    args.json = true;

    SECTION("once")
    {
        CHECK(fixture.run(args) == exit_code::success);
        CHECK(
            fixture.printed_wall_times() ==
            std::vector<std::int64_t>{10, 20, 30});
    }

    SECTION("prints the others if one process is unreachable")
    {
        fixture.answer = [&](const endpoint& to, const http_request& request)
        {
            return to.port == "2"
                       ? failure{error_kind::peer_unreachable, "no e2"}
                       : answer_timeline(timelines[to.port], request);
        };
        CHECK(fixture.run(args) == exit_code::success);
        CHECK(fixture.err.str().find("no e2") != std::string::npos);
        CHECK(
            fixture.printed_wall_times() == std::vector<std::int64_t>{10, 30});
    }

    SECTION("--follow prints each event once, including late ones")
    {
        args.follow = true;
        fixture.pauses_left = 3;
        fixture.on_pause = [&]
        {
            timelines["2"] = {make_event(20, "e2"), make_event(19, "e2")};
        };
        CHECK(fixture.run(args) == exit_code::success);
        CHECK(
            fixture.printed_wall_times() ==
            std::vector<std::int64_t>{10, 20, 30, 19});
    }

    SECTION("--follow reads more events than fit in one response")
    {
        args.follow = true;
        args.query.limit = 2;
        args.query.since = hybrid_time{0, 0};
        fixture.pauses_left = 3;
        for (std::int64_t wall = 31; wall <= 34; ++wall)
            timelines["1"].push_back(make_event(wall, "e1"));
        CHECK(fixture.run(args) == exit_code::success);
        CHECK(
            fixture.printed_wall_times() ==
            std::vector<std::int64_t>{10, 20, 30, 31, 32, 33, 34});
    }
}

TEST_CASE("merged time lines contain each event once, causes first")
{
    const auto merged = merge_timelines(
        {{make_event(1, "a"), make_event(3, "a")},
         {make_event(2, "b"), make_event(3, "b")},
         {make_event(3, "a")}});
    std::string order;
    for (const event& value : merged)
        order += value.node.value + std::to_string(value.at.wall) + " ";
    CHECK(order == "a1 b2 a3 b3 ");
}
