#include "observe/ctl/arguments.hpp"

#include <catch2/catch.hpp>

#include <map>
#include <string>

using namespace bergamotusher;
using namespace bergamotusher::ctl;

namespace
{

const environment admin_is_set = [](const char* name)
{
    return std::string(name) == "BERGAMOTUSHER_ADMIN"
               ? std::optional<std::string>("127.0.0.1:7001,127.0.0.2:7002")
               : std::nullopt;
};

const environment nothing_is_set = [](const char*)
{
    return std::optional<std::string>();
};

arguments accepted(const std::vector<std::string>& words)
{
    const auto parsed = parse_arguments(words, admin_is_set);
    if (const auto* wrong = std::get_if<usage_error>(&parsed))
        FAIL(wrong->detail);
    return std::get<arguments>(parsed);
}

std::string refusal(
    const std::vector<std::string>& words,
    const environment& variable = admin_is_set)
{
    const auto parsed = parse_arguments(words, variable);
    const auto* wrong = std::get_if<usage_error>(&parsed);
    return wrong == nullptr ? "" : wrong->detail;
}

} // namespace

TEST_CASE("a command line is read whole")
{
    SECTION("addresses come from the environment")
    {
        const auto read = accepted({"status"});
        CHECK(read.what == command::status);
        REQUIRE(read.admins.size() == 2);
        CHECK(read.admins[1] == endpoint{"127.0.0.2", "7002"});

        SECTION("unless a flag names others")
        {
            const auto other = accepted({"status", "--admin", "127.0.0.9:1"});
            REQUIRE(other.admins.size() == 1);
            CHECK(other.admins[0] == endpoint{"127.0.0.9", "1"});
        }
    }

    SECTION("config put")
    {
        const auto read = accepted(
            {"config", "put", "services", "wax-llm", "-", "--revision", "7"});
        CHECK(read.what == command::config_put);
        CHECK(read.collection == "services");
        CHECK(read.name == "wax-llm");
        CHECK(read.file == "-");
        CHECK(read.revision == 7);
    }

    SECTION("config get of one, or of all")
    {
        CHECK(accepted({"config", "get", "classes", "chat"}).name == "chat");
        CHECK(accepted({"config", "get", "classes"}).name.empty());
    }

    SECTION("move start")
    {
        const auto read =
            accepted({"move", "start", "wax-llm", "v2", "--deadline", "600"});
        CHECK(read.what == command::move_start);
        CHECK(read.service == "wax-llm");
        CHECK(read.version == "v2");
        CHECK(read.deadline_s == 600);
    }

    SECTION("timeline")
    {
        const auto read = accepted(
            {"timeline", "--request", "r1", "--since", "5.2", "--follow"});
        CHECK(read.query.request.value == "r1");
        CHECK(read.query.since == hybrid_time{5, 2});
        CHECK(read.follow);
    }
}

TEST_CASE("a wrong command line is refused and says why")
{
    using words = std::vector<std::string>;
    const std::vector<std::pair<words, std::string>> cases{
        {{}, "no command"},
        {{"fly"}, "fly"},
        {{"config"}, "config"},
        {{"status", "now"}, "takes 0 words"},
        {{"status", "--admin", "example.org:80"}, "--admin example.org:80"},
        {{"status", "--admin", "127.0.0.1:0"}, "127.0.0.1:0"},
        {{"status", "--admin", "127.0.0.1:99999"}, "99999"},
        {{"status", "--timeout", "0"}, "--timeout 0"},
        {{"status", "--frobnicate"}, "frobnicate"},
        {{"config", "get"}, "config get"},
        {{"config", "get", "zones", "x"}, "zones"},
        {{"config", "put", "classes"}, "takes 3 words"},
        {{"config", "put", "classes", "chat", "-"}, "--revision"},
        {{"config", "put", "classes", "chat", "-", "--revision", "-1"}, "-1"},
        {{"move", "start", "wax-llm", "v2"}, "--deadline"},
        {{"move", "start", "wax-llm", "v2", "--deadline", "0"}, "--deadline"},
        {{"move", "show"}, "takes 1"},
        {{"timeline", "--since", "yesterday"}, "--since yesterday"},
        {{"entries"}, "--entry"}};
    for (const auto& [line, reason] : cases)
    {
        INFO(reason);
        CHECK(refusal(line).find(reason) != std::string::npos);
    }
    CHECK(refusal({"status"}, nothing_is_set) == "--admin is required");
}

TEST_CASE("help and version are no errors")
{
    for (const char* flag : {"--help", "--version"})
        CHECK(std::holds_alternative<information>(
            parse_arguments({flag}, nothing_is_set)));
}
