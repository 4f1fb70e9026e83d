#include "serving/admission_check.hpp"

#include "base/digest.hpp"
#include "serving/stream_resume.hpp"

#include <algorithm>

namespace bergamotusher::serving
{

namespace
{

/// Terminates each field of a fingerprint, so that the boundary between two
/// fields is unambiguous.
constexpr char field_end = '\0';

const route* longest_route(const service& target, std::string_view path)
{
    const route* best = nullptr;
    for (const route& candidate : target.routes)
    {
        const bool matches = path.starts_with(candidate.path_prefix);
        if (matches && (best == nullptr || best->path_prefix.size() <
                                               candidate.path_prefix.size()))
            best = &candidate;
    }
    return best;
}

/// A client may forbid retries of a repeatable request, but not allow them for
/// an unrepeatable one.
bool may_repeat(
    const caller_request& request, const service& target, const route* found)
{
    const bool configured =
        found != nullptr ? found->repeatable : target.repeatable;
    return configured && request.repeatable.value_or(true);
}

const work_class* class_of(
    const configuration& config,
    const caller_request& request,
    const service& target)
{
    const class_name& name = request.wanted_class.empty()
                                 ? target.default_class
                                 : request.wanted_class;
    const auto found = config.classes.find(name);
    return found == config.classes.end() ? nullptr : &found->second;
}

/// Replaces an engine request's body by its normalized form; false if it cannot
/// be parsed.
bool normalize_body(const step_scope& scope, request_state& state)
{
    if (state.request.kind != upstream_kind::engine)
        return true;
    std::optional<engine_body> body = parse_engine_body(state.request.body);
    if (!body)
        return false;
    state.request.body = std::move(body->streaming);
    state.max_tokens = body->max_tokens;
    state.prompt_tokens = body->prompt_tokens;
    if (scope.context.prefix_blocks)
        state.prefix_blocks = scope.context.prefix_blocks(body->prompt);
    return true;
}

bool is_fingerprint_quarantined(
    const step_scope& scope, const std::string& fingerprint)
{
    const auto& configured = scope.context.config->quarantined;
    return is_quarantined(scope.state.crash_evidence, fingerprint) ||
           std::find(configured.begin(), configured.end(), fingerprint) !=
               configured.end();
}

} // namespace

std::string fingerprint_of(const caller_request& request)
{
    std::string text;
    text.reserve(request.body.size() + request.path.size() + 64);
    text += request.method;
    text += field_end;
    text += request.service.value;
    text += field_end;
    text += request.path;
    text += field_end;
    text += request.body;
    return sha256_hex(text);
}

check_result check_request(
    const step_scope& scope, caller_request request, duration time_left)
{
    const configuration& config = *scope.context.config;
    const auto found = config.services.find(request.service);
    if (found == config.services.end())
        return failure{error_kind::unknown_service, request.service.value};
    const service& target = found->second;
    const work_class* selected_class = class_of(config, request, target);
    if (selected_class == nullptr)
        return failure{error_kind::unknown_class, request.wanted_class.value};

    auto state = std::make_unique<request_state>();
    request.kind = target.kind;
    const route* matched = longest_route(target, request.path);
    state->repeatable = may_repeat(request, target, matched);
    state->route =
        matched != nullptr ? matched->path_prefix : selected_class->name.value;
    state->request = std::move(request);
    state->request_class = *selected_class;
    state->deduplicates = target.deduplicates;
    state->retry_percent = target.retry_percent;
    state->accepted = scope.now;
    state->deadline = scope.now + std::min(time_left, selected_class->deadline);
    if (!state->repeatable && state->request.idempotency_key.empty())
        return failure{error_kind::missing_idempotency_key, {}};
    if (!normalize_body(scope, *state))
        return failure{error_kind::malformed_request, "body"};
    state->fingerprint = fingerprint_of(state->request);
    if (is_fingerprint_quarantined(scope, state->fingerprint))
        return failure{error_kind::quarantined, state->fingerprint};
    return state;
}

} // namespace bergamotusher::serving
