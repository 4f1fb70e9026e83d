#include "observe/ctl/arguments.hpp"

#include <catch2/catch.hpp>

#include <map>
#include <string>

using namespace bergamotusher;
using namespace bergamotusher::ctl;

namespace
{

const environment environment_with_admin = [](const char* name)
{
    return std::string(name) == "BERGAMOTUSHER_ADMIN"
               ? std::optional<std::string>("127.0.0.1:7001,127.0.0.2:7002")
               : std::nullopt;
};

const environment empty_environment = [](const char*)
{
    return std::optional<std::string>();
};

arguments parse_valid(const std::vector<std::string>& words)
{
    const auto parsed = parse_arguments(words, environment_with_admin);
    if (const auto* error = std::get_if<usage_error>(&parsed))
        FAIL(error->detail);
    return std::get<arguments>(parsed);
}

std::string parse_error(
    const std::vector<std::string>& words,
    const environment& variable = environment_with_admin)
{
    const auto parsed = parse_arguments(words, variable);
    const auto* error = std::get_if<usage_error>(&parsed);
    return error == nullptr ? "" : error->detail;
}

} // namespace

TEST_CASE("parses commands, operands and flags")
{
    SECTION("reads addresses from the environment")
    {
        const auto parsed_args = parse_valid({"status"});
        CHECK(parsed_args.what == command::status);
        REQUIRE(parsed_args.admins.size() == 2);
        CHECK(parsed_args.admins[1] == endpoint{"127.0.0.2", "7002"});

        SECTION("prefers addresses from a flag")
        {
            const auto overridden =
                parse_valid({"status", "--admin", "127.0.0.9:1"});
            REQUIRE(overridden.admins.size() == 1);
            CHECK(overridden.admins[0] == endpoint{"127.0.0.9", "1"});
        }
    }

    SECTION("config put")
    {
        const auto parsed_args = parse_valid(
            {"config", "put", "services", "wax-llm", "-", "--revision", "7"});
        CHECK(parsed_args.what == command::config_put);
        CHECK(parsed_args.collection == "services");
        CHECK(parsed_args.name == "wax-llm");
        CHECK(parsed_args.file == "-");
        CHECK(parsed_args.revision == 7);
    }

    SECTION("config get with and without a name")
    {
        CHECK(parse_valid({"config", "get", "classes", "chat"}).name == "chat");
        CHECK(parse_valid({"config", "get", "classes"}).name.empty());
    }

    SECTION("move start")
    {
        const auto parsed_args = parse_valid(
            {"move", "start", "wax-llm", "v2", "--deadline", "600"});
        CHECK(parsed_args.what == command::move_start);
        CHECK(parsed_args.service == "wax-llm");
        CHECK(parsed_args.version == "v2");
        CHECK(parsed_args.deadline_s == 600);
    }

    SECTION("timeline")
    {
        const auto parsed_args = parse_valid(
            {"timeline", "--request", "r1", "--since", "5.2", "--follow"});
        CHECK(parsed_args.query.request.value == "r1");
        CHECK(parsed_args.query.since == hybrid_time{5, 2});
        CHECK(parsed_args.follow);
    }
}

TEST_CASE("reports the reason for an invalid command line")
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
    for (const auto& [command_line, reason] : cases)
    {
        INFO(reason);
        CHECK(parse_error(command_line).find(reason) != std::string::npos);
    }
    CHECK(parse_error({"status"}, empty_environment) == "--admin is required");
}

TEST_CASE("accepts --help and --version without a command")
{
    for (const char* flag : {"--help", "--version"})
        CHECK(std::holds_alternative<information>(
            parse_arguments({flag}, empty_environment)));
}
