#include "observe/counters.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace bergamotusher;
using namespace bergamotusher::observe;

namespace
{

request_observed make_request(duration first_token)
{
    request_observed value;
    value.service.value = "assistant-llm";
    value.work_class.value = "chat";
    value.version.value = "v1";
    value.first_token = first_token;
    value.recomputed_tokens = 3;
    value.cost = 0.25;
    return value;
}

const latency_series& first_token_series(const counters& all)
{
    return all.requests.begin()->second.first_token;
}

bool has_line(const std::string& text, const std::string& line)
{
    return text.find("\n" + line + "\n") != std::string::npos;
}

} // namespace

TEST_CASE("latency quantiles are close to the exact ones")
{
    // Small windows give exact quantiles, large ones estimates.
    const int values = GENERATE(10, 200, 20'000);
    counters all;
    for (int i = 1; i <= values; ++i)
    {
        // A fixed permutation: estimates must not depend on sorted input.
        const int rank = (i * 7'919) % values + 1;
        count(all, make_request(duration(1'000'000LL * rank / values)));
    }
    const latency_summary summary = summarize(first_token_series(all));
    CHECK(summary.count == static_cast<std::uint64_t>(values));
    CHECK(summary.mean == Approx(0.5).margin(0.1));
    CHECK(summary.p50 == Approx(0.5).margin(0.1));
    CHECK(summary.p95 == Approx(0.95).margin(0.051));
    CHECK(summary.p99 == Approx(0.99).margin(0.02));
}

TEST_CASE("quantiles cover the last complete window, totals all windows")
{
    counters all;
    time_point now{};
    rotate_windows(all, now);
    count(all, make_request(900ms));
    now += summary_window;
    rotate_windows(all, now);
    count(all, make_request(100ms));
    CHECK(summarize(first_token_series(all)).p50 == Approx(0.9));

    now += summary_window;
    rotate_windows(all, now);
    CHECK(summarize(first_token_series(all)).p50 == Approx(0.1));
    CHECK(first_token_series(all).count == 2);
    CHECK(first_token_series(all).sum == Approx(1.0));
}

TEST_CASE("counters are exported as Prometheus text")
{
    counters all;
    count(all, make_request(250ms));
    count(all, error_observed{error_kind::overloaded});
    count(all, queue_rejections_observed{"callers\"to\\serving", 7});
    count(all, gauge_observed{gauge::control_bytes_sent, 12'345'678'901.0});
    count(all, event_kind::move_taken_back);
    const std::string text = prometheus_text(all);
    const std::string labels =
        R"(service="assistant-llm",class="chat",version="v1")";
    const std::string prefix = "bergamotusher_";

    CHECK(has_line(
        text,
        prefix + "first_token_seconds{" + labels + ",quantile=\"0.95\"} 0.25"));
    CHECK(
        has_line(text, prefix + "first_token_seconds_count{" + labels + "} 1"));
    CHECK(has_line(text, prefix + "recomputed_tokens_total{" + labels + "} 3"));
    CHECK(has_line(text, prefix + "cost_total{" + labels + "} 0.25"));
    CHECK(has_line(text, prefix + "errors_total{kind=\"overloaded\"} 1"));
    CHECK(has_line(text, prefix + "events_total{kind=\"move_taken_back\"} 1"));
    CHECK(has_line(text, prefix + "control_bytes_sent 12345678901"));

    SECTION("label values are escaped")
    {
        CHECK(has_line(
            text,
            prefix + R"(ring_refused_total{ring="callers\"to\\serving"} 7)"));
    }

    SECTION("latencies without observations have no lines")
    {
        CHECK(text.find("token_gap_seconds{") == std::string::npos);
    }
}
