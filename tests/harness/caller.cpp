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

// One call on one connection, ended by a time limit.
class running_call
{
public:
    explicit running_call(const caller_call& what) : what_(what) {}

    caller_answer run()
    {
        const auto target = parse_endpoint(what_.address);
        if (!target)
            return answer_;
        stream_.expires_after(
            std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::duration<double>(what_.seconds)));
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
        request_.method_string(what_.method);
        request_.target(what_.path);
        request_.set(http::field::host, what_.address);
        request_.set(http::field::authorization, "Bearer " + what_.key);
        for (const auto& [name, value] : what_.headers)
            request_.set(name, value);
        request_.body() = what_.body;
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
            return finish();
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
                if (take_events())
                    read_body();
            });
    }

    bool take_events()
    {
        if (answer_.headers["Content-Type"] != "text/event-stream")
            return true;
        for (std::size_t end = answer_.body.find("\n\n", taken_);
             end != std::string::npos;
             end = answer_.body.find("\n\n", taken_))
        {
            take_event(answer_.body.substr(taken_, end - taken_));
            taken_ = end + 2;
            if (what_.on_event && !what_.on_event(answer_))
                return false;
        }
        return true;
    }

    void take_event(const std::string& event)
    {
        const auto field = [&](const std::string& name)
        {
            const std::size_t at = event.find(name + ": ");
            if (at == std::string::npos)
                return std::string();
            const std::size_t from = at + name.size() + 2;
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
            take_choice(value, field("id"));
    }

    void take_choice(const json& value, const std::string& id)
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

    caller_call what_;
    caller_answer answer_;
    asio::io_context loop_;
    beast::tcp_stream stream_{loop_};
    http::request<http::string_body> request_;
    beast::flat_buffer buffer_;
    http::response_parser<http::buffer_body> parser_;
    std::array<char, 4096> chunk_{};
    std::size_t taken_ = 0;
};

void append(caller_answer& whole, caller_answer&& part)
{
    whole.status = part.status;
    whole.done = part.done;
    whole.moved_to = part.moved_to;
    whole.error = part.error;
    whole.finish_reason = part.finish_reason;
    whole.texts.insert(whole.texts.end(), part.texts.begin(), part.texts.end());
    whole.event_ids.insert(
        whole.event_ids.end(), part.event_ids.begin(), part.event_ids.end());
}

} // namespace

caller_answer call(const caller_call& what)
{
    return running_call(what).run();
}

caller_answer
ask(std::vector<std::string> entries,
    const std::string& key,
    const std::string& prompt,
    unsigned tokens,
    const std::function<bool(const caller_answer&)>& on_event)
{
    caller_call what;
    what.address = entries.front();
    what.method = "POST";
    what.path = "/v1/chat/completions";
    what.key = key;
    what.body =
        json{
            {"model", "assistant-llm"},
            {"stream", true},
            {"max_tokens", tokens},
            {"messages", {{{"role", "user"}, {"content", prompt}}}}}
            .dump();
    what.on_event = on_event;
    caller_answer whole = call(what);
    const std::string id = whole.headers["Bergamotusher-Request-Id"];
    what.method = "GET";
    what.path = "/v1/requests/" + id;
    what.body.clear();
    while (!whole.done && whole.error.empty() && !id.empty() &&
           !entries.empty())
    {
        if (whole.moved_to.empty())
        {
            entries.erase(entries.begin());
            if (entries.empty())
                break;
        }
        what.address =
            whole.moved_to.empty() ? entries.front() : whole.moved_to;
        what.headers["Last-Event-ID"] = std::to_string(
            whole.event_ids.empty() ? 0 : whole.event_ids.back());
        append(whole, call(what));
    }
    return whole;
}

std::string expected_text(unsigned tokens)
{
    std::string text;
    for (unsigned i = 0; i < tokens; ++i)
        text += "t" + std::to_string(i) + " ";
    return text;
}

std::string joined(const caller_answer& answer)
{
    std::string text;
    for (const std::string& one : answer.texts)
        text += one;
    return text;
}

} // namespace bergamotusher::tests
