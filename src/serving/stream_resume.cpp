#include "serving/stream_resume.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace bergamotusher::serving
{

namespace
{

using nlohmann::json;

constexpr std::array limit_fields{"max_tokens", "max_completion_tokens"};

std::string dump(const json& body)
{
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::uint32_t limit_of(const json& body)
{
    std::uint32_t limit = 0;
    for (const char* field : limit_fields)
    {
        const auto found = body.find(field);
        if (found != body.end() && found->is_number_unsigned())
            limit = found->get<std::uint32_t>();
    }
    return limit;
}

void reduce_limits(json& body, std::uint64_t tokens)
{
    for (const char* field : limit_fields)
    {
        const auto found = body.find(field);
        if (found == body.end() || !found->is_number_unsigned())
            continue;
        const auto limit = found->get<std::uint64_t>();
        *found = limit > tokens ? limit - tokens : 1;
    }
}

/// Whether the prompt itself ends with the beginning of an answer.
bool ends_with_assistant(const json& messages)
{
    if (messages.empty() || !messages.back().is_object())
        return false;
    const json& last = messages.back();
    return last.value("role", json()) == "assistant" &&
           last.contains("content") && last["content"].is_string();
}

} // namespace

std::optional<engine_body> parse_engine_body(std::string_view body)
{
    json value = json::parse(body, nullptr, false);
    if (value.is_discarded() || !value.is_object())
        return std::nullopt;
    const auto messages = value.find("messages");
    if (messages == value.end() || !messages->is_array())
        return std::nullopt;
    value["stream"] = true;
    value["stream_options"] = {{"include_usage", true}};
    engine_body result;
    result.max_tokens = limit_of(value);
    result.prompt = dump(value["messages"]);
    result.prompt_tokens =
        static_cast<std::uint32_t>(result.prompt.size() / bytes_per_token);
    result.streaming = dump(value);
    return result;
}

std::string resumed_body(
    std::string_view streaming, std::string_view text, std::uint64_t tokens)
{
    json body = json::parse(streaming);
    json& messages = body["messages"];
    const bool extends_last_message =
        body.value("continue_final_message", false);
    if (extends_last_message && ends_with_assistant(messages))
    {
        std::string content = messages.back()["content"];
        content += text;
        messages.back()["content"] = std::move(content);
    }
    else
    {
        messages.push_back({{"role", "assistant"}, {"content", text}});
    }
    body["continue_final_message"] = true;
    body["add_generation_prompt"] = false;
    reduce_limits(body, tokens);
    return dump(body);
}

} // namespace bergamotusher::serving
