#include "observe/logging.hpp"

#include "observe/event_json.hpp"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>

#include <memory>
#include <sstream>

namespace bergamotusher::observe
{

namespace
{

class json_layout : public log4cplus::Layout
{
public:
    void formatAndAppend(
        log4cplus::tostream& output,
        const log4cplus::spi::InternalLoggingEvent& line) override
    {
        const nlohmann::json object{
            {"time",
             log4cplus::helpers::getFormattedTime(
                 "%Y-%m-%dT%H:%M:%S.%qZ", line.getTimestamp(), true)},
            {"level", llmCache.toString(line.getLogLevel())},
            {"duty", line.getLoggerName()},
            {"message", line.getMessage()}};
        using handler = nlohmann::json::error_handler_t;
        output << object.dump(-1, ' ', false, handler::replace) << '\n';
    }
};

std::unique_ptr<log4cplus::Layout> make_layout(log_format format)
{
    if (format == log_format::json)
        return std::make_unique<json_layout>();
    return std::make_unique<log4cplus::PatternLayout>(
        "%d{%Y-%m-%dT%H:%M:%S.%q}Z %-5p %c: %m%n");
}

log4cplus::LogLevel to_log4cplus_level(log_level level)
{
    switch (level)
    {
    case log_level::error:
        return log4cplus::ERROR_LOG_LEVEL;
    case log_level::warn:
        return log4cplus::WARN_LOG_LEVEL;
    case log_level::info:
        return log4cplus::INFO_LOG_LEVEL;
    case log_level::debug:
        break;
    }
    return log4cplus::DEBUG_LOG_LEVEL;
}

template<class Id>
void append_field(std::ostream& out, const char* name, const Id& id)
{
    if (!id.empty())
        out << ' ' << name << '=' << id.value;
}

std::string describe(const event& value)
{
    std::ostringstream out;
    out << to_name(value.kind);
    append_field(out, "request", value.request);
    append_field(out, "attempt", value.attempt);
    append_field(out, "upstream", value.target);
    append_field(out, "move", value.move);
    if (value.number != 0)
        out << " number=" << value.number;
    if (!value.detail.empty())
        out << ' ' << value.detail;
    return out.str();
}

} // namespace

void start_logging(log_level level, log_format format)
{
    static const log4cplus::Initializer initializer;
    constexpr bool to_standard_error = true;
    constexpr bool flush_each_line = true;
    log4cplus::SharedAppenderPtr appender(
        new log4cplus::ConsoleAppender(to_standard_error, flush_each_line));
    appender->setLayout(make_layout(format));
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(appender);
    root.setLogLevel(to_log4cplus_level(level));
}

bool is_state_change(event_kind kind)
{
    switch (kind)
    {
    case event_kind::request_accepted:
    case event_kind::request_refused:
    case event_kind::request_finished:
    case event_kind::request_failed:
    case event_kind::request_handed_over:
    case event_kind::request_taken_up:
    case event_kind::attempt_dispatched:
    case event_kind::attempt_failed:
    case event_kind::attempt_resumed:
    case event_kind::answer_dropped:
    case event_kind::journal_begun:
    case event_kind::journal_finished:
    case event_kind::journal_released:
        return false;
    default:
        return true;
    }
}

void log_event(const event& value)
{
    if (!is_state_change(value.kind))
        return;
    const auto logger = log4cplus::Logger::getInstance("timeline");
    LOG4CPLUS_INFO(logger, describe(value));
}

} // namespace bergamotusher::observe
