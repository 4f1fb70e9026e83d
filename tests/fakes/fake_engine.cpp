// A stand-in for a model engine: OpenAI-shaped streaming with versions, a
// limited prefix cache, priorities, resume, cancel, orders with or without
// fencing, and failures by flag. Token number i is the text "t<i> ".
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

constexpr std::size_t block_characters = 64;
constexpr int default_tokens = 16;

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

// What all connections share.
struct engine_state
{
    std::mutex mutex;
    std::condition_variable freed;
    unsigned running = 0;
    std::multiset<std::pair<int, unsigned long>> waiting;
    unsigned long next_ticket = 0;
    unsigned long served = 0;
    std::list<std::size_t> cache;
    std::pair<long, long> fence{0, 0};
    unsigned long load_sequence = 0;
};

engine_options options;
engine_state state;

// Waits for a slot; lower priority numbers go first.
void take_slot(int priority)
{
    std::unique_lock lock(state.mutex);
    const std::pair<int, unsigned long> me{priority, state.next_ticket++};
    state.waiting.insert(me);
    state.freed.wait(
        lock,
        [&] {
            return state.running < options.slots &&
                   *state.waiting.begin() == me;
        });
    state.waiting.erase(me);
    ++state.running;
    state.freed.notify_all();
}

void free_slot()
{
    const std::lock_guard lock(state.mutex);
    --state.running;
    state.freed.notify_all();
}

// How many of the prompt's tokens were cached; caches the prompt.
int use_cache(const std::string& prompt)
{
    const std::lock_guard lock(state.mutex);
    int hits = 0;
    bool hit = true;
    for (std::size_t end = block_characters; end <= prompt.size();
         end += block_characters)
    {
        const std::size_t hash =
            std::hash<std::string_view>{}({prompt.data(), end});
        const auto found =
            std::find(state.cache.begin(), state.cache.end(), hash);
        hit = hit && found != state.cache.end();
        hits += hit ? 1 : 0;
        if (found != state.cache.end())
            state.cache.erase(found);
        state.cache.push_front(hash);
    }
    while (state.cache.size() > options.cache_blocks)
        state.cache.pop_back();
    return hits * static_cast<int>(block_characters / 4);
}

std::string chunk(const json& delta, const json& reason)
{
    return "data: " +
           json{
               {"object", "chat.completion.chunk"},
               {"choices",
                {{{"index", 0}, {"delta", delta}, {"finish_reason", reason}}}}}
               .dump() +
           "\n\n";
}

std::string usage_chunk(int prompt_tokens, int cached, int answered)
{
    return "data: " +
           json{
               {"choices", json::array()},
               {"usage",
                {{"prompt_tokens", prompt_tokens},
                 {"completion_tokens", answered},
                 {"prompt_tokens_details", {{"cached_tokens", cached}}}}}}
               .dump() +
           "\n\ndata: [DONE]\n\n";
}

struct prompt
{
    std::string text;
    /// Tokens that an earlier attempt delivered.
    int delivered = 0;
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
        result.delivered =
            static_cast<int>(std::count(last.begin(), last.end(), ' '));
    }
    return result;
}

void log_run(const std::string& attempt, const prompt& what)
{
    if (options.run_log.empty())
        return;
    std::ofstream(options.run_log, std::ios::app)
        << options.id << ' ' << attempt << ' ' << what.delivered << std::endl;
}

void pause(int milliseconds)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

void generate(
    const json& body,
    const prompt& what,
    const std::string& id,
    fake_answer& to)
{
    const int prompt_tokens = static_cast<int>(what.text.size() / 4 + 1);
    const int cached = std::min(use_cache(what.text), prompt_tokens);
    pause(
        options.first_token_ms +
        options.prefill_us_per_token * (prompt_tokens - cached) / 1000);
    const int count = body.value("max_tokens", default_tokens);
    if (!to.begin("text/event-stream", id))
        return;
    for (int i = 0; i < count; ++i)
    {
        if (i > 0)
            pause(options.gap_ms);
        const std::string text = "t" + std::to_string(what.delivered + i) + " ";
        if (!to.piece(chunk({{"content", text}}, nullptr)))
            return;
    }
    to.piece(chunk(json::object(), "stop"));
    to.piece(usage_chunk(prompt_tokens, cached, count));
    to.end();
}

std::string current_version()
{
    const std::lock_guard lock(state.mutex);
    return options.version;
}

void complete(const fake_request& request, fake_answer& to)
{
    const std::string id = request.headers.count("x-request-id") > 0
                               ? request.headers.at("x-request-id")
                               : "";
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("messages"))
    {
        to.whole(400, "application/json", R"({"error":"bad body"})", id);
        return;
    }
    const prompt what = read_prompt(body);
    unsigned long number = 0;
    {
        const std::lock_guard lock(state.mutex);
        number = state.served++;
    }
    log_run(id, what);
    if (!options.crash_on.empty() &&
        what.text.find(options.crash_on) != std::string::npos)
        _exit(1);
    const bool bad_version = !options.fail_version.empty() &&
                             current_version() == options.fail_version;
    if (bad_version || static_cast<int>(number % 100) < options.fail_percent)
    {
        to.whole(500, "application/json", R"({"error":"failed"})", id);
        return;
    }
    take_slot(body.value("priority", 1));
    generate(body, what, id, to);
    free_slot();
}

void order(const fake_request& request, fake_answer& to)
{
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("fence"))
    {
        to.whole(400, "application/json", R"({"error":"bad order"})");
        return;
    }
    const std::pair<long, long> fence{
        body["fence"].value("term", 0L), body["fence"].value("index", 0L)};
    const std::lock_guard lock(state.mutex);
    if (!options.ignore_fencing && fence < state.fence)
    {
        to.whole(409, "application/json", R"({"error":"fenced"})");
        return;
    }
    state.fence = std::max(state.fence, fence);
    if (body.value("kind", "") == "load_version")
        options.version = body.value("target", options.version);
    to.whole(200, "application/json", R"({"done":true})");
}

void handle(const fake_request& request, fake_answer& to)
{
    if (request.path == "/v1/chat/completions")
        return complete(request, to);
    if (request.path == "/v1/orders")
        return order(request, to);
    to.whole(404, "application/json", "{}");
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
    cxxopts::Options all("fake_engine", "A stand-in for a model engine.");
    auto add = all.add_options();
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
    add("price", "an hour", cxxopts::value<double>()->default_value("1"));
    add("slots", "requests at once", number("8"));
    add("incarnation", "start number", number("1"));
    add("first-token-ms", "time to the first token", number("5"));
    add("gap-ms", "time between tokens", number("5"));
    add("prefill-us", "time for each uncached prompt token", number("0"));
    add("cache-blocks", "prefix blocks that are kept", number("4096"));
    add("fail-percent", "share answered with 500", number("0"));
    add("fail-version", "a version that answers 500", text(""));
    add("crash-on", "end the process on prompts with this text", text(""));
    add("run-log", "file with a line for each request that ran", text(""));
    add("ignore-fencing", "take orders with old fencing numbers");
    return all;
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
