// The question that the request life cycle asks of routing, and its answer.
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

/// What routing is told of the request to place.
struct choice_request
{
    service_name service;
    account_id account;
    work_class target;
    /// Versions that may run it; empty means any.
    std::vector<version_name> versions;
    /// If not empty, only these upstreams may run it.
    std::vector<upstream_id> only;
    /// Upstreams that already failed it.
    std::vector<upstream_id> excluded;
    /// Failure domains to avoid where another will do.
    std::vector<failure_domain> avoided;
    /// Hash of each prefix block of the prompt, in order; equal prompts
    /// have equal hashes up to the first difference.
    std::vector<std::uint64_t> prefix_blocks;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t expected_tokens = 0;
    /// Time that is left until the answer must be whole.
    duration time_left = 120s;
    /// A number drawn by the caller, so that the choice itself is pure.
    std::uint64_t draw = 0;
};

/// The upstream chosen, and what is expected of it.
struct choice
{
    upstream_id id;
    version_name version;
    std::string address;
    failure_domain domain;
    duration first_token{};
    duration token_gap{};
    /// Prompt tokens that it must compute, after prefix hits.
    std::uint32_t recomputed_tokens = 0;
};

/// Why none was chosen.
enum class no_choice_reason
{
    /// No upstream of the service is there at all.
    none_known,
    /// All are busy: waiting can help.
    wait,
    /// The target cannot be met in the time left.
    too_late
};

/// No upstream now; `retry_after` tells when to ask again.
struct no_choice
{
    no_choice_reason reason = no_choice_reason::none_known;
    duration retry_after{};
};

using choice_result = std::variant<choice, no_choice>;

/// How the life cycle reaches routing: bound to the routing state by the
/// serving duty, replaced by a fake in tests.
using choose_function =
    std::function<choice_result(const choice_request&, time_point now)>;

} // namespace bergamotusher
