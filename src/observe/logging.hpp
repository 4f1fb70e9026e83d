// Log lines, by log4cplus, on standard error: only changes of state, since
// what happens all the time is counted instead.
#pragma once

#include <bergamotusher/enum_names.hpp>
#include <bergamotusher/event.hpp>

#include <array>

namespace bergamotusher::observe
{

/// The least severe lines that are written.
enum class log_level
{
    error,
    warn,
    info,
    debug
};

/// How a line looks.
enum class log_format
{
    /// For people.
    text,
    /// One JSON object a line, for programs.
    json
};

/// Directs log4cplus's root logger to standard error. Called once, by main.
void start_logging(log_level level, log_format format);

/// Whether events of this kind are changes of state, which get a log line,
/// and not part of every request.
bool is_state_change(event_kind kind);

/// Writes a line for `value` if it is a change of state.
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
