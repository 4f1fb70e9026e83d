#include "adapters/engine.hpp"

#include <nlohmann/json.hpp>

namespace bergamotusher::engine
{

using nlohmann::json;

namespace
{

constexpr std::size_t max_event_bytes = std::size_t{1} << 20;

std::string to_json_text(const json& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::uint32_t read_count(const json& object, const char* name)
{
    const auto found = object.find(name);
    if (found == object.end() || !found->is_number_unsigned())
        return 0;
    return found->get<std::uint32_t>();
}

void read_usage(const json& chunk, finish& to)
{
    const auto usage = chunk.find("usage");
    if (usage == chunk.end() || !usage->is_object())
        return;
    to.prompt_tokens = read_count(*usage, "prompt_tokens");
    to.answered_tokens = read_count(*usage, "completion_tokens");
    const auto details = usage->find("prompt_tokens_details");
    if (details != usage->end() && details->is_object())
        to.cached_tokens = read_count(*details, "cached_tokens");
}

void read_choice(
    const json& chunk, stream_parser& parser, std::vector<stream_event>& events)
{
    const auto choices = chunk.find("choices");
    if (choices == chunk.end() || !choices->is_array() || choices->empty())
        return;
    const json& choice = choices->front();
    const auto delta = choice.find("delta");
    if (delta != choice.end() && delta->is_object())
    {
        const auto content = delta->find("content");
        if (content != delta->end() && content->is_string())
            events.push_back(text_piece{content->get<std::string>()});
    }
    const auto reason = choice.find("finish_reason");
    if (reason != choice.end() && reason->is_string())
        parser.last.reason = reason->get<std::string>();
}

void add_malformed(
    stream_parser& parser,
    std::vector<stream_event>& events,
    const std::string& reason)
{
    parser.is_malformed = true;
    events.push_back(malformed{reason});
}

void handle_data(
    stream_parser& parser,
    const std::string& data,
    std::vector<stream_event>& events)
{
    if (data == "[DONE]")
    {
        if (parser.last.reason.empty())
            return add_malformed(
                parser, events, "end mark without a finish reason");
        events.push_back(parser.last);
        events.push_back(done{});
        return;
    }
    const json chunk = json::parse(data, nullptr, false);
    if (!chunk.is_object())
        return add_malformed(parser, events, "a chunk is no JSON object");
    if (chunk.contains("error"))
        return add_malformed(parser, events, "the engine reported an error");
    read_usage(chunk, parser.last);
    read_choice(chunk, parser, events);
}

/// Joins the `data:` lines of one server-sent event.
std::string join_data_lines(std::string_view event)
{
    std::string data;
    while (!event.empty())
    {
        const std::size_t end = event.find('\n');
        std::string_view line = event.substr(0, end);
        event = end == std::string_view::npos ? std::string_view()
                                              : event.substr(end + 1);
        if (!line.empty() && line.back() == '\r')
            line.remove_suffix(1);
        if (line.substr(0, 5) != "data:")
            continue;
        line.remove_prefix(line.size() > 5 && line[5] == ' ' ? 6 : 5);
        data += line;
    }
    return data;
}

json usage_json(std::uint32_t prompt_tokens, std::uint32_t answered_tokens)
{
    return {
        {"prompt_tokens", prompt_tokens},
        {"completion_tokens", answered_tokens},
        {"total_tokens", prompt_tokens + answered_tokens}};
}

std::string event_text(const json& value)
{
    return "data: " + to_json_text(value) + "\n\n";
}

} // namespace

std::vector<stream_event> feed(stream_parser& parser, std::string_view bytes)
{
    std::vector<stream_event> events;
    if (parser.is_malformed)
        return events;
    parser.buffer += bytes;
    for (std::size_t end = parser.buffer.find("\n\n");
         end != std::string::npos && !parser.is_malformed;
         end = parser.buffer.find("\n\n"))
    {
        const std::string data =
            join_data_lines(std::string_view(parser.buffer).substr(0, end));
        parser.buffer.erase(0, end + 2);
        if (!data.empty())
            handle_data(parser, data, events);
    }
    if (parser.buffer.size() > max_event_bytes)
        add_malformed(parser, events, "an event is too large");
    return events;
}

std::optional<std::string>
to_engine_body(const std::string& body, std::uint32_t priority)
{
    json value = json::parse(body, nullptr, false);
    if (!value.is_object())
        return std::nullopt;
    value["stream"] = true;
    value["stream_options"] = {{"include_usage", true}};
    value["priority"] = priority;
    return to_json_text(value);
}

std::string to_caller_event(
    const std::string& request_id, std::uint64_t event, const std::string& text)
{
    const json chunk{
        {"id", request_id},
        {"object", "chat.completion.chunk"},
        {"choices",
         {{{"index", 0},
           {"delta", {{"content", text}}},
           {"finish_reason", nullptr}}}}};
    return "id: " + std::to_string(event) + "\n" + event_text(chunk);
}

std::string to_caller_end(
    const std::string& request_id,
    const std::string& finish_reason,
    std::uint32_t prompt_tokens,
    std::uint32_t answered_tokens)
{
    const json chunk{
        {"id", request_id},
        {"object", "chat.completion.chunk"},
        {"choices",
         {{{"index", 0},
           {"delta", json::object()},
           {"finish_reason", finish_reason}}}},
        {"usage", usage_json(prompt_tokens, answered_tokens)}};
    return event_text(chunk) + "data: [DONE]\n\n";
}

std::string to_caller_answer(
    const std::string& request_id,
    const std::string& text,
    const std::string& finish_reason,
    std::uint32_t prompt_tokens,
    std::uint32_t answered_tokens)
{
    return to_json_text(
        {{"id", request_id},
         {"object", "chat.completion"},
         {"choices",
          {{{"index", 0},
            {"message", {{"role", "assistant"}, {"content", text}}},
            {"finish_reason", finish_reason}}}},
         {"usage", usage_json(prompt_tokens, answered_tokens)}});
}

} // namespace bergamotusher::engine
