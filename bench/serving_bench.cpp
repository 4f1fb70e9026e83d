// Time of one step of the request life cycle, and memory of one open stream,
// with few and with many streams open. Prints `name value unit` lines.
#include "serving/life_cycle.hpp"

#include <iostream>
#include <malloc.h>

using namespace bergamotusher;

namespace
{

constexpr std::size_t prompt_bytes = 2'000;
constexpr std::uint64_t tokens_per_stream = 200;
constexpr std::size_t upstream_count = 20;

struct bench
{
    serving::life_cycle state;
    serving::serving_context context;
    time_point now = time_point{} + 1h;
    std::vector<attempt_id> attempts;
    std::size_t actions = 0;
};

std::shared_ptr<configuration> make_configuration()
{
    auto config = std::make_shared<configuration>();
    work_class chat;
    chat.name = {"chat"};
    config->classes[chat.name] = chat;
    service engine;
    engine.name = {"llm"};
    engine.default_class = chat.name;
    config->services[engine.name] = engine;
    return config;
}

choice_result choose(const choice_request& question, time_point /*now*/)
{
    choice result;
    result.id = {"engine" + std::to_string(question.draw % upstream_count)};
    result.version = {"v1"};
    result.address = "127.0.0.1:8000";
    result.domain = {"suva"};
    return result;
}

bench make_bench()
{
    bench b;
    b.state.options.node = {"entry"};
    b.context.config = make_configuration();
    b.context.choose = choose;
    return b;
}

void feed(bench& b, const serving_input& input)
{
    const auto actions = serving::step(b.state, input, b.context, b.now);
    b.actions += actions.size();
    for (const serving_action& action : actions)
        if (const auto* sent = std::get_if<dispatch>(&action))
            b.attempts.push_back(sent->attempt);
}

caller_request request_of(std::size_t number)
{
    caller_request request;
    request.id = {"request-" + std::to_string(number)};
    request.account = {"binder"};
    request.service = {"llm"};
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.stream = true;
    request.body = R"({"messages":[{"role":"user","content":")" +
                   std::string(prompt_bytes, 'x') + R"("}]})";
    return request;
}

std::size_t heap_bytes()
{
    return mallinfo2().uordblks;
}

using wall_clock = std::chrono::steady_clock;

double micros_each(wall_clock::time_point since, std::uint64_t count)
{
    const std::chrono::duration<double, std::micro> span =
        wall_clock::now() - since;
    return span.count() / static_cast<double>(count);
}

void print(
    const std::string& name,
    std::size_t streams,
    double value,
    const char* unit)
{
    std::cout << "serving." << name << '.' << streams << ' ' << value << ' '
              << unit << '\n';
}

void give_tokens(bench& b)
{
    for (std::uint64_t index = 0; index < tokens_per_stream; ++index)
    {
        b.now += 20ms;
        for (const attempt_id& attempt : b.attempts)
            feed(b, attempt_token{attempt, index, " token"});
    }
}

void end_all(bench& b)
{
    for (const attempt_id& attempt : b.attempts)
    {
        attempt_finished end;
        end.attempt = attempt;
        end.finish_reason = "stop";
        end.pieces = tokens_per_stream;
        feed(b, end);
    }
}

double tick_micros(bench& b)
{
    constexpr std::uint64_t ticks = 1'000;
    const auto start = wall_clock::now();
    for (std::uint64_t i = 0; i < ticks; ++i)
    {
        b.now += 1us;
        feed(b, tick{});
    }
    return micros_each(start, ticks);
}

void measure(std::size_t streams)
{
    bench b = make_bench();
    std::vector<serving_input> arrivals;
    for (std::size_t i = 0; i < streams; ++i)
        arrivals.emplace_back(request_arrived{request_of(i)});

    const std::size_t before = heap_bytes();
    auto start = wall_clock::now();
    for (const serving_input& arrival : arrivals)
        feed(b, arrival);
    print("arrival", streams, micros_each(start, streams), "us");

    start = wall_clock::now();
    give_tokens(b);
    print(
        "token",
        streams,
        micros_each(start, streams * tokens_per_stream),
        "us");
    print("tick", streams, tick_micros(b), "us");
    print(
        "stream_memory",
        streams,
        static_cast<double>(heap_bytes() - before) /
            static_cast<double>(streams),
        "bytes");

    start = wall_clock::now();
    end_all(b);
    print("end", streams, micros_each(start, streams), "us");
    print(
        "kept_answer_memory",
        streams,
        static_cast<double>(heap_bytes() - before) /
            static_cast<double>(streams),
        "bytes");
}

void measure_loss(std::size_t streams)
{
    bench b = make_bench();
    for (std::size_t i = 0; i < streams; ++i)
        feed(b, request_arrived{request_of(i)});
    give_tokens(b);
    b.attempts.clear();
    const auto start = wall_clock::now();
    feed(b, upstream_gone{{"engine0"}, true});
    print(
        "move",
        streams,
        micros_each(start, std::max<std::size_t>(b.attempts.size(), 1)),
        "us");
}

} // namespace

int main()
{
    for (const std::size_t streams : {100U, 1'000U})
    {
        measure(streams);
        measure_loss(streams);
    }
}
