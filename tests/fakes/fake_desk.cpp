// A fake of a plain service that takes orders. Each executed order is appended
// as a line to a file that is synced before the response, so that a test finds
// orders that were executed twice.
#include "common/announcer.hpp"
#include "common/endless_answer.hpp"
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

// As set by the flags.
struct desk_options
{
    std::string id, service, version, address, domain, orders;
    int delay_ms = 0;
    int crash_after = 0;
    bool refuse = false;
};

const std::string endless_path = "/endless/";

desk_options options;
std::mutex record_mutex;
std::atomic<int> executed_orders{0};
std::atomic<int> open_requests{0};

void append_order_record(const std::string& line)
{
    const std::lock_guard lock(record_mutex);
    const int file =
        ::open(options.orders.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    const std::string record = line + "\n";
    if (file < 0 || ::write(file, record.data(), record.size()) !=
                        static_cast<ssize_t>(record.size()))
        std::cerr << "fake_desk: cannot write " << options.orders << "\n";
    ::fsync(file);
    ::close(file);
}

std::string header_field(const fake_request& request, const char* name)
{
    const auto found = request.headers.find(name);
    return found == request.headers.end() ? std::string() : found->second;
}

void place_order(const fake_request& request, response_writer& writer)
{
    const std::string id = header_field(request, "x-request-id");
    if (options.refuse)
    {
        writer.send_response(
            429, "application/json", R"({"error":"busy"})", id);
        return;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(options.delay_ms));
    append_order_record(
        options.id + " " + header_field(request, "idempotency-key") + " " +
        request.body);
    const int order_number = ++executed_orders;
    if (options.crash_after > 0 && order_number >= options.crash_after)
        _exit(1);
    const json body{{"order", order_number}, {"desk", options.id}};
    writer.send_response(201, "application/json", body.dump(), id);
}

/// Answers as the faulty upstream that the path names, until the connection is
/// closed.
void send_endless(const fake_request& request, response_writer& writer)
{
    const std::string name = request.path.substr(endless_path.size());
    const std::string id = header_field(request, "x-request-id");
    for (const endless_answer& each :
         endless_answers("X-Request-Id: " + id + "\r\n"))
        if (each.name == name && writer.send_bytes(each.begin))
            while (writer.send_bytes(each.block))
            {
            }
}

void handle(const fake_request& request, response_writer& writer)
{
    if (request.path.rfind(endless_path, 0) == 0)
        return send_endless(request, writer);
    ++open_requests;
    if (request.method == "POST" && request.path.rfind("/orders", 0) == 0)
        place_order(request, writer);
    else
        writer.send_response(
            200,
            "application/json",
            json{{"desk", options.id}, {"path", request.path}}.dump(),
            header_field(request, "x-request-id"));
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
        cxxopts::Options flags(
            "fake_desk", "A fake of a service that takes orders.");
        auto add = flags.add_options();
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
        add("orders",
            "file to which a line is appended for each order",
            text("orders"));
        add("delay-ms",
            "time that an order takes, in ms",
            cxxopts::value<int>()->default_value("0"));
        add("crash-after",
            "exit after this many orders, before the response; 0: never",
            cxxopts::value<int>()->default_value("0"));
        add("refuse", "answer every order with 429");
        const auto parsed = flags.parse(argc, argv);
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
