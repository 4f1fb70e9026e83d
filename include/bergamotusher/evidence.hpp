// Evidence on versions: results of one version at one entry over a period of
// time. Entries send these samples to the control leader, which decides version
// moves by them.
#pragma once

#include <bergamotusher/enum_names.hpp>
#include <bergamotusher/ids.hpp>
#include <bergamotusher/time.hpp>

#include <array>
#include <cstdint>
#include <string>

namespace bergamotusher
{

/// A latency histogram has four buckets for each doubling: bucket i counts
/// values below `latency_bucket_base` * 2^(i/4); the last bucket also counts
/// all larger values.
inline constexpr std::size_t latency_buckets = 64;
inline constexpr std::size_t latency_buckets_per_doubling = 4;
inline constexpr duration latency_bucket_base = 1ms;

/// Latency counts on a fixed logarithmic scale; histograms of several entries
/// can be added.
struct latency_histogram
{
    std::array<std::uint32_t, latency_buckets> counts{};

    bool operator==(const latency_histogram&) const = default;
};

/// Index of the bucket for `value`.
std::size_t latency_bucket_of(duration value);
/// Counts `value`.
void add(latency_histogram& histogram, duration value);
/// Adds all of `other`'s counts.
void add(latency_histogram& histogram, const latency_histogram& other);

/// Load of an upstream when it ran a request.
enum class load_band
{
    low,
    medium,
    full
};

/// Service, version, route and load that a sample refers to.
struct evidence_key
{
    service_name service;
    version_name version;
    /// Route prefix of a plain service, or class of work of an engine.
    std::string route;
    load_band band = load_band::low;

    auto operator<=>(const evidence_key&) const = default;
};

/// Counts over one period at one entry.
struct evidence_sample
{
    evidence_key key;
    /// The upstream that ran the requests.
    upstream_id target;
    std::uint32_t succeeded = 0;
    /// Answers that the version itself failed or refused.
    std::uint32_t failed = 0;
    /// Upstream processes of the version that crashed with requests in
    /// progress, except losses of whole failure domains and reclaims.
    std::uint32_t crashed = 0;
    latency_histogram first_token;
    latency_histogram token_gap;
    std::uint64_t answered_tokens = 0;

    bool operator==(const evidence_sample&) const = default;
};

constexpr auto enum_names(load_band)
{
    return std::array{
        enum_name<load_band>{load_band::low, "low"},
        enum_name<load_band>{load_band::medium, "medium"},
        enum_name<load_band>{load_band::full, "full"}};
}

} // namespace bergamotusher
