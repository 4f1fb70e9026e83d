#include "serving/stream_resume.hpp"
#include "wire/serving_codec.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace bergamotusher;

namespace
{

request_handed_over arbitrary_hand_over()
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

TEST_CASE("Encoding and decoding a handed-over request preserves it")
{
    CHECK(rc::check(
        "round trip",
        []
        {
            const request_handed_over sent = arbitrary_hand_over();
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

TEST_CASE("A crash report names the entry that waits for its acknowledgement")
{
    const report_crash sent{"print", {"llm1"}, {"suva"}, {}};
    const auto read =
        wire::decode_crash_reported(wire::encode(sent), {"entry1"});
    const auto* report = std::get_if<crash_reported>(&read);
    REQUIRE(report != nullptr);
    CHECK(report->fingerprint == sent.fingerprint);
    CHECK((report->target == sent.target));
    CHECK((report->domain == sent.domain));
    CHECK((report->reply_to == node_id{"entry1"}));

    const acknowledge_crash reply{{"entry1"}, "print", {"llm1"}};
    const auto answer =
        wire::decode_crash_acknowledged(wire::encode(reply), {"entry2"});
    const auto* noted = std::get_if<crash_acknowledged>(&answer);
    REQUIRE(noted != nullptr);
    CHECK((noted->from == node_id{"entry2"}));
    CHECK(noted->fingerprint == reply.fingerprint);
    CHECK((noted->target == reply.target));
}

TEST_CASE("Damaged messages are decoded or rejected as malformed")
{
    CHECK(rc::check(
        "damaged messages",
        []
        {
            std::string bytes = wire::encode(arbitrary_hand_over());
            const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
            bytes[at] = static_cast<char>(*rc::gen::arbitrary<char>());
            bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
            const auto read = wire::decode_handed_over(bytes, {"entry1"});
            if (const auto* error = std::get_if<failure>(&read))
                RC_ASSERT(error->kind == error_kind::malformed_message);
            static_cast<void>(wire::decode_hand_over_answered(bytes));
            static_cast<void>(wire::decode_crash_reported(bytes, {"entry1"}));
            static_cast<void>(
                wire::decode_crash_acknowledged(bytes, {"entry1"}));
        }));
}

TEST_CASE("Equivalent JSON bodies have the same normalized form")
{
    const auto original = serving::parse_engine_body(
        R"({"model":"llm", "messages":[{"role":"user","content":"a"}]})");
    const auto reordered = serving::parse_engine_body(
        R"({"messages":[{"content":"a","role":"user"}],"model":"llm",
            "stream":true})");
    REQUIRE(original);
    REQUIRE(reordered);
    CHECK(original->streaming == reordered->streaming);
    CHECK(
        serving::parse_engine_body(original->streaming)->streaming ==
        original->streaming);

    SECTION("Fields other than the messages do not change the prompt")
    {
        const auto other = serving::parse_engine_body(
            R"({"messages":[{"content":"a","role":"user"}],"max_tokens":9})");
        CHECK(other->prompt == original->prompt);
        CHECK(other->max_tokens == 9);
    }
    SECTION("Malformed bodies are rejected")
    {
        for (const char* bad : {"", "{", "[]", "{}", R"({"messages":1})"})
            CHECK_FALSE(serving::parse_engine_body(bad));
    }
    SECTION("Resuming extends an assistant message at the end of the prompt")
    {
        const auto with_prefix = serving::parse_engine_body(
            R"({"messages":[{"role":"assistant","content":"Dear "}],
                "continue_final_message":true})");
        const auto body = nlohmann::json::parse(
            serving::resumed_body(with_prefix->streaming, "binder", 1));
        REQUIRE(body["messages"].size() == 1);
        CHECK(body["messages"][0]["content"] == "Dear binder");
    }
    SECTION("Resuming accepts text cut inside a UTF-8 character")
    {
        CHECK_NOTHROW(serving::resumed_body(original->streaming, "\xC3", 1));
    }
}
