// What operators set: classes of work, services, client accounts; and the
// traffic split that version moves set. One immutable value is in force at an
// entry at a time.
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

/// A class of work and its target.
struct work_class
{
    class_name name;
    /// Time to the first token, or to the whole answer of a plain service.
    duration first_token = 1600ms;
    /// Time between two tokens.
    duration token_gap = 49ms;
    /// The longest time from acceptance to the last byte.
    duration deadline = 120s;
    /// Currency units for 1,000 answered tokens; zero is no limit.
    double cost_per_1k_tokens = 0;
    /// Lower goes first.
    std::uint32_t priority = 1;

    bool operator==(const work_class&) const = default;
};

/// How calls under one path of a plain service may be treated.
struct route
{
    /// Matches paths that begin with it; the longest match counts.
    std::string path_prefix;
    /// False: a call runs at most once.
    bool repeatable = true;

    bool operator==(const route&) const = default;
};

/// A service that callers may ask for.
struct service
{
    service_name name;
    upstream_kind kind = upstream_kind::engine;
    /// Used where a caller names none.
    class_name default_class;
    bool repeatable = true;
    std::vector<route> routes;
    /// It removes duplicates by key over all of its upstreams.
    bool deduplicates = false;
    /// Retries allowed for each 100 first attempts.
    std::uint32_t retry_percent = 20;
    /// Most that a new version may get before evidence, 0 to 1.
    double trial_share = 0.05;

    bool operator==(const service&) const = default;
};

/// A client account and its limits.
struct account
{
    account_id name;
    /// Hex SHA-256 of the account's key.
    std::string key_digest;
    double requests_per_second = 100;
    double tokens_per_second = 50'000;
    std::uint32_t connections = 1'000;
    /// Share of capacity against the other accounts when it is scarce.
    double weight = 1;

    bool operator==(const account&) const = default;
};

/// How much of a service's traffic one version gets.
struct version_share
{
    version_name version;
    /// 0 to 1; the shares of a service add up to 1.
    double share = 1;
    /// Upstreams that carry the share; empty means all of that version.
    std::vector<upstream_id> only;
    /// True while the version is on trial; each entry may stop it alone.
    bool on_trial = false;

    bool operator==(const version_share&) const = default;
};

/// Everything that an entry serves by. Never changed once it is published.
struct configuration
{
    /// Log index of the newest change in it; never decreases at an entry.
    std::uint64_t revision = 0;
    std::map<class_name, work_class> classes;
    std::map<service_name, service> services;
    std::map<account_id, account> accounts;
    /// A service without an entry takes any version.
    std::map<service_name, std::vector<version_share>> splits;
    /// Request fingerprints that must not run.
    std::vector<std::string> quarantined;

    bool operator==(const configuration&) const = default;
};

} // namespace bergamotusher
