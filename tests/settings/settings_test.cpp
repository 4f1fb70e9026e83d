#include "settings/settings.hpp"

#include <catch2/catch.hpp>

#include <map>

using namespace bergamotusher;

namespace
{

using variables = std::map<std::string, std::string>;

std::variant<command_line, failure>
parse(std::vector<std::string> arguments, const variables& set = {})
{
    arguments.insert(arguments.begin(), "bergamotusherd");
    std::vector<const char*> argv;
    argv.reserve(arguments.size());
    for (const std::string& argument : arguments)
        argv.push_back(argument.c_str());
    return parse_command_line(
        static_cast<int>(argv.size()),
        argv.data(),
        [&set](const char* name) -> std::optional<std::string>
        {
            const auto found = set.find(name);
            if (found == set.end())
                return std::nullopt;
            return found->second;
        });
}

std::vector<std::string> required_arguments()
{
    return {"--node-id=n1", "--failure-domain=suva", "--data-dir=data"};
}

std::string failure_detail(
    std::vector<std::string> extra_arguments, const variables& set = {})
{
    auto arguments = required_arguments();
    arguments.insert(
        arguments.end(), extra_arguments.begin(), extra_arguments.end());
    const auto parsed = parse(arguments, set);
    const auto* error = std::get_if<failure>(&parsed);
    return error == nullptr ? "accepted" : error->detail;
}

} // namespace

TEST_CASE("settings come from flags and environment")
{
    SECTION("an environment variable sets a value without a flag")
    {
        const auto parsed =
            parse(required_arguments(), {{"BERGAMOTUSHER_REGION", "viti"}});
        CHECK(std::get<command_line>(parsed).values.region == "viti");

        SECTION("and a flag takes precedence over it")
        {
            auto arguments = required_arguments();
            arguments.push_back("--region=tw-north");
            const auto both =
                parse(arguments, {{"BERGAMOTUSHER_REGION", "viti"}});
            CHECK(std::get<command_line>(both).values.region == "tw-north");
        }
    }
    SECTION("default addresses are loopback addresses")
    {
        const auto values =
            std::get<command_line>(parse(required_arguments())).values;
        CHECK(values.entry_address.ip == "127.0.0.1");
        CHECK(values.admin_address.ip == "127.0.0.1");
        CHECK(values.peer_address.ip == "127.0.0.1");
    }
    SECTION("the printed settings parse to equal settings")
    {
        auto arguments = required_arguments();
        arguments.push_back("--peers=n1=127.0.0.1:7001/8001/9001@suva,"
                            "n2=127.0.0.1:7002/8002/9002@nadi");
        const auto first = std::get<command_line>(parse(arguments)).values;
        std::vector<std::string> lines;
        std::istringstream text(to_text(first));
        for (std::string line; std::getline(text, line);)
            lines.push_back(line);
        CHECK(std::get<command_line>(parse(lines)).values == first);
    }
}

TEST_CASE("an invalid setting names flag, value and reason")
{
    CHECK(
        failure_detail({"--entry-address=nowhere"}) ==
        "--entry-address='nowhere': is not IP:PORT");
    CHECK(failure_detail({"--entry-address=127.0.0.1:0"}) != "accepted");
    CHECK(failure_detail({"--entry-address=127.0.0.1:65536"}) != "accepted");
    CHECK(failure_detail({"--roles=cook"}).find("--roles='cook'") == 0);
    CHECK(failure_detail({"--roles=entry"}).find("--roles='entry'") == 0);
    CHECK(
        failure_detail({"--peers=n2=127.0.0.1:1@d"}).find("this process") <
        200);
    CHECK(
        failure_detail({"--peers=n1=127.0.0.1:1@d,n1=127.0.0.1:2@d"}) !=
        "accepted");
    CHECK(failure_detail({"--log-level=loud"}) != "accepted");
    CHECK(failure_detail({"--drain-seconds=-1"}) != "accepted");
    CHECK(failure_detail({"--cloud-url=ftp://x"}) != "accepted");
    CHECK(failure_detail({"--no-such-flag=1"}) != "accepted");
    CHECK(failure_detail({"stray"}) != "accepted");
    CHECK(failure_detail({"--data-dir="}).find("--data-dir=''") == 0);
    CHECK(
        failure_detail({}, {{"BERGAMOTUSHER_LOG_LEVEL", "loud"}}) !=
        "accepted");
    CHECK(failure_detail({}) == "accepted");
}
