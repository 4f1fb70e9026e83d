// A stand-in for a plain service: an order desk. Each order it runs becomes a
// line of a file, synced before the answer, so that double runs show.
#include "common/announcer.hpp"
#include "common/fake_http.hpp"

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <iostream>
#include <mutex>
#include <thread>
#include <unistd.h>

using namespace bergamotusher::fakes;
using nlohmann::json;

namespace
{

struct desk_options
{
    std::string id, service, version, address, domain, orders;
    int delay_ms = 0;
    int crash_after = 0;
    bool refuse = false;
};

desk_options options;
std::mutex file_mutex;
std::atomic<int> runs{0};
std::atomic<int> open_requests{0};

void write_order(const std::string& line)
{
    const std::lock_guard lock(file_mutex);
    const int file =
        ::open(options.orders.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    const std::string whole = line + "\n";
    if (file < 0 || ::write(file, whole.data(), whole.size()) !=
                        static_cast<ssize_t>(whole.size()))
        std::cerr << "fake_desk: cannot write " << options.orders << "\n";
    ::fsync(file);
    ::close(file);
}

std::string field(const fake_request& request, const char* name)
{
    const auto found = request.headers.find(name);
    return found == request.headers.end() ? std::string() : found->second;
}

void place_order(const fake_request& request, fake_answer& to)
{
    const std::string id = field(request, "x-request-id");
    if (options.refuse)
    {
        to.whole(429, "application/json", R"({"error":"busy"})", id);
        return;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(options.delay_ms));
    write_order(
        options.id + " " + field(request, "idempotency-key") + " " +
        request.body);
    const int number = ++runs;
    if (options.crash_after > 0 && number >= options.crash_after)
        _exit(1);
    const json answer{{"order", number}, {"desk", options.id}};
    to.whole(201, "application/json", answer.dump(), id);
}

void handle(const fake_request& request, fake_answer& to)
{
    ++open_requests;
    if (request.method == "POST" && request.path.rfind("/orders", 0) == 0)
        place_order(request, to);
    else
        to.whole(
            200,
            "application/json",
            json{{"desk", options.id}, {"path", request.path}}.dump(),
            field(request, "x-request-id"));
    --open_requests;
}

json announcement()
{
    return {
        {"instance", options.id},
        {"incarnation", 1},
        {"kind", "plain"},
        {"service", options.service},
        {"version", options.version},
        {"address", options.address},
        {"failure_domain", options.domain},
        {"instance_class", "small"},
        {"market", "reclaimable"},
        {"price_per_hour", 0.5},
        {"slots", 32},
        {"honours_fencing", false}};
}

json events()
{
    static std::atomic<unsigned long> sequence{0};
    return {
        {"load",
         {{"sequence", ++sequence},
          {"running", open_requests.load()},
          {"queued", 0},
          {"cache_used", 0},
          {"tokens_per_second", 0}}}};
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        cxxopts::Options all("fake_desk", "A stand-in for an order desk.");
        auto add = all.add_options();
        const auto text = [](const char* fallback)
        {
            return cxxopts::value<std::string>()->default_value(fallback);
        };
        add("id", "instance", text("desk-1"));
        add("service", "service", text("order-desk"));
        add("service-version", "version", text("v1"));
        add("address", "IP:PORT", text("127.0.0.1:8200"));
        add("admins", "IP:PORT,...", text(""));
        add("token-file", "bearer token for announcing", text(""));
        add("domain", "failure domain", text("suva"));
        add("orders", "file with a line for each order run", text("orders"));
        add("delay-ms",
            "time an order takes",
            cxxopts::value<int>()->default_value("0"));
        add("crash-after",
            "end the process after this many orders, before the answer",
            cxxopts::value<int>()->default_value("0"));
        add("refuse", "answer every order with 429");
        const auto parsed = all.parse(argc, argv);
        options = {
            parsed["id"].as<std::string>(),
            parsed["service"].as<std::string>(),
            parsed["service-version"].as<std::string>(),
            parsed["address"].as<std::string>(),
            parsed["domain"].as<std::string>(),
            parsed["orders"].as<std::string>(),
            parsed["delay-ms"].as<int>(),
            parsed["crash-after"].as<int>(),
            parsed.count("refuse") > 0};
        std::signal(SIGPIPE, SIG_IGN);
        leave_on_signal([] { return open_requests > 0; });
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
        std::cerr << "fake_desk: " << error.what() << "\n";
        return 2;
    }
}
