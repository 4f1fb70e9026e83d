// Logging by log4cplus to standard error. Only state changes are logged;
// events that every request causes are counted instead.
#pragma once

#include <bergamotusher/enum_names.hpp>
#include <bergamotusher/event.hpp>

#include <array>

namespace bergamotusher::observe
{

/// Lowest severity that is logged.
enum class log_level
{
    error,
    warn,
    info,
    debug
};

/// Format of a log line.
enum class log_format
{
    /// Human-readable.
    text,
    /// One JSON object a line.
    json
};

/// Configures log4cplus's root logger to write to standard error. Called once
/// at process start.
void start_logging(log_level level, log_format format);

/// Whether events of this kind are state changes, which are logged, rather
/// than steps of a request, which are not.
bool is_state_change(event_kind kind);

/// Logs `value` if it is a state change.
void log_event(const event& value);

constexpr auto enum_names(log_level)
{
    return std::array{
        enum_name<log_level>{log_level::error, "error"},
        enum_name<log_level>{log_level::warn, "warn"},
        enum_name<log_level>{log_level::info, "info"},
        enum_name<log_level>{log_level::debug, "debug"}};
}

constexpr auto enum_names(log_format)
{
    return std::array{
        enum_name<log_format>{log_format::text, "text"},
        enum_name<log_format>{log_format::json, "json"}};
}

} // namespace bergamotusher::observe
