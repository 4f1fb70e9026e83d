#include <bergamotusher/error_kind.hpp>

#include <algorithm>
#include <array>

namespace bergamotusher
{

namespace
{

using k = error_kind;
using r = run_claim;
using a = retry_advice;

constexpr std::array answers{
    error_answer{
        k::malformed_request,
        "malformed_request",
        400,
        r::not_run,
        a::never,
        "The request cannot be read"},
    error_answer{
        k::header_too_large,
        "header_too_large",
        431,
        r::not_run,
        a::never,
        "The header is too large"},
    error_answer{
        k::body_too_large,
        "body_too_large",
        413,
        r::not_run,
        a::never,
        "The body is too large"},
    error_answer{
        k::slow_sender,
        "slow_sender",
        408,
        r::not_run,
        a::later,
        "The request did not arrive in time"},
    error_answer{
        k::too_many_connections,
        "too_many_connections",
        503,
        r::not_run,
        a::later,
        "Too many connections are open"},
    error_answer{
        k::unauthenticated,
        "unauthenticated",
        401,
        r::not_run,
        a::never,
        "The key is absent or wrong"},
    error_answer{
        k::forbidden,
        "forbidden",
        403,
        r::not_run,
        a::never,
        "The key does not permit this"},
    error_answer{
        k::unknown_resource,
        "unknown_resource",
        404,
        r::not_run,
        a::never,
        "There is no such resource"},
    error_answer{
        k::method_not_allowed,
        "method_not_allowed",
        405,
        r::not_run,
        a::never,
        "The resource does not take this method"},
    error_answer{
        k::unknown_service,
        "unknown_service",
        404,
        r::not_run,
        a::never,
        "There is no such service"},
    error_answer{
        k::unknown_class,
        "unknown_class",
        400,
        r::not_run,
        a::never,
        "There is no such class of work"},
    error_answer{
        k::unknown_request,
        "unknown_request",
        404,
        r::unknown,
        a::never,
        "There is no such request of this account"},
    error_answer{
        k::missing_idempotency_key,
        "missing_idempotency_key",
        400,
        r::not_run,
        a::never,
        "A request that may not be repeated needs an Idempotency-Key"},
    error_answer{
        k::key_conflict,
        "key_conflict",
        422,
        r::not_run,
        a::never,
        "The idempotency key stands for another request"},
    error_answer{
        k::revision_conflict,
        "revision_conflict",
        412,
        r::not_run,
        a::never,
        "Another change came first"},
    error_answer{
        k::invalid_configuration,
        "invalid_configuration",
        422,
        r::not_run,
        a::never,
        "The configuration is not valid"},
    error_answer{
        k::invalid_setting,
        "invalid_setting",
        500,
        r::not_run,
        a::never,
        "A setting is not valid"},
    error_answer{
        k::rate_limited,
        "rate_limited",
        429,
        r::not_run,
        a::later,
        "The account's limit is reached"},
    error_answer{
        k::overloaded,
        "overloaded",
        503,
        r::not_run,
        a::later,
        "No capacity is left for this request"},
    error_answer{
        k::no_upstream,
        "no_upstream",
        503,
        r::not_run,
        a::later,
        "No upstream serves this now"},
    error_answer{
        k::quarantined,
        "quarantined",
        422,
        r::not_run,
        a::never,
        "This request crashed the upstreams that ran it"},
    error_answer{
        k::content_suspended,
        "content_suspended",
        503,
        r::not_run,
        a::later,
        "Requests with this content crashed the upstreams that ran them"},
    error_answer{
        k::draining,
        "draining",
        503,
        r::not_run,
        a::later,
        "This entry is shutting down"},
    error_answer{
        k::stale_configuration,
        "stale_configuration",
        503,
        r::not_run,
        a::later,
        "This entry cannot confirm its configuration"},
    error_answer{
        k::no_quorum,
        "no_quorum",
        503,
        r::not_run,
        a::later,
        "No quorum can be reached"},
    error_answer{
        k::not_leader,
        "not_leader",
        503,
        r::not_run,
        a::later,
        "There is no leader now"},
    error_answer{
        k::deadline_passed,
        "deadline_passed",
        504,
        r::unknown,
        a::same_key,
        "The answer did not come in time"},
    error_answer{
        k::upstream_failed,
        "upstream_failed",
        502,
        r::unknown,
        a::same_key,
        "The upstream failed"},
    error_answer{
        k::upstream_refused,
        "upstream_refused",
        503,
        r::not_run,
        a::later,
        "The upstream refused the request"},
    error_answer{
        k::malformed_answer,
        "malformed_answer",
        502,
        r::unknown,
        a::same_key,
        "The upstream's answer cannot be read"},
    error_answer{
        k::outcome_unknown,
        "outcome_unknown",
        502,
        r::unknown,
        a::same_key,
        "The request may have run"},
    error_answer{
        k::fenced,
        "fenced",
        409,
        r::not_run,
        a::never,
        "The order has an old fencing number"},
    error_answer{
        k::start_refused,
        "start_refused",
        503,
        r::not_run,
        a::later,
        "The platform refused to start an instance"},
    error_answer{
        k::storage_full,
        "storage_full",
        503,
        r::not_run,
        a::later,
        "The data folder is full"},
    error_answer{
        k::storage_failed,
        "storage_failed",
        503,
        r::unknown,
        a::same_key,
        "The data folder failed"},
    error_answer{
        k::storage_corrupt,
        "storage_corrupt",
        503,
        r::unknown,
        a::same_key,
        "The data folder holds a damaged record"},
    error_answer{
        k::wrong_data_folder,
        "wrong_data_folder",
        503,
        r::not_run,
        a::never,
        "The data folder is another node's"},
    error_answer{
        k::peer_unreachable,
        "peer_unreachable",
        503,
        r::unknown,
        a::same_key,
        "Another node cannot be reached"},
    error_answer{
        k::malformed_message,
        "malformed_message",
        400,
        r::not_run,
        a::never,
        "A message cannot be read"},
    error_answer{
        k::cancelled,
        "cancelled",
        499,
        r::unknown,
        a::same_key,
        "The caller went away"},
    error_answer{
        k::internal,
        "internal",
        500,
        r::unknown,
        a::same_key,
        "An internal error"}};

class category : public std::error_category
{
public:
    const char* name() const noexcept override
    {
        return "bergamotusher";
    }

    std::string message(int value) const override
    {
        return std::string(
            error_answer_for(static_cast<error_kind>(value)).title);
    }
};

} // namespace

const error_answer& error_answer_for(error_kind kind)
{
    const auto* row = std::find_if(
        answers.begin(),
        answers.end(),
        [kind](const error_answer& answer) { return answer.kind == kind; });
    return row == answers.end() ? answers.back() : *row;
}

const std::error_category& error_kind_category()
{
    static const category instance;
    return instance;
}

std::error_code make_error_code(error_kind kind)
{
    return {static_cast<int>(kind), error_kind_category()};
}

error_kind kind_of(const std::error_code& error)
{
    if (error.category() != error_kind_category())
        return error_kind::internal;
    return static_cast<error_kind>(error.value());
}

} // namespace bergamotusher
