// Interface between the request life cycle and routing: the request for an
// upstream and its result.
#pragma once

#include <bergamotusher/configuration.hpp>
#include <bergamotusher/ids.hpp>
#include <bergamotusher/time.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bergamotusher
{

/// Input to the choice of an upstream for one request.
struct choice_request
{
    service_name service;
    account_id account;
    work_class target;
    /// Versions that may run the request; empty means any.
    std::vector<version_name> versions;
    /// Upstreams that may run the request; empty means any.
    std::vector<upstream_id> only;
    /// Upstreams on which the request already failed.
    std::vector<upstream_id> excluded;
    /// Failure domains to avoid if an upstream in another one meets the target.
    std::vector<failure_domain> avoided;
    /// Hash of each prefix block of the prompt, in order; prompts have equal
    /// hashes up to their first difference.
    std::vector<std::uint64_t> prefix_blocks;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t expected_tokens = 0;
    /// Time left until the answer must be complete.
    duration time_left = 120s;
    /// Random number drawn by the caller, so that the choice itself is
    /// deterministic.
    std::uint64_t draw = 0;
};

/// The chosen upstream with its predicted latencies.
struct choice
{
    upstream_id id;
    version_name version;
    std::string address;
    failure_domain domain;
    duration first_token{};
    duration token_gap{};
    /// Prompt tokens that it must compute, without those in its prefix cache.
    std::uint32_t recomputed_tokens = 0;
};

/// Why no upstream was chosen.
enum class no_choice_reason
{
    /// No upstream of the service is available.
    none_known,
    /// All upstreams are busy; one may become free.
    wait,
    /// No upstream can finish in the time left.
    too_late
};

/// No upstream was chosen; `retry_after` is when to try again.
struct no_choice
{
    no_choice_reason reason = no_choice_reason::none_known;
    duration retry_after{};
};

using choice_result = std::variant<choice, no_choice>;

/// Function that chooses an upstream. The serving duty (worker thread) binds it
/// to the routing state; tests replace it by a fake.
using choose_function =
    std::function<choice_result(const choice_request&, time_point now)>;

} // namespace bergamotusher
