// A fake model engine with the streaming protocol of OpenAI: versions, a prefix
// cache of limited size, priorities, resumed requests, cancellation, control
// orders with or without fencing, and failures selected by flags. The text of
// token number i is "t<i> ".
#include "common/announcer.hpp"
#include "common/fake_http.hpp"

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <fstream>
#include <iostream>
#include <list>
#include <mutex>
#include <set>
#include <thread>
#include <unistd.h>

using namespace bergamotusher::fakes;
using nlohmann::json;

namespace
{

// The prefix cache holds blocks of this many characters; a token has four.
constexpr std::size_t block_characters = 64;
constexpr int default_tokens = 16;

// As set by the flags.
struct engine_options
{
    std::string id, service, version, address, domain, instance_class, market;
    double price = 1;
    unsigned slots = 8;
    unsigned long incarnation = 1;
    bool ignore_fencing = false;
    int first_token_ms = 5;
    int gap_ms = 5;
    int prefill_us_per_token = 0;
    std::size_t cache_blocks = 4096;
    std::string crash_on;
    int fail_percent = 0;
    std::string fail_version;
    std::string run_log;
};

// The state shared by all connections.
struct engine_state
{
    std::mutex mutex;
    std::condition_variable slot_freed;
    unsigned running = 0;
    /// Priority and arrival number of the requests that wait for a slot.
    std::multiset<std::pair<int, unsigned long>> waiting;
    unsigned long next_sequence = 0;
    unsigned long received_requests = 0;
    /// Hashes of the cached prefixes, the most recently used first.
    std::list<std::size_t> cache;
    /// The highest fencing number (term, index) of the accepted orders.
    std::pair<long, long> highest_fence{0, 0};
    unsigned long load_sequence = 0;
};

engine_options options;
engine_state state;

// Waits for a slot. The lowest priority number is served first, and requests of
// one priority in the order of their arrival.
void acquire_slot(int priority)
{
    std::unique_lock lock(state.mutex);
    const std::pair<int, unsigned long> own_position{
        priority, state.next_sequence++};
    state.waiting.insert(own_position);
    state.slot_freed.wait(
        lock,
        [&]
        {
            return state.running < options.slots &&
                   *state.waiting.begin() == own_position;
        });
    state.waiting.erase(own_position);
    ++state.running;
    state.slot_freed.notify_all();
}

void release_slot()
{
    const std::lock_guard lock(state.mutex);
    --state.running;
    state.slot_freed.notify_all();
}

// Returns how many of the prompt's tokens were cached, and caches the prompt.
int look_up_and_cache(const std::string& prompt)
{
    const std::lock_guard lock(state.mutex);
    int cached_blocks = 0;
    bool prefix_is_cached = true;
    for (std::size_t end = block_characters; end <= prompt.size();
         end += block_characters)
    {
        const std::size_t hash =
            std::hash<std::string_view>{}({prompt.data(), end});
        const auto position =
            std::find(state.cache.begin(), state.cache.end(), hash);
        prefix_is_cached = prefix_is_cached && position != state.cache.end();
        cached_blocks += prefix_is_cached ? 1 : 0;
        if (position != state.cache.end())
            state.cache.erase(position);
        state.cache.push_front(hash);
    }
    while (state.cache.size() > options.cache_blocks)
        state.cache.pop_back();
    return cached_blocks * static_cast<int>(block_characters / 4);
}

std::string content_event(const json& delta, const json& finish_reason)
{
    return "data: " +
           json{
               {"object", "chat.completion.chunk"},
               {"choices",
                {{{"index", 0},
                  {"delta", delta},
                  {"finish_reason", finish_reason}}}}}
               .dump() +
           "\n\n";
}

std::string usage_event(int prompt_tokens, int cached, int completion_tokens)
{
    return "data: " +
           json{
               {"choices", json::array()},
               {"usage",
                {{"prompt_tokens", prompt_tokens},
                 {"completion_tokens", completion_tokens},
                 {"prompt_tokens_details", {{"cached_tokens", cached}}}}}}
               .dump() +
           "\n\ndata: [DONE]\n\n";
}

struct prompt
{
    std::string text;
    /// The number of tokens that earlier attempts delivered, of a request that
    /// is resumed.
    int delivered_tokens = 0;
};

prompt read_prompt(const json& body)
{
    prompt result;
    for (const json& message : body.at("messages"))
        result.text += message.at("content").get<std::string>() + "\n";
    if (body.value("continue_final_message", false))
    {
        const auto last =
            body.at("messages").back().at("content").get<std::string>();
        result.delivered_tokens =
            static_cast<int>(std::count(last.begin(), last.end(), ' '));
    }
    return result;
}

void append_run_record(const std::string& attempt, const prompt& parsed_prompt)
{
    if (options.run_log.empty())
        return;
    std::ofstream(options.run_log, std::ios::app)
        << options.id << ' ' << attempt << ' ' << parsed_prompt.delivered_tokens
        << std::endl;
}

void sleep_milliseconds(int milliseconds)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

void generate(
    const json& body,
    const prompt& parsed_prompt,
    const std::string& id,
    response_writer& writer)
{
    const int prompt_tokens =
        static_cast<int>(parsed_prompt.text.size() / 4 + 1);
    const int cached =
        std::min(look_up_and_cache(parsed_prompt.text), prompt_tokens);
    sleep_milliseconds(
        options.first_token_ms +
        options.prefill_us_per_token * (prompt_tokens - cached) / 1000);
    const int token_count = body.value("max_tokens", default_tokens);
    if (!writer.begin_chunked("text/event-stream", id))
        return;
    for (int i = 0; i < token_count; ++i)
    {
        if (i > 0)
            sleep_milliseconds(options.gap_ms);
        const std::string text =
            "t" + std::to_string(parsed_prompt.delivered_tokens + i) + " ";
        if (!writer.send_chunk(content_event({{"content", text}}, nullptr)))
            return;
    }
    writer.send_chunk(content_event(json::object(), "stop"));
    writer.send_chunk(usage_event(prompt_tokens, cached, token_count));
    writer.end_chunked();
}

std::string current_version()
{
    const std::lock_guard lock(state.mutex);
    return options.version;
}

void handle_completion(const fake_request& request, response_writer& writer)
{
    const std::string id = request.headers.count("x-request-id") > 0
                               ? request.headers.at("x-request-id")
                               : "";
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("messages"))
    {
        writer.send_response(
            400, "application/json", R"({"error":"bad body"})", id);
        return;
    }
    const prompt parsed_prompt = read_prompt(body);
    unsigned long request_number = 0;
    {
        const std::lock_guard lock(state.mutex);
        request_number = state.received_requests++;
    }
    append_run_record(id, parsed_prompt);
    if (!options.crash_on.empty() &&
        parsed_prompt.text.find(options.crash_on) != std::string::npos)
        _exit(1);
    const bool bad_version = !options.fail_version.empty() &&
                             current_version() == options.fail_version;
    if (bad_version ||
        static_cast<int>(request_number % 100) < options.fail_percent)
    {
        writer.send_response(
            500, "application/json", R"({"error":"failed"})", id);
        return;
    }
    acquire_slot(body.value("priority", 1));
    generate(body, parsed_prompt, id, writer);
    release_slot();
}

void handle_order(const fake_request& request, response_writer& writer)
{
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("fence"))
    {
        writer.send_response(
            400, "application/json", R"({"error":"bad order"})");
        return;
    }
    const std::pair<long, long> fence{
        body["fence"].value("term", 0L), body["fence"].value("index", 0L)};
    const std::lock_guard lock(state.mutex);
    if (!options.ignore_fencing && fence < state.highest_fence)
    {
        writer.send_response(409, "application/json", R"({"error":"fenced"})");
        return;
    }
    state.highest_fence = std::max(state.highest_fence, fence);
    if (body.value("kind", "") == "load_version")
        options.version = body.value("target", options.version);
    writer.send_response(200, "application/json", R"({"done":true})");
}

void handle(const fake_request& request, response_writer& writer)
{
    if (request.path == "/v1/chat/completions")
        return handle_completion(request, writer);
    if (request.path == "/v1/orders")
        return handle_order(request, writer);
    writer.send_response(404, "application/json", "{}");
}

json announcement()
{
    const std::lock_guard lock(state.mutex);
    return {
        {"instance", options.id},
        {"incarnation", options.incarnation},
        {"kind", "engine"},
        {"service", options.service},
        {"version", options.version},
        {"address", options.address},
        {"failure_domain", options.domain},
        {"instance_class", options.instance_class},
        {"market", options.market},
        {"price_per_hour", options.price},
        {"slots", options.slots},
        {"honours_fencing", !options.ignore_fencing}};
}

json events()
{
    const std::lock_guard lock(state.mutex);
    return {
        {"load",
         {{"sequence", ++state.load_sequence},
          {"running", state.running},
          {"queued", state.waiting.size()},
          {"cache_used",
           static_cast<double>(state.cache.size()) /
               static_cast<double>(options.cache_blocks)},
          {"tokens_per_second", 0}}}};
}

bool is_busy()
{
    const std::lock_guard lock(state.mutex);
    return state.running > 0 || !state.waiting.empty();
}

cxxopts::Options flags()
{
    cxxopts::Options flag_set("fake_engine", "A fake model engine.");
    auto add = flag_set.add_options();
    const auto text = [](const char* fallback)
    {
        return cxxopts::value<std::string>()->default_value(fallback);
    };
    const auto number = [](const char* fallback)
    {
        return cxxopts::value<int>()->default_value(fallback);
    };
    add("id", "instance", text("engine-1"));
    add("service", "service", text("assistant-llm"));
    add("service-version", "version", text("v1"));
    add("address", "IP:PORT", text("127.0.0.1:8100"));
    add("admins", "IP:PORT,...", text(""));
    add("token-file", "bearer token for announcing", text(""));
    add("domain", "failure domain", text("suva"));
    add("class", "instance class", text("small"));
    add("market", "reclaimable or on_demand", text("reclaimable"));
    add("price",
        "price per hour",
        cxxopts::value<double>()->default_value("1"));
    add("slots", "concurrent requests", number("8"));
    add("incarnation", "incarnation number", number("1"));
    add("first-token-ms", "time to the first token, in ms", number("5"));
    add("gap-ms", "time between tokens, in ms", number("5"));
    add("prefill-us", "time per uncached prompt token, in us", number("0"));
    add("cache-blocks",
        "capacity of the prefix cache, in blocks",
        number("4096"));
    add("fail-percent",
        "percentage of requests that fail with 500",
        number("0"));
    add("fail-version", "version whose requests all fail with 500", text(""));
    add("crash-on", "exit at a prompt that contains this text", text(""));
    add("run-log",
        "file to which a line is appended for each request",
        text(""));
    add("ignore-fencing", "accept orders with old fencing numbers");
    return flag_set;
}

void read_flags(const cxxopts::ParseResult& from)
{
    options.id = from["id"].as<std::string>();
    options.service = from["service"].as<std::string>();
    options.version = from["service-version"].as<std::string>();
    options.address = from["address"].as<std::string>();
    options.domain = from["domain"].as<std::string>();
    options.instance_class = from["class"].as<std::string>();
    options.market = from["market"].as<std::string>();
    options.price = from["price"].as<double>();
    options.slots = static_cast<unsigned>(from["slots"].as<int>());
    options.incarnation =
        static_cast<unsigned long>(from["incarnation"].as<int>());
    options.first_token_ms = from["first-token-ms"].as<int>();
    options.gap_ms = from["gap-ms"].as<int>();
    options.prefill_us_per_token = from["prefill-us"].as<int>();
    options.cache_blocks =
        static_cast<std::size_t>(from["cache-blocks"].as<int>());
    options.fail_percent = from["fail-percent"].as<int>();
    options.fail_version = from["fail-version"].as<std::string>();
    options.crash_on = from["crash-on"].as<std::string>();
    options.run_log = from["run-log"].as<std::string>();
    options.ignore_fencing = from.count("ignore-fencing") > 0;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        const auto parsed = flags().parse(argc, argv);
        read_flags(parsed);
        std::signal(SIGPIPE, SIG_IGN);
        leave_on_signal(is_busy);
        start_announcing(
            {split_list(parsed["admins"].as<std::string>()),
             read_token(parsed["token-file"].as<std::string>()),
             options.id,
             announcement,
             events});
        serve(options.address, handle);
    }
    catch (const std::exception& error)
    {
        std::cerr << "fake_engine: " << error.what() << "\n";
        return 2;
    }
}
