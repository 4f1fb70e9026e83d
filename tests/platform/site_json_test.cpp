// Parsing and writing of the platform's JSON bodies and settings file, with
// valid and malformed input.
#include "boot_settings.hpp"
#include "site_json.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace bergamotusher;
using namespace bergamotusher::platform;

namespace
{

const std::string valid_configuration =
    R"({"version":7,"routes":[{"name":"r1","host":"a.example",)"
    R"("pathPrefix":"/x/","type":"streaming","timeoutMs":4000,)"
    R"("targetLatencyMs":600,"priority":0,"service":"s1","maxAttempts":2,)"
    R"("public":false,"sticky":true,"resumable":true,"itlTargetMs":250},)"
    R"({"name":"r2","host":"a.example","pathPrefix":"/y/","type":"unsafe",)"
    R"("timeoutMs":1500,"weightedServices":[{"service":"s1","weight":90},)"
    R"({"service":"s2","weight":10}]}],"services":[{"name":"s1",)"
    R"("healthPath":"/h","maxConnections":370,"engine":{"slots":64,)"
    R"("kvCapacity":1000,"stride":3},"autoscaling":{"minReplicas":1,)"
    R"("maxReplicas":12,"bootS":4.0,"spotPrice":0.2,)"
    R"("zonePrices":{"z1":0.85}}},{"name":"s2"}],)"
    R"("limits":{"maxHeaderBytes":100,"maxBodyBytes":200,)"
    R"("headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
    R"("tenants":[{"name":"t1","apiKeys":["k1"],"priority":1,)"
    R"("unit":"token","uncachedTokens":200,"ratePerS":10,"burst":20}]})";

} // namespace

TEST_CASE("parses a whole configuration")
{
    const auto parsed = parse_configuration(valid_configuration);
    REQUIRE(std::holds_alternative<site::configuration>(parsed));
    const auto& value = std::get<site::configuration>(parsed);
    CHECK_FALSE(site::check(value));
    CHECK(value.version == 7);
    CHECK(value.routes[0].kind == site::route_kind::stream);
    CHECK(value.routes[0].target_event_gap == duration(250ms));
    CHECK(value.routes[0].resumable);
    CHECK(value.routes[1].services[1].weight == 10);
    CHECK(value.services[0].engine->tokens_per_event == 3);
    CHECK(value.services[0].renting->prices.at({"z1"}) == Approx(0.85));
    CHECK(value.limits.idle_timeout == duration(15s));
    CHECK(value.accounts[0].counts_tokens);
    CHECK(value.accounts[0].burst == 20);
}

TEST_CASE("refuses a malformed configuration")
{
    SECTION("truncated at any position")
    {
        CHECK(rc::check(
            "cut",
            []
            {
                const auto size = *rc::gen::inRange<std::size_t>(
                    0, valid_configuration.size());
                RC_ASSERT(std::holds_alternative<failure>(
                    parse_configuration(valid_configuration.substr(0, size))));
            }));
    }
    SECTION("with a field of the wrong type; the error names it")
    {
        std::string bad = valid_configuration;
        bad.replace(bad.find("4000"), 4, "\"4 s\"");
        const auto parsed = parse_configuration(bad);
        REQUIRE(std::holds_alternative<failure>(parsed));
        CHECK(
            std::get<failure>(parsed).detail.find("timeoutMs") !=
            std::string::npos);
    }
}

TEST_CASE("a route that names an unknown service beside weights is invalid")
{
    const auto parsed_with = [](const std::string& service)
    {
        std::string text = valid_configuration;
        text.insert(text.find("\"weightedServices\""), service);
        return parse_configuration(text);
    };
    SECTION("a name that no service has")
    {
        const auto parsed = parsed_with("\"service\":\"s9\",");
        REQUIRE(std::holds_alternative<site::configuration>(parsed));
        CHECK(site::check(std::get<site::configuration>(parsed)));
    }
    SECTION("a service that exists gets no requests beside the weights")
    {
        const auto parsed = parsed_with("\"service\":\"s2\",");
        REQUIRE(std::holds_alternative<site::configuration>(parsed));
        const auto& value = std::get<site::configuration>(parsed);
        CHECK_FALSE(site::check(value));
        CHECK(value.routes[1].services.back().weight == 0);
    }
}

TEST_CASE("parses an announcement and refuses malformed ones")
{
    const std::string text =
        R"({"service":"s1","address":"10.0.0.9:80","zone":"z1",)"
        R"("version":"v1","slots":64,"state":"draining",)"
        R"("coldRemainingMs":0,"sequence":4,"born":1700000000000,)"
        R"("spotEnabled":true,"leaves_ms":2400})";
    const auto announcement = parse_announcement("i-1", text);
    REQUIRE(announcement);
    CHECK(announcement->state == site::upstream_state::draining);
    CHECK(announcement->started_ms == 1'700'000'000'000);
    CHECK(announcement->reclaimable);
    CHECK(announcement->leaves_in == duration(2400ms));
    for (const auto& [from, to] :
         std::vector<std::pair<std::string, std::string>>{
             {"\"draining\"", "\"asleep\""},
             {"\"sequence\":4", "\"sequence\":\"4\""},
             {"\"service\":\"s1\",", ""},
             {"}", ""}})
    {
        std::string bad = text;
        bad.replace(bad.find(from), from.size(), to);
        CHECK_FALSE(parse_announcement("i-1", bad));
    }
}

// Guards against one odd announcement of another writer that ends the process
// or replaces what an upstream said of itself.
TEST_CASE("announcements with odd values are refused")
{
    const std::string text =
        R"({"service":"s1","address":"10.0.0.9:80","zone":"z1",)"
        R"("version":"v1","slots":64,"state":"ready","leaves_ms":2400,)"
        R"("coldRemainingMs":0,"sequence":4,"born":1700000000000})";
    REQUIRE(parse_announcement("i-1", text));
    const auto with = [&](const std::string& from, const std::string& to)
    {
        std::string changed = text;
        changed.replace(changed.find(from), from.size(), to);
        return parse_announcement("i-1", changed);
    };

    SECTION("a port out of range, or no address")
    {
        for (const char* address :
             {"10.0.0.9:65536",
              "10.0.0.9:-1",
              "10.0.0.9:99999999999999999999",
              "10.0.0.9",
              "10.0.0.9:",
              ":80",
              "",
              "10.0.0.9:80:80"})
        {
            CAPTURE(address);
            CHECK_FALSE(with("10.0.0.9:80", address));
        }
    }
    SECTION("numbers that are too large")
    {
        for (const char* number :
             {"1e400",
              "1e300",
              "18446744073709551615",
              "9223372036854775807",
              "9007199254740994",
              "-1",
              "123456789012345678901234567890"})
        {
            CAPTURE(number);
            CHECK_FALSE(
                with("\"slots\":64", "\"slots\":" + std::string(number)));
            CHECK_FALSE(
                with("\"sequence\":4", "\"sequence\":" + std::string(number)));
            CHECK_FALSE(with("1700000000000", number));
            CHECK_FALSE(with(
                "\"leaves_ms\":2400", "\"leaves_ms\":" + std::string(number)));
        }
        CHECK_FALSE(with("\"slots\":64", "\"slots\":4294967296"));
        const auto late = with("\"leaves_ms\":2400", "\"leaves_ms\":1e15");
        REQUIRE(late);
        CHECK(time_point(1h) + late->leaves_in > time_point(1h));
        const departure_notice notice = parse_departure(
            R"({"born":18446744073709551615,"sequence":9223372036854775807})");
        CHECK(notice.started_ms == 0);
        CHECK(notice.sequence == 0);
    }
    SECTION("values nested very deeply")
    {
        constexpr std::size_t depth = 1'000'000;
        for (const auto& [open, close] :
             std::vector<std::pair<std::string, std::string>>{
                 {"[", "]"}, {"{\"a\":", "}"}})
        {
            std::string nested;
            for (std::size_t i = 0; i < depth; ++i)
                nested += open;
            CHECK_FALSE(with("\"v1\"", nested));
            CHECK_FALSE(parse_announcement("i-1", nested));
            parse_departure(nested);
            CHECK(std::holds_alternative<failure>(parse_configuration(nested)));
            nested += "1";
            for (std::size_t i = 0; i < depth; ++i)
                nested += close;
            CHECK_FALSE(with("\"v1\"", nested));
            // A field that is not known is ignored, whatever it holds.
            CHECK(with("\"slots\"", "\"odd\":" + nested + ",\"slots\""));
            parse_departure(nested);
            CHECK(std::holds_alternative<failure>(parse_configuration(nested)));
        }
    }
}

TEST_CASE("parsers do not throw or crash on arbitrary bytes")
{
    CHECK(rc::check(
        "any bytes",
        [](const std::string& bytes)
        {
            parse_configuration(bytes);
            parse_announcement("i-1", bytes);
            parse_departure(bytes);
            parse_move_order(bytes);
            parse_boot_settings(bytes);
        }));
}

TEST_CASE("writes JSON bodies with the platform's field names")
{
    CHECK(
        write_usage({42, {{{"t1"}, 7}}}) ==
        R"({"counts":{"t1":7},"windowId":42})");
    CHECK(
        write_rent("s1", "z1", 3, true) ==
        R"({"desiredCount":3,"service":"s1","spotEnabled":true,"zone":"z1"})");
    CHECK(
        write_rent("s1", "z1", 3, false) ==
        R"({"desiredCount":3,"service":"s1","zone":"z1"})");
    CHECK(
        write_entries({"10.1.0.14:80"}, 2) ==
        R"({"addresses":["10.1.0.14:80"],"ttlS":2.0})");
}

TEST_CASE("parses the settings file of a process")
{
    const std::string text =
        R"({"nodeName":"edge-1","serves":["edge"],"ip":"10.1.0.14",)"
        R"("zone":"z1","listen":{"frontend":"10.1.0.14:8221",)"
        R"("readiness":"10.1.0.14:8224"},"internalPorts":[7600,7615],)"
        R"("seedNodes":["10.1.0.16:8229"],"bootstrap":true,)"
        R"("bounds":{"graceS":8,"revokeMs":5000,"retryMinExtra":58}})";
    const auto read = parse_boot_settings(text);
    REQUIRE(std::holds_alternative<boot_settings>(read));
    const auto& boot = std::get<boot_settings>(read);
    CHECK(boot.is_entry);
    CHECK(boot.entry.seeds[0].value == "10.1.0.16:7600");
    CHECK(boot.entry.site_lease < duration(5s));
    CHECK(boot.entry.retries.extra == 58);

    SECTION("refuses a control node without a data folder")
    {
        std::string control = text;
        control.replace(control.find("[\"edge\"]"), 8, "[\"controller\"]");
        const auto wrong = parse_boot_settings(control);
        REQUIRE(std::holds_alternative<failure>(wrong));
        CHECK(
            std::get<failure>(wrong).detail.find("dataDir") !=
            std::string::npos);
    }
}
