// Measures the time of one step of the request life cycle and the memory of one
// open stream, with 100 and with 1,000 open streams. Prints `name value unit`
// lines.
#include "serving/life_cycle.hpp"

#include <iostream>
#include <malloc.h>

using namespace bergamotusher;

namespace
{

constexpr std::size_t prompt_bytes = 2'000;
constexpr std::uint64_t tokens_per_stream = 200;
constexpr std::size_t upstream_count = 20;

struct serving_fixture
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

serving_fixture make_fixture()
{
    serving_fixture fixture;
    fixture.state.options.node = {"entry"};
    fixture.context.config = make_configuration();
    fixture.context.choose = choose;
    return fixture;
}

// Passes one input to the life cycle and notes the attempts that it dispatches.
void apply_input(serving_fixture& fixture, const serving_input& input)
{
    const auto actions =
        serving::step(fixture.state, input, fixture.context, fixture.now);
    fixture.actions += actions.size();
    for (const serving_action& action : actions)
        if (const auto* sent = std::get_if<dispatch>(&action))
            fixture.attempts.push_back(sent->attempt);
}

caller_request make_request(std::size_t index)
{
    caller_request request;
    request.id = {"request-" + std::to_string(index)};
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

double mean_microseconds(wall_clock::time_point start_time, std::uint64_t count)
{
    const std::chrono::duration<double, std::micro> elapsed =
        wall_clock::now() - start_time;
    return elapsed.count() / static_cast<double>(count);
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

void deliver_tokens(serving_fixture& fixture)
{
    for (std::uint64_t index = 0; index < tokens_per_stream; ++index)
    {
        fixture.now += 20ms;
        for (const attempt_id& attempt : fixture.attempts)
            apply_input(fixture, attempt_token{attempt, index, " token"});
    }
}

void finish_all(serving_fixture& fixture)
{
    for (const attempt_id& attempt : fixture.attempts)
    {
        attempt_finished finished;
        finished.attempt = attempt;
        finished.finish_reason = "stop";
        finished.pieces = tokens_per_stream;
        apply_input(fixture, finished);
    }
}

double measure_tick_microseconds(serving_fixture& fixture)
{
    constexpr std::uint64_t ticks = 1'000;
    const auto start_time = wall_clock::now();
    for (std::uint64_t i = 0; i < ticks; ++i)
    {
        fixture.now += 1us;
        apply_input(fixture, tick{});
    }
    return mean_microseconds(start_time, ticks);
}

void measure(std::size_t streams)
{
    serving_fixture fixture = make_fixture();
    std::vector<serving_input> arrivals;
    for (std::size_t i = 0; i < streams; ++i)
        arrivals.emplace_back(request_arrived{make_request(i)});

    const std::size_t bytes_before = heap_bytes();
    auto start_time = wall_clock::now();
    for (const serving_input& arrival : arrivals)
        apply_input(fixture, arrival);
    print("arrival", streams, mean_microseconds(start_time, streams), "us");

    start_time = wall_clock::now();
    deliver_tokens(fixture);
    print(
        "token",
        streams,
        mean_microseconds(start_time, streams * tokens_per_stream),
        "us");
    print("tick", streams, measure_tick_microseconds(fixture), "us");
    print(
        "stream_memory",
        streams,
        static_cast<double>(heap_bytes() - bytes_before) /
            static_cast<double>(streams),
        "bytes");

    start_time = wall_clock::now();
    finish_all(fixture);
    print("end", streams, mean_microseconds(start_time, streams), "us");
    print(
        "kept_answer_memory",
        streams,
        static_cast<double>(heap_bytes() - bytes_before) /
            static_cast<double>(streams),
        "bytes");
}

// Measures the time per attempt that is dispatched again after the loss of an
// upstream.
void measure_upstream_loss(std::size_t streams)
{
    serving_fixture fixture = make_fixture();
    for (std::size_t i = 0; i < streams; ++i)
        apply_input(fixture, request_arrived{make_request(i)});
    deliver_tokens(fixture);
    fixture.attempts.clear();
    const auto start_time = wall_clock::now();
    apply_input(fixture, upstream_gone{{"engine0"}, true});
    print(
        "move",
        streams,
        mean_microseconds(
            start_time, std::max<std::size_t>(fixture.attempts.size(), 1)),
        "us");
}

} // namespace

int main()
{
    for (const std::size_t streams : {100U, 1'000U})
    {
        measure(streams);
        measure_upstream_loss(streams);
    }
}
