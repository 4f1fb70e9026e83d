#include "rollout/evidence_recorder.hpp"
#include "rollout/local_rule.hpp"

#include <catch2/catch.hpp>

using namespace bergamotusher;
using namespace bergamotusher::rollout;

namespace
{

constexpr time_point start{};

configuration on_trial()
{
    configuration value;
    value.splits[{"s"}] = {
        {{"v2"}, 0.05, {{"u2"}}, true}, {{"v1"}, 0.95, {}, false}};
    return value;
}

attempt_observed
attempt_of(const char* version, std::optional<attempt_failure> failed)
{
    attempt_observed observed;
    observed.target.value = version;
    observed.key = {{"s"}, {version}, "/a", load_band::medium};
    observed.failure = failed;
    observed.first_token = 300ms;
    observed.answered_tokens = 100;
    return observed;
}

/// Samples of `count` attempts; all of them failed if `bad`.
std::vector<evidence_sample>
samples_of(const char* version, int count, bool bad)
{
    evidence_recorder recorder;
    set_recorded_services(recorder, on_trial());
    for (int i = 0; i < count; ++i)
        record_attempt(
            recorder,
            bad ? attempt_of(version, attempt_failure::server_error)
                : attempt_of(version, std::nullopt),
            start);
    return take_samples(recorder, start);
}

} // namespace

TEST_CASE("an entry sums up the results of attempts")
{
    evidence_recorder recorder;
    set_recorded_services(recorder, on_trial());
    record_attempt(recorder, attempt_of("v2", std::nullopt), start);
    record_attempt(
        recorder, attempt_of("v2", attempt_failure::server_error), start);
    record_attempt(
        recorder, attempt_of("v2", attempt_failure::connection_refused), start);
    const auto samples = take_samples(recorder, start);
    REQUIRE(samples.size() == 1);
    CHECK(samples.front().succeeded == 1);
    CHECK(samples.front().failed == 1);
    CHECK(take_samples(recorder, start).empty());

    SECTION("a report is unchanged by encoding and parsing")
    {
        const evidence_report report{7, samples, {{{"s"}, {"v2"}}}};
        CHECK(parse_evidence(encode(report)) == report);
        CHECK_FALSE(parse_evidence("\xff\xff"));
    }
    SECTION("services without a trial are not recorded")
    {
        set_recorded_services(recorder, {});
        record_attempt(recorder, attempt_of("v2", std::nullopt), start);
        CHECK(take_samples(recorder, start).empty());
    }
    SECTION("a refusal counts as a failure except under full load")
    {
        auto refused = attempt_of("v2", attempt_failure::refused);
        record_attempt(recorder, refused, start);
        refused.key.band = load_band::full;
        record_attempt(recorder, refused, start);
        const auto counted = take_samples(recorder, start);
        REQUIRE(counted.size() == 1);
        CHECK(counted.front().failed == 1);
    }
}

TEST_CASE("connections that break together count as one crash")
{
    evidence_recorder recorder;
    set_recorded_services(recorder, on_trial());
    for (int i = 0; i < 5; ++i)
        record_attempt(
            recorder, attempt_of("v2", attempt_failure::broken), start);
    CHECK(take_samples(recorder, start).empty());

    SECTION("after the grace period")
    {
        const auto samples = take_samples(recorder, start + crash_grace_period);
        REQUIRE(samples.size() == 1);
        CHECK(samples.front().crashed == 1);
    }
    SECTION("not if the upstream was reclaimed")
    {
        exclude_crashes(recorder, {"v2"}, start + crash_grace_period / 2);
        CHECK(take_samples(recorder, start + crash_grace_period).empty());
    }
}

TEST_CASE("an entry stops a failing version by itself")
{
    local_evidence known;
    for (int i = 0; i < 10; ++i)
        add_local_samples(
            known, on_trial(), samples_of("v1", 20, false), start);
    CHECK(stopped_versions(known, start).empty());
    add_local_samples(known, on_trial(), samples_of("v2", 5, true), start);
    const std::vector<stopped_version> stopped{{{"s"}, {"v2"}}};
    CHECK(stopped_versions(known, start) == stopped);

    SECTION("for a limited time if the leader does not decide")
    {
        CHECK(
            stopped_versions(known, start + local_stop_time - 1ms) == stopped);
        CHECK(stopped_versions(known, start + local_stop_time).empty());
    }
    SECTION("until the trial has ended")
    {
        add_local_samples(known, {}, {}, start);
        CHECK(stopped_versions(known, start).empty());
    }
}

TEST_CASE("failures that the old version also has do not stop the new version")
{
    local_evidence known;
    for (int i = 0; i < 10; ++i)
    {
        add_local_samples(known, on_trial(), samples_of("v1", 10, true), start);
        add_local_samples(
            known, on_trial(), samples_of("v1", 20, false), start);
    }
    add_local_samples(known, on_trial(), samples_of("v2", 5, true), start);
    add_local_samples(known, on_trial(), samples_of("v2", 10, false), start);
    CHECK(stopped_versions(known, start).empty());
}

TEST_CASE("requests are distributed over versions by the shares")
{
    const auto shares = on_trial().splits.at({"s"});
    int trial = 0;
    for (std::uint64_t i = 0; i < 1000; ++i)
    {
        const std::uint64_t draw = (2 * i + 1) * (~0ULL / 2000);
        trial += pick_version(shares, {}, draw).version.value == "v2" ? 1 : 0;
        CHECK(pick_version(shares, {{"v2"}}, draw).version.value == "v1");
    }
    CHECK(trial == 50);
    CHECK(pick_version(shares, {}, ~0ULL).version.value == "v1");
    CHECK(pick_version({}, {}, 7).version.empty());
    CHECK(
        pick_version({{{"v2"}, 1, {}, true}}, {{"v2"}}, 7).version.value ==
        "v2");
}
