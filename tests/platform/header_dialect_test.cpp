// Parsing and writing of the platform's header fields.
#include "header_dialect.hpp"

#include <catch2/catch.hpp>

using namespace bergamotusher;
using namespace bergamotusher::gateway;

namespace
{

const header_codec platform_dialect = platform::header_dialect();

request_message message_with(const header_fields& fields)
{
    request_message message;
    message.fields = fields;
    return message;
}

} // namespace

TEST_CASE("parses the header fields of a request")
{
    const request_metadata facts = platform_dialect.read_request(message_with(
        {{"Host", "a.example"},
         {"bergamotusher-attempt-id", "9c41"},
         {"Bergamotusher-Deadline-Ms", "8000"},
         {"Bergamotusher-Token-Usage", "1460,80"},
         {"Bergamotusher-Prefix-Hash", "5c1e:800, 91bd:410"},
         {"Authorization", "bearer k1"},
         {"Last-Event-Id", "12"}}));
    CHECK(facts.attempt == "9c41");
    CHECK(facts.client_timeout == duration(8s));
    CHECK(facts.prompt_tokens == 1460);
    CHECK(facts.output_tokens == 80);
    REQUIRE(facts.parts.size() == 2);
    CHECK(facts.parts[0].id == 0x5c1e);
    CHECK(facts.parts[1].tokens == 410);
    CHECK(facts.key == "k1");
    CHECK(facts.resume_after == 12);
}

TEST_CASE("ignores malformed header fields of a request")
{
    const request_metadata facts = platform_dialect.read_request(message_with(
        {{"Bergamotusher-Deadline-Ms", "soon"},
         {"Bergamotusher-Token-Usage", "many"},
         {"Bergamotusher-Prefix-Hash", "5c1e:800,nothing"},
         {"Authorization", "Basic k1"}}));
    CHECK_FALSE(facts.client_timeout);
    CHECK_FALSE(facts.prompt_tokens);
    CHECK(facts.parts.empty());
    CHECK_FALSE(facts.key);
}

TEST_CASE("replaces reserved header fields of a caller by the entry's own")
{
    for (const char* name :
         {"Authorization",
          "bergamotusher-tenant",
          "Bergamotusher-Retention",
          "Kv-From",
          "Bergamotusher-Expect-Instance"})
        CHECK_FALSE(platform_dialect.is_forwarded(name));
    CHECK(platform_dialect.is_forwarded("Bergamotusher-Model"));
    CHECK(platform_dialect.is_forwarded("Bergamotusher-Attempt-Id"));
    std::string out;
    platform_dialect.write_attempt_fields(out, {1500ms, {"i-1"}, {"acme"}, 7});
    CHECK(
        out == "Bergamotusher-Deadline-Ms: 1500\r\n"
               "Bergamotusher-Expect-Instance: i-1\r\n"
               "Bergamotusher-Tenant: acme\r\nLast-Event-Id: 7\r\n");
}

TEST_CASE("parses the header fields of an answer")
{
    const answer_metadata facts = platform_dialect.read_answer(
        200,
        {{"Bergamotusher-Server-Seal", "3e1b"},
         {"Bergamotusher-Server-Load", "3,0,8"},
         {"Keep-Alive", "timeout=5, max=100"},
         {"Connection", "keep-alive, close"}});
    CHECK(facts.is_signed);
    CHECK_FALSE(facts.not_run);
    REQUIRE(facts.upstream_load);
    CHECK(facts.upstream_load->running == 3);
    CHECK(facts.upstream_load->slots == 8);
    CHECK(facts.idle_time == duration(5s));
    CHECK(facts.closes);

    SECTION("takes the fourth figure of a load, if it can be read")
    {
        const auto load = [](const char* text)
        {
            return platform_dialect
                .read_answer(200, {{"Bergamotusher-Server-Load", text}})
                .upstream_load;
        };
        CHECK(facts.upstream_load->pace_percent == 0);
        REQUIRE(load("3,1,8,140"));
        CHECK(load("3,1,8,140")->waiting == 1);
        CHECK(load("3,1,8,140")->pace_percent == 140);
        for (const char* text : {"3,1,8,x", "3,1,8,-1", "3,1,8,99999999999"})
        {
            REQUIRE(load(text));
            CHECK(load(text)->pace_percent == 0);
        }
        CHECK_FALSE(load("3,1,x,8"));
        CHECK_FALSE(load("3,1"));
        CHECK_FALSE(load("3,1,8,100,7"));
    }
    SECTION("reads the limit that an upstream names")
    {
        const auto read = [](const header_fields& fields)
        {
            return platform_dialect.read_answer(200, fields);
        };
        CHECK_FALSE(read({}).limit);
        CHECK_FALSE(read({}).has_unreadable_limit);
        CHECK(read({{"server-limit", " 1.25 "}}).limit == 1.25);
        CHECK(read({{"Server-Limit", "0"}}).limit == 0.0);

        SECTION("and says which cannot be read")
        {
            for (const char* value :
                 {"",
                  " ",
                  "-1",
                  "many",
                  "1.5 a second",
                  "1e400",
                  "1e2",
                  "nan",
                  "inf",
                  "0x10",
                  "1,2",
                  "1;2"})
            {
                const auto facts = read({{"Server-Limit", value}});
                INFO("the value \"" << value << "\"");
                CHECK_FALSE(facts.limit);
                CHECK(facts.has_unreadable_limit);
            }
            const auto twice =
                read({{"Server-Limit", "1"}, {"Server-Limit", "2"}});
            CHECK_FALSE(twice.limit);
            CHECK(twice.has_unreadable_limit);
        }
    }
    SECTION("recognizes requests that the upstream did not run")
    {
        CHECK(platform_dialect.read_answer(421, {}).not_run);
        CHECK(platform_dialect
                  .read_answer(503, {{"Bergamotusher-Not-Executed", "1"}})
                  .not_run);
        CHECK_FALSE(platform_dialect.read_answer(503, {}).not_run);
    }
}
