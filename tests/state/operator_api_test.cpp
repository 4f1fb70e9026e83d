#include "state/configuration_json.hpp"
#include "state/machine.hpp"
#include "state/operator_api.hpp"

#include <catch2/catch.hpp>

using namespace bergamotusher;
using namespace bergamotusher::state;

namespace
{

operator_answer send(state_machine& machine, const operator_request& request)
{
    auto decision = decide(request, machine.state);
    if (auto* answer = std::get_if<operator_answer>(&decision))
        return *answer;
    const auto& proposed = std::get<command>(decision);
    return make_answer(proposed, machine(proposed));
}

nlohmann::json body_of(const operator_answer& answer)
{
    return nlohmann::json::parse(answer.body);
}

std::string detail_of(const std::variant<service, failure>& parsed)
{
    return std::get<failure>(parsed).detail;
}

} // namespace

TEST_CASE("a class that was put is returned by GET")
{
    state_machine machine;
    const operator_request put{
        "PUT", "/v1/config/classes/quick", "0", "try-1", R"({"priority":3})"};
    const auto stored = send(machine, put);
    CHECK(stored.status == 200);
    const auto read =
        send(machine, {"GET", "/v1/config/classes/quick", "", "", ""});
    CHECK(read.revision == stored.revision);
    CHECK(body_of(read)["value"]["priority"] == 3);
    CHECK(
        body_of(
            send(machine, {"GET", "/v1/config/classes", "", "", ""}))["classes"]
            .size() == 1);
    CHECK(
        body_of(send(
            machine,
            {"GET", "/v1/config/history", "", "", ""}))["history"][0]["name"] ==
        "quick");

    SECTION("a resend gets the first result, a conflict the current revision")
    {
        CHECK(body_of(send(machine, put))["resent"] == true);
        auto other = put;
        other.idempotency_key = "try-2";
        const auto lost = send(machine, other);
        CHECK(lost.status == 412);
        CHECK(body_of(lost)["revision"] == stored.revision);
    }
    SECTION("a missing header is named")
    {
        auto incomplete = put;
        incomplete.idempotency_key.clear();
        CHECK(
            body_of(send(machine, incomplete))["kind"] ==
            "missing_idempotency_key");
        incomplete = put;
        incomplete.if_match = "*";
        CHECK(
            body_of(send(machine, incomplete))["detail"]
                .get<std::string>()
                .find("If-Match") == 0);
    }
}

TEST_CASE("paths and methods outside the API are refused")
{
    state_machine machine;
    const auto status = [&](const char* method, const char* path)
    {
        return send(machine, {method, path, "0", "k", "{}"}).status;
    };
    CHECK(status("GET", "/v1/config/weights") == 404);
    CHECK(status("GET", "/v1/config/classes/absent") == 404);
    CHECK(status("GET", "/v1/config/classes/a/b") == 404);
    CHECK(status("GET", "/") == 404);
    CHECK(status("GET", "") == 404);
    CHECK(status("PUT", "/v1/config/classes") == 405);
    CHECK(status("PUT", "/v1/config/history") == 405);
    CHECK(status("DELETE", "/v1/moves/m1") == 405);
    CHECK(status("GET", "/v1/moves/m1") == 404);
}

TEST_CASE("validation failures name field and reason")
{
    const auto detail = [](const char* text)
    {
        return detail_of(parse_service("s", text));
    };
    CHECK(detail("[]") == "body: must be a JSON object");
    CHECK(detail("{") == "body: must be a JSON object");
    CHECK(detail("{}") == "default_class: is required");
    const std::string start = R"({"default_class":"c",)";
    CHECK(
        detail((start + R"("weight":1})").c_str()) ==
        "weight: is not a field of this");
    CHECK(
        detail((start + R"("repeatable":1})").c_str()) ==
        "repeatable: must be true or false");
    CHECK(
        detail((start + R"("kind":"cat"})").c_str()) ==
        "kind: must be engine or plain");
    CHECK(
        detail((start + R"("routes":[{"path_prefix":"x"}]})").c_str()) ==
        "routes.path_prefix: must begin with '/'");
    CHECK(
        detail((start + R"("retry_percent":-1})").c_str()) ==
        "retry_percent: must be a whole number from 0 to 4294967295");
    const auto work_class_result = parse_class("c", R"({"deadline_ms":1})");
    CHECK(
        std::get<failure>(work_class_result).detail ==
        "deadline_ms: must not be below first_token_ms");
}

TEST_CASE("entries are unchanged by JSON and protobuf round trips")
{
    service desk;
    desk.name.value = "order-desk";
    desk.kind = upstream_kind::plain;
    desk.default_class.value = "quick";
    desk.routes = {{"/orders", false}, {"/", true}};
    desk.trial_share = 0.1;
    CHECK(
        std::get<service>(parse_service("order-desk", to_json(desk).dump())) ==
        desk);
    configuration value;
    value.revision = 7;
    value.classes[{"quick"}] = quick_class();
    value.services[desk.name] = desk;
    value.splits[desk.name] = {{{"v2"}, 0.1, {{"u1"}}, true}};
    value.quarantined = {"f"};
    CHECK(parse_configuration(encode(value)) == value);
}

TEST_CASE("a version move is started and listed")
{
    state_machine machine;
    add_service(machine);
    const operator_request post{
        "POST",
        "/v1/moves",
        "",
        "move-1",
        R"({"service":"assistant","version":"v2","within_s":600})"};
    const auto started = send(machine, post);
    REQUIRE(started.status == 202);
    const std::string id = body_of(started)["id"];
    const auto shown =
        body_of(send(machine, {"GET", "/v1/moves/" + id, "", "", ""}));
    CHECK(shown["state"] == "load");
    CHECK(shown["deadline_ms"] == machine.now.milliseconds + 600'000);
    machine.now.milliseconds += 1000;
    CHECK(body_of(send(machine, post))["id"] == id);
    CHECK(
        body_of(send(machine, {"GET", "/v1/moves", "", "", ""}))["moves"]
            .size() == 1);
}
