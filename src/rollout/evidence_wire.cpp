#include "rollout/evidence_recorder.hpp"
#include "wire/evidence.pb.h"

#include <algorithm>

namespace bergamotusher::rollout
{

namespace
{

void write(wire::histogram_value& to, const latency_histogram& from)
{
    for (std::size_t i = 0; i < latency_buckets; ++i)
    {
        if (from.counts[i] == 0)
            continue;
        to.add_pairs(static_cast<std::uint32_t>(i));
        to.add_pairs(from.counts[i]);
    }
}

latency_histogram read(const wire::histogram_value& from)
{
    latency_histogram to;
    for (int i = 0; i + 1 < from.pairs_size(); i += 2)
        if (from.pairs(i) < latency_buckets)
            to.counts[from.pairs(i)] = from.pairs(i + 1);
    return to;
}

void write(wire::evidence_sample_value& to, const evidence_sample& from)
{
    to.set_service(from.key.service.value);
    to.set_version(from.key.version.value);
    to.set_route(from.key.route);
    to.set_band(static_cast<std::uint32_t>(from.key.band));
    to.set_target(from.target.value);
    to.set_succeeded(from.succeeded);
    to.set_failed(from.failed);
    to.set_crashed(from.crashed);
    write(*to.mutable_first_token(), from.first_token);
    write(*to.mutable_token_gap(), from.token_gap);
    to.set_answered_tokens(from.answered_tokens);
}

evidence_sample read(const wire::evidence_sample_value& from)
{
    const auto last = static_cast<std::uint32_t>(load_band::full);
    evidence_sample to;
    to.key = {
        {from.service()},
        {from.version()},
        from.route(),
        static_cast<load_band>(std::min(from.band(), last))};
    to.target.value = from.target();
    to.succeeded = from.succeeded();
    to.failed = from.failed();
    to.crashed = from.crashed();
    to.first_token = read(from.first_token());
    to.token_gap = read(from.token_gap());
    to.answered_tokens = from.answered_tokens();
    return to;
}

} // namespace

std::string encode(const evidence_report& report)
{
    wire::evidence_report_value to;
    to.set_sequence(report.sequence);
    for (const evidence_sample& sample : report.samples)
        write(*to.add_samples(), sample);
    for (const auto& [service, version] : report.stopped)
    {
        auto* added = to.add_stopped();
        added->set_service(service.value);
        added->set_version(version.value);
    }
    return to.SerializeAsString();
}

std::optional<evidence_report> parse_evidence(std::string_view encoded)
{
    wire::evidence_report_value from;
    if (!from.ParseFromArray(encoded.data(), static_cast<int>(encoded.size())))
        return std::nullopt;
    evidence_report to;
    to.sequence = from.sequence();
    for (const auto& sample : from.samples())
        to.samples.push_back(read(sample));
    for (const auto& each : from.stopped())
        to.stopped.emplace_back(
            service_name{each.service()}, version_name{each.version()});
    return to;
}

} // namespace bergamotusher::rollout
