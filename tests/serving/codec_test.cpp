#include "serving/stream_resume.hpp"
#include "wire/serving_codec.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace bergamotusher;

namespace
{

request_handed_over any_state()
{
    request_handed_over state;
    state.request.id = {"r" + *rc::gen::arbitrary<std::string>()};
    state.request.account = {"binder"};
    state.request.service = {*rc::gen::arbitrary<std::string>()};
    state.request.kind =
        *rc::gen::element(upstream_kind::engine, upstream_kind::plain);
    state.request.path = *rc::gen::arbitrary<std::string>();
    state.request.body = *rc::gen::arbitrary<std::string>();
    state.request.stream = *rc::gen::arbitrary<bool>();
    if (*rc::gen::arbitrary<bool>())
        state.request.repeatable = *rc::gen::arbitrary<bool>();
    state.delivered = *rc::gen::arbitrary<std::vector<std::string>>();
    state.time_left = duration(*rc::gen::arbitrary<std::int64_t>());
    state.version = {"v1"};
    state.failed_attempts = *rc::gen::arbitrary<std::uint32_t>();
    return state;
}

} // namespace

TEST_CASE("A request that is handed over arrives as it left")
{
    CHECK(rc::check(
        "round trip",
        []
        {
            const request_handed_over sent = any_state();
            const auto read =
                wire::decode_handed_over(wire::encode(sent), {"entry1"});
            const auto* got = std::get_if<request_handed_over>(&read);
            RC_ASSERT(got != nullptr);
            RC_ASSERT(got->request.id == sent.request.id);
            RC_ASSERT(got->request.service == sent.request.service);
            RC_ASSERT(got->request.kind == sent.request.kind);
            RC_ASSERT(got->request.path == sent.request.path);
            RC_ASSERT(got->request.body == sent.request.body);
            RC_ASSERT(got->request.stream == sent.request.stream);
            RC_ASSERT(got->request.repeatable == sent.request.repeatable);
            RC_ASSERT(got->delivered == sent.delivered);
            RC_ASSERT(got->time_left == sent.time_left);
            RC_ASSERT(got->failed_attempts == sent.failed_attempts);
            RC_ASSERT(got->from == node_id{"entry1"});
        }));
}

TEST_CASE("Bytes of any kind are read or refused, and never more")
{
    CHECK(rc::check(
        "damaged messages",
        []
        {
            std::string bytes = wire::encode(any_state());
            const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
            bytes[at] = static_cast<char>(*rc::gen::arbitrary<char>());
            bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
            const auto read = wire::decode_handed_over(bytes, {"entry1"});
            if (const auto* error = std::get_if<failure>(&read))
                RC_ASSERT(error->kind == error_kind::malformed_message);
            static_cast<void>(wire::decode_hand_over_answered(bytes));
            static_cast<void>(wire::decode_crash_reported(bytes));
        }));
}

TEST_CASE("All spellings of one body are one body")
{
    const auto one = serving::parse_engine_body(
        R"({"model":"llm", "messages":[{"role":"user","content":"a"}]})");
    const auto two = serving::parse_engine_body(
        R"({"messages":[{"content":"a","role":"user"}],"model":"llm",
            "stream":true})");
    REQUIRE(one);
    REQUIRE(two);
    CHECK(one->streaming == two->streaming);
    CHECK(
        serving::parse_engine_body(one->streaming)->streaming ==
        one->streaming);

    SECTION("and other fields do not part equal prompts")
    {
        const auto other = serving::parse_engine_body(
            R"({"messages":[{"content":"a","role":"user"}],"max_tokens":9})");
        CHECK(other->prompt == one->prompt);
        CHECK(other->max_tokens == 9);
    }
    SECTION("what is no request is refused")
    {
        for (const char* bad : {"", "{", "[]", "{}", R"({"messages":1})"})
            CHECK_FALSE(serving::parse_engine_body(bad));
    }
    SECTION("a prompt that ends with the beginning of an answer")
    {
        const auto begun = serving::parse_engine_body(
            R"({"messages":[{"role":"assistant","content":"Dear "}],
                "continue_final_message":true})");
        const auto body = nlohmann::json::parse(
            serving::resumed_body(begun->streaming, "binder", 1));
        REQUIRE(body["messages"].size() == 1);
        CHECK(body["messages"][0]["content"] == "Dear binder");
    }
    SECTION("text that was cut inside of a character")
    {
        CHECK_NOTHROW(serving::resumed_body(one->streaming, "\xC3", 1));
    }
}
