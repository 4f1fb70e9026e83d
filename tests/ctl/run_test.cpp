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

/// Runs commands against answers that a function gives.
struct stage
{
    std::istringstream in;
    std::ostringstream out;
    std::ostringstream err;
    std::vector<http_request> requests;
    std::function<http_result(const endpoint&, const http_request&)> answer;
    int pauses_left = 0;
    std::function<void()> on_pause = [] {
    };

    /// The wall times of the events printed, in the order of printing.
    std::vector<std::int64_t> walls() const
    {
        std::vector<std::int64_t> found;
        std::istringstream lines(out.str());
        for (std::string line; std::getline(lines, line);)
            found.push_back(nlohmann::json::parse(line)["wall"]);
        return found;
    }

    exit_code run(const arguments& asked)
    {
        const auto attempt =
            [this](const endpoint& to, const http_request& what)
        {
            requests.push_back(what);
            return answer(to, what);
        };
        const auto pause = [this](duration)
        {
            on_pause();
            return pauses_left-- > 0;
        };
        return ctl::run(asked, {in, out, err, attempt, pause, "t0ken"});
    }
};

http_result ok(const nlohmann::json& body)
{
    return http_answer{200, "", body.dump()};
}

event event_of(std::int64_t wall, std::string node)
{
    event value;
    value.at.wall = wall;
    value.node.value = std::move(node);
    value.kind = event_kind::term_started;
    return value;
}

/// What a process that holds `events` answers.
http_result
answer_from(const std::vector<event>& events, const http_request& asked)
{
    observe::timeline store(100);
    for (const event& value : events)
        append(store, value);
    const auto query = observe::parse_timeline_query(
        asked.target.substr(asked.target.find('?') + 1));
    return ok(observe::encode_timeline(
        select(store, std::get<observe::timeline_query>(query))));
}

arguments asking(command what)
{
    arguments asked;
    asked.what = what;
    asked.admins = {{"127.0.0.1", "1"}, {"127.0.0.1", "2"}};
    asked.idempotency_key = "k1";
    return asked;
}

} // namespace

TEST_CASE("config put sends the value with its revision and key")
{
    stage on;
    on.in.str(R"({"priority":2})");
    on.answer = [](const auto&, const auto&)
    {
        return ok({{"revision", 8}});
    };
    arguments asked = asking(command::config_put);
    asked.collection = "classes";
    asked.name = "quick chat";
    asked.file = "-";
    asked.revision = 7;
    CHECK(on.run(asked) == exit_code::done);
    REQUIRE(on.requests.size() == 1);
    const http_request& sent = on.requests.front();
    CHECK(sent.method == boost::beast::http::verb::put);
    CHECK(sent.target == "/v1/config/classes/quick%20chat");
    CHECK(sent.body == R"({"priority":2})");
    CHECK(sent.if_match == "7");
    CHECK(sent.idempotency_key == "k1");
    CHECK(sent.token == "t0ken");
    CHECK(on.out.str() == "FIELD     VALUE\nrevision  8\n");

    SECTION("but nothing that is not JSON")
    {
        on.in.clear();
        on.in.str("{");
        CHECK(on.run(asked) == exit_code::usage);
        CHECK(on.requests.size() == 1);
    }
}

TEST_CASE("a move is started with its deadline")
{
    stage on;
    on.answer = [](const auto&, const auto&)
    {
        return ok({{"id", "m1"}});
    };
    arguments asked = asking(command::move_start);
    asked.service = "wax-llm";
    asked.version = "v2";
    asked.deadline_s = 600;
    CHECK(on.run(asked) == exit_code::done);
    CHECK(on.requests.front().target == "/v1/moves");
    CHECK(
        nlohmann::json::parse(on.requests.front().body) ==
        nlohmann::json{
            {"service", "wax-llm"}, {"version", "v2"}, {"within_s", 600}});
}

TEST_CASE("the exit code tells what became of a command")
{
    stage on;

    SECTION("refused, with the kind of the problem")
    {
        on.answer = [](const auto&, const auto&)
        {
            return http_answer{
                412, "", R"({"kind":"revision_conflict","detail":"at 9"})"};
        };
        CHECK(on.run(asking(command::upstreams)) == exit_code::refused);
        CHECK(on.err.str() == "bergamotctl: revision_conflict: at 9\n");
    }

    SECTION("nobody there")
    {
        on.answer = [](const auto&, const auto&)
        {
            return failure{error_kind::peer_unreachable, "no"};
        };
        for (const auto what :
             {command::status, command::timeline, command::report})
            CHECK(on.run(asking(what)) == exit_code::unreachable);
    }

    SECTION("a change whose answer was lost names the key to resend with")
    {
        on.answer = [](const auto&, const auto&)
        {
            return failure{error_kind::outcome_unknown, "lost"};
        };
        CHECK(on.run(asking(command::move_start)) == exit_code::unreachable);
        CHECK(on.err.str().find("--idempotency-key k1") != std::string::npos);
    }
}

TEST_CASE("status shows every process that answers")
{
    stage on;
    on.answer = [](const endpoint& to, const http_request&) -> http_result
    {
        if (to.port == "1")
            return failure{error_kind::peer_unreachable, "no e1"};
        return ok(
            {{"node", "e2"},
             {"ready", true},
             {"control", {{"role", "leader"}, {"term", 3}}}});
    };
    CHECK(on.run(asking(command::status)) == exit_code::done);
    CHECK(on.err.str().find("no e1") != std::string::npos);
    CHECK(on.out.str().find("e2") != std::string::npos);
    CHECK(on.out.str().find("leader") != std::string::npos);

    SECTION("and fails if each refuses")
    {
        on.answer = [](const auto&, const auto&)
        {
            return http_answer{401, "", R"({"kind":"unauthenticated"})"};
        };
        CHECK(on.run(asking(command::status)) == exit_code::refused);
    }
}

TEST_CASE("the time line of all processes comes in one order")
{
    stage on;
    std::map<std::string, std::vector<event>> held{
        {"1", {event_of(10, "e1"), event_of(30, "e1")}},
        {"2", {event_of(20, "e2")}}};
    on.answer = [&](const endpoint& to, const http_request& what)
    {
        return answer_from(held[to.port], what);
    };
    arguments asked = asking(command::timeline);
    asked.json = true;

    SECTION("once")
    {
        CHECK(on.run(asked) == exit_code::done);
        CHECK(on.walls() == std::vector<std::int64_t>{10, 20, 30});
    }

    SECTION("an unreachable process leaves the others")
    {
        on.answer = [&](const endpoint& to, const http_request& what)
        {
            return to.port == "2"
                       ? failure{error_kind::peer_unreachable, "no e2"}
                       : answer_from(held[to.port], what);
        };
        CHECK(on.run(asked) == exit_code::done);
        CHECK(on.err.str().find("no e2") != std::string::npos);
        CHECK(on.walls() == std::vector<std::int64_t>{10, 30});
    }

    SECTION("--follow prints each event once, one that came late too")
    {
        asked.follow = true;
        on.pauses_left = 3;
        on.on_pause = [&]
        {
            held["2"] = {event_of(20, "e2"), event_of(19, "e2")};
        };
        CHECK(on.run(asked) == exit_code::done);
        CHECK(on.walls() == std::vector<std::int64_t>{10, 20, 30, 19});
    }

    SECTION("--follow gets past more events than one answer holds")
    {
        asked.follow = true;
        asked.query.limit = 2;
        asked.query.since = hybrid_time{0, 0};
        on.pauses_left = 3;
        for (std::int64_t wall = 31; wall <= 34; ++wall)
            held["1"].push_back(event_of(wall, "e1"));
        CHECK(on.run(asked) == exit_code::done);
        CHECK(
            on.walls() ==
            std::vector<std::int64_t>{10, 20, 30, 31, 32, 33, 34});
    }
}

TEST_CASE("merged time lines hold each event once, causes first")
{
    const auto merged = merge_timelines(
        {{event_of(1, "a"), event_of(3, "a")},
         {event_of(2, "b"), event_of(3, "b")},
         {event_of(3, "a")}});
    std::string order;
    for (const event& value : merged)
        order += value.node.value + std::to_string(value.at.wall) + " ";
    CHECK(order == "a1 b2 a3 b3 ");
}
