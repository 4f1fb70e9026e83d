#include "harness/caller.hpp"

#include "settings/settings.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include <array>
#include <chrono>
#include <limits>
#include <memory>
#include <optional>

namespace bergamotusher::tests
{

namespace beast = boost::beast;
namespace http = beast::http;
namespace asio = boost::asio;
using boost_error = boost::system::error_code;
using nlohmann::json;

namespace
{

// One request on a connection of its own, with a time limit.
class client_connection
{
public:
    explicit client_connection(const client_request& request)
        : parameters_(request)
    {
    }

    client_response run()
    {
        const auto target = parse_endpoint(parameters_.address);
        if (!target)
            return answer_;
        stream_.expires_after(
            std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::duration<double>(parameters_.seconds)));
        stream_.async_connect(
            asio::ip::tcp::endpoint(
                asio::ip::make_address(target->ip), target->port),
            [this](boost_error error)
            {
                if (!error)
                    send();
            });
        loop_.run();
        return answer_;
    }

private:
    void send()
    {
        request_.version(11);
        request_.method_string(parameters_.method);
        request_.target(parameters_.path);
        request_.set(http::field::host, parameters_.address);
        request_.set(http::field::authorization, "Bearer " + parameters_.key);
        for (const auto& [name, value] : parameters_.headers)
            request_.set(name, value);
        request_.body() = parameters_.body;
        request_.prepare_payload();
        http::async_write(
            stream_,
            request_,
            [this](boost_error error, std::size_t)
            {
                if (!error)
                    read_head();
            });
    }

    void read_head()
    {
        parser_.body_limit(std::numeric_limits<std::uint64_t>::max());
        http::async_read_header(
            stream_,
            buffer_,
            parser_,
            [this](boost_error error, std::size_t)
            {
                if (error)
                    return;
                const auto& head = parser_.get();
                answer_.status = static_cast<int>(head.result_int());
                for (const auto& field : head)
                    answer_.headers[std::string(field.name_string())] =
                        std::string(field.value());
                read_body();
            });
    }

    void read_body()
    {
        if (parser_.is_done())
        {
            answer_.complete = true;
            return finish();
        }
        parser_.get().body().data = chunk_.data();
        parser_.get().body().size = chunk_.size();
        http::async_read_some(
            stream_,
            buffer_,
            parser_,
            [this](boost_error error, std::size_t)
            {
                if (error && error != http::error::need_buffer)
                    return finish();
                const std::size_t size =
                    chunk_.size() - parser_.get().body().size;
                answer_.body.append(chunk_.data(), size);
                if (parse_events())
                    read_body();
            });
    }

    // Parses the complete events that are not parsed yet. Returns false if
    // `on_event` asked to close the connection.
    bool parse_events()
    {
        if (answer_.headers["Content-Type"] != "text/event-stream")
            return true;
        for (std::size_t end = answer_.body.find("\n\n", parsed_size_);
             end != std::string::npos;
             end = answer_.body.find("\n\n", parsed_size_))
        {
            parse_event(answer_.body.substr(parsed_size_, end - parsed_size_));
            parsed_size_ = end + 2;
            if (parameters_.on_event && !parameters_.on_event(answer_))
                return false;
        }
        return true;
    }

    void parse_event(const std::string& event)
    {
        const auto field = [&](const std::string& name)
        {
            const std::size_t name_position = event.find(name + ": ");
            if (name_position == std::string::npos)
                return std::string();
            const std::size_t from = name_position + name.size() + 2;
            return event.substr(from, event.find('\n', from) - from);
        };
        const std::string data = field("data");
        if (data == "[DONE]")
        {
            answer_.done = true;
            return;
        }
        const json value = json::parse(data, nullptr, false);
        if (field("event") == "moved")
            answer_.moved_to = value.value("entry", "");
        else if (field("event") == "error")
            answer_.error = data;
        else
            parse_choice(value, field("id"));
    }

    void parse_choice(const json& value, const std::string& id)
    {
        if (value.at("choices").empty())
            return;
        const json& choice = value.at("choices").front();
        if (choice.at("finish_reason").is_string())
            answer_.finish_reason = choice.at("finish_reason");
        if (!choice.at("delta").contains("content"))
            return;
        answer_.texts.push_back(choice.at("delta").at("content"));
        if (!id.empty())
            answer_.event_ids.push_back(std::stoull(id));
    }

    void finish()
    {
        if (answer_.status >= 400)
            answer_.error = answer_.body;
    }

    client_request parameters_;
    client_response answer_;
    asio::io_context loop_;
    beast::tcp_stream stream_{loop_};
    http::request<http::string_body> request_;
    beast::flat_buffer buffer_;
    http::response_parser<http::buffer_body> parser_;
    std::array<char, 4096> chunk_{};
    std::size_t parsed_size_ = 0;
};

// Appends the part of a stream that was received after a reattach.
void append_continuation(
    client_response& answer, client_response&& continuation)
{
    answer.status = continuation.status;
    answer.complete = continuation.complete;
    answer.done = continuation.done;
    answer.moved_to = continuation.moved_to;
    answer.error = continuation.error;
    answer.finish_reason = continuation.finish_reason;
    answer.texts.insert(
        answer.texts.end(),
        continuation.texts.begin(),
        continuation.texts.end());
    answer.event_ids.insert(
        answer.event_ids.end(),
        continuation.event_ids.begin(),
        continuation.event_ids.end());
}

} // namespace

client_response send_request(const client_request& request)
{
    return client_connection(request).run();
}

client_response stream_completion(
    std::vector<std::string> entries,
    const std::string& key,
    const std::string& prompt,
    unsigned tokens,
    const std::function<bool(const client_response&)>& on_event)
{
    client_request request;
    request.address = entries.front();
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.key = key;
    request.body =
        json{
            {"model", "assistant-llm"},
            {"stream", true},
            {"max_tokens", tokens},
            {"messages", {{{"role", "user"}, {"content", prompt}}}}}
            .dump();
    request.on_event = on_event;
    client_response answer = send_request(request);
    const std::string id = answer.headers["Bergamotusher-Request-Id"];
    request.method = "GET";
    request.path = "/v1/requests/" + id;
    request.body.clear();
    while (!answer.done && answer.error.empty() && !id.empty() &&
           !entries.empty())
    {
        if (answer.moved_to.empty())
        {
            entries.erase(entries.begin());
            if (entries.empty())
                break;
        }
        request.address =
            answer.moved_to.empty() ? entries.front() : answer.moved_to;
        request.headers["Last-Event-ID"] = std::to_string(
            answer.event_ids.empty() ? 0 : answer.event_ids.back());
        append_continuation(answer, send_request(request));
    }
    return answer;
}

std::string expected_text(unsigned tokens)
{
    std::string text;
    for (unsigned i = 0; i < tokens; ++i)
        text += "t" + std::to_string(i) + " ";
    return text;
}

std::string joined_text(const client_response& answer)
{
    std::string text;
    for (const std::string& text_part : answer.texts)
        text += text_part;
    return text;
}

} // namespace bergamotusher::tests
