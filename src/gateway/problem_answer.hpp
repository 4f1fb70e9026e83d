// Heads of answers to callers, and the error answers that the entry produces
// itself.
#pragma once

#include "gateway/http_message.hpp"

#include <bergamotusher/error_kind.hpp>
#include <bergamotusher/time.hpp>

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace bergamotusher::gateway
{

/// Appends a status line and an upstream's fields without the hop-by-hop ones;
/// `length` adds a Content-Length, `closes` adds "Connection: close". The
/// caller of this function appends the empty line that ends the head.
void append_answer_head(
    std::string& out,
    int status,
    std::string_view reason,
    const header_fields& fields,
    std::optional<std::size_t> length,
    bool closes);

/// Appends a complete answer with the problem document of `error`; the status
/// follows from the table of error kinds. `add_fields` appends fields of the
/// dialect.
void append_problem(
    std::string& out,
    const failure& error,
    std::optional<duration> retry_after,
    const std::function<void(std::string&)>& add_fields,
    bool closes);

} // namespace bergamotusher::gateway
