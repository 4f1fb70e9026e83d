// Configuration: classes of work, services and client accounts, set by
// operators, and the traffic splits, set by version moves. At any time one
// immutable value is in force at an entry.
#pragma once

#include <bergamotusher/ids.hpp>
#include <bergamotusher/time.hpp>
#include <bergamotusher/upstream.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bergamotusher
{

/// A class of work and its latency targets.
struct work_class
{
    class_name name;
    /// Target time to the first token, or to the whole answer of a plain
    /// service.
    duration first_token = 1600ms;
    /// Target time between two tokens.
    duration token_gap = 49ms;
    /// Longest time from acceptance to the last byte of the answer.
    duration deadline = 120s;
    /// Cost limit in currency units for 1,000 answered tokens; zero means no
    /// limit.
    double cost_per_1k_tokens = 0;
    /// Lower values go first.
    std::uint32_t priority = 1;

    bool operator==(const work_class&) const = default;
};

/// Rules for calls below one path of a plain service.
struct route
{
    /// Matches paths that begin with it; the longest match applies.
    std::string path_prefix;
    /// If false, a call runs at most once.
    bool repeatable = true;

    bool operator==(const route&) const = default;
};

/// A service that callers can request.
struct service
{
    service_name name;
    upstream_kind kind = upstream_kind::engine;
    /// Used if a caller names no class.
    class_name default_class;
    bool repeatable = true;
    std::vector<route> routes;
    /// Whether the service removes duplicates by idempotency key across all of
    /// its upstreams.
    bool deduplicates = false;
    /// Retry budget: retries per 100 first attempts.
    std::uint32_t retry_percent = 20;
    /// Maximum traffic share of a new version before there is evidence, 0 to 1.
    double trial_share = 0.05;

    bool operator==(const service&) const = default;
};

/// A client account with its key and limits.
struct account
{
    account_id name;
    /// Hex SHA-256 of the account's key.
    std::string key_digest;
    double requests_per_second = 100;
    double tokens_per_second = 50'000;
    std::uint32_t connections = 1'000;
    /// Relative share of scarce capacity among the accounts.
    double weight = 1;

    bool operator==(const account&) const = default;
};

/// Traffic share of one version of a service.
struct version_share
{
    version_name version;
    /// 0 to 1; the shares of a service add up to 1.
    double share = 1;
    /// Upstreams that carry the share; empty means all of the version.
    std::vector<upstream_id> only;
    /// True while the version is on trial; each entry may stop sending to it by
    /// itself.
    bool on_trial = false;

    bool operator==(const version_share&) const = default;
};

/// The configuration that an entry serves by. Never modified after publication.
struct configuration
{
    /// Log index of the latest change in it; never decreases at an entry.
    std::uint64_t revision = 0;
    std::map<class_name, work_class> classes;
    std::map<service_name, service> services;
    std::map<account_id, account> accounts;
    /// Traffic splits; a service without one uses any version.
    std::map<service_name, std::vector<version_share>> splits;
    /// Fingerprints of quarantined requests, which must not run.
    std::vector<std::string> quarantined;

    bool operator==(const configuration&) const = default;
};

} // namespace bergamotusher
