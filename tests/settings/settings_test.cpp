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

std::vector<std::string> good()
{
    return {"--node-id=n1", "--failure-domain=suva", "--data-dir=data"};
}

std::string reason(std::vector<std::string> more, const variables& set = {})
{
    auto all = good();
    all.insert(all.end(), more.begin(), more.end());
    const auto parsed = parse(all, set);
    const auto* wrong = std::get_if<failure>(&parsed);
    return wrong == nullptr ? "accepted" : wrong->detail;
}

} // namespace

TEST_CASE("settings come from flags and environment")
{
    SECTION("an environment variable stands in for a flag")
    {
        const auto parsed = parse(good(), {{"BERGAMOTUSHER_REGION", "viti"}});
        CHECK(std::get<command_line>(parsed).values.region == "viti");

        SECTION("and a flag wins over it")
        {
            auto arguments = good();
            arguments.push_back("--region=tw-north");
            const auto both =
                parse(arguments, {{"BERGAMOTUSHER_REGION", "viti"}});
            CHECK(std::get<command_line>(both).values.region == "tw-north");
        }
    }
    SECTION("no default opens more than loopback")
    {
        const auto values = std::get<command_line>(parse(good())).values;
        CHECK(values.entry_address.ip == "127.0.0.1");
        CHECK(values.admin_address.ip == "127.0.0.1");
        CHECK(values.peer_address.ip == "127.0.0.1");
    }
    SECTION("what is printed reads back as the same settings")
    {
        auto arguments = good();
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

TEST_CASE("a wrong setting names flag, value and reason")
{
    CHECK(
        reason({"--entry-address=nowhere"}) ==
        "--entry-address='nowhere': is not IP:PORT");
    CHECK(reason({"--entry-address=127.0.0.1:0"}) != "accepted");
    CHECK(reason({"--entry-address=127.0.0.1:65536"}) != "accepted");
    CHECK(reason({"--roles=cook"}).find("--roles='cook'") == 0);
    CHECK(reason({"--roles=entry"}).find("--roles='entry'") == 0);
    CHECK(reason({"--peers=n2=127.0.0.1:1@d"}).find("this process") < 200);
    CHECK(reason({"--peers=n1=127.0.0.1:1@d,n1=127.0.0.1:2@d"}) != "accepted");
    CHECK(reason({"--log-level=loud"}) != "accepted");
    CHECK(reason({"--drain-seconds=-1"}) != "accepted");
    CHECK(reason({"--cloud-url=ftp://x"}) != "accepted");
    CHECK(reason({"--no-such-flag=1"}) != "accepted");
    CHECK(reason({"stray"}) != "accepted");
    CHECK(reason({"--data-dir="}).find("--data-dir=''") == 0);
    CHECK(reason({}, {{"BERGAMOTUSHER_LOG_LEVEL", "loud"}}) != "accepted");
    CHECK(reason({}) == "accepted");
}
