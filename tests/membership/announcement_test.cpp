// Upstreams may send invalid data; an invalid field that is accepted would
// reach routing.
#include "membership/announcement.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace bergamotusher;
using namespace bergamotusher::membership;
using nlohmann::json;

namespace
{

json valid_announcement()
{
    return {
        {"instance", "w1"},
        {"incarnation", 7},
        {"kind", "engine"},
        {"service", "llm"},
        {"version", "v1"},
        {"address", "127.0.0.1:9000"},
        {"failure_domain", "suva"},
        {"instance_class", "small"},
        {"market", "on_demand"},
        {"price_per_hour", 1.5},
        {"slots", 8},
        {"honours_fencing", true}};
}

/// The detail of the failure; empty if the announcement is valid.
std::string failure_detail(const json& body)
{
    const auto result = parse_announcement(body.dump());
    const auto* invalid = std::get_if<failure>(&result);
    return invalid ? invalid->detail : "";
}

} // namespace

TEST_CASE("a valid announcement is parsed")
{
    const auto result = parse_announcement(valid_announcement().dump());
    const upstream& value = std::get<upstream>(result);
    CHECK(value.incarnation == 7);
    CHECK(value.paid_as == market::on_demand);
    CHECK(value.honours_fencing);
}

TEST_CASE("the failure names the invalid or missing field")
{
    const std::vector<std::pair<std::string, json>> invalid = {
        {"slots", 0},
        {"slots", 1'000'000},
        {"slots", -1},
        {"price_per_hour", -0.1},
        {"price_per_hour", 1e300},
        {"address", "localhost:80"},
        {"address", "10.0.0.1"},
        {"address", "10.0.0.1:0"},
        {"address", "10.0.0.1:70000"},
        {"kind", "thing"},
        {"market", 3},
        {"incarnation", "7"},
        {"instance", ""},
        {"instance", "a\nb"},
        {"service", std::string(200, 'x')},
        {"honours_fencing", 1}};
    for (const auto& [field, value] : invalid)
    {
        json body = valid_announcement();
        body[field] = value;
        CAPTURE(field, value);
        CHECK(failure_detail(body).rfind(field + ": ", 0) == 0);
        body.erase(field);
        if (field != "honours_fencing")
            CHECK(failure_detail(body) == field + ": is missing");
    }
}

TEST_CASE("valid events are parsed, invalid ones are refused")
{
    const auto read = [](const char* text)
    {
        return parse_events({"w1"}, text);
    };
    const auto refused = [&read](const char* text)
    {
        return std::holds_alternative<failure>(read(text));
    };
    const auto result = read(
        R"({"load":{"sequence":3,"running":4,"queued":1,"cache_used":0.5,
        "tokens_per_second":90.5},"cache":{"sequence":2,
        "stored":["18446744073709551615"],"removed":["5"],"cleared":true}})");
    const auto& events = std::get<upstream_events>(result);
    CHECK(events.load->running == 4);
    CHECK(events.cache->stored.at(0) == 18446744073709551615U);
    CHECK(events.cache->cleared);
    CHECK(refused(R"({"load":{"sequence":1,"running":1,"queued":1,
        "cache_used":7,"tokens_per_second":1}})"));
    CHECK(refused(R"({"load":{"sequence":1,"running":99999999,"queued":1,
        "cache_used":0,"tokens_per_second":1}})"));
    CHECK(refused(R"({"cache":{"sequence":1,"stored":["x"]}})"));
    CHECK(refused(R"({"cache":{"sequence":1,"stored":[5]}})"));
    CHECK(refused("[]"));
    CHECK(refused("{"));
}

TEST_CASE("arbitrary bytes are refused without an exception")
{
    CHECK(rc::check(
        [](const std::string& bytes)
        {
            const auto result = parse_announcement(bytes);
            RC_ASSERT(std::holds_alternative<failure>(result));
            parse_events({"w1"}, bytes);
        }));
}
