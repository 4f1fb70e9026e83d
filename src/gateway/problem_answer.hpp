// The heads of answers to callers, and the answers of the entry's own.
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

/// Appends a status line and an upstream's fields, less those that concern
/// its connection; `length` adds a Content-Length, `closes` tells the caller
/// that the connection ends. The empty line is still to come.
void append_answer_head(
    std::string& out,
    int status,
    std::string_view reason,
    const header_fields& fields,
    std::optional<std::size_t> length,
    bool closes);

/// Appends a whole answer with the problem document of `error`, by the table
/// of error kinds. `add_fields` appends fields of the dialect.
void append_problem(
    std::string& out,
    const failure& error,
    std::optional<duration> come_back,
    const std::function<void(std::string&)>& add_fields,
    bool closes);

} // namespace bergamotusher::gateway
