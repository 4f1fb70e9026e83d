// A fake of the platform's cloud API: keeps a list of instances without running
// them, can refuse to start instances, and serves the reclaim notices that a
// test posts.
#include "common/fake_http.hpp"

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <csignal>
#include <iostream>
#include <map>
#include <mutex>

using namespace bergamotusher::fakes;
using nlohmann::json;

namespace
{

using clock_type = std::chrono::steady_clock;

// A reclaim notice; `instance` or `domain` is empty.
struct notice
{
    std::string instance, domain;
    clock_type::time_point deadline;
};

std::mutex mutex;
std::vector<notice> notices;
std::map<std::string, json> instances_by_token;
bool refuse_starts = false;

// Returns the notices with the time left until their deadline.
json notices_json()
{
    json array = json::array();
    for (const notice& listed : notices)
    {
        const std::chrono::duration<double> time_left =
            listed.deadline - clock_type::now();
        array.push_back(
            {{"instance", listed.instance},
             {"failure_domain", listed.domain},
             {"time_left_s", std::max(0.0, time_left.count())}});
    }
    return {{"notices", array}};
}

void record_notice(const json& from)
{
    notices.push_back(
        {from.value("instance", ""),
         from.value("failure_domain", ""),
         clock_type::now() + std::chrono::milliseconds(static_cast<long>(
                                 from.value("time_left_s", 30.0) * 1000))});
}

// Starts an instance; a repeated request with the same client token returns the
// same instance, also while starts are refused.
void start_instance(const json& from, response_writer& writer)
{
    const std::string token = from.value("client_token", "");
    if (instances_by_token.count(token) == 0)
    {
        if (refuse_starts)
        {
            writer.send_response(
                503, "application/json", R"({"error":"no capacity"})");
            return;
        }
        json instance = from;
        instance["id"] = "i-" + std::to_string(instances_by_token.size() + 1);
        instances_by_token[token] = instance;
    }
    writer.send_response(
        201, "application/json", instances_by_token[token].dump());
}

void list_instances(response_writer& writer)
{
    json array = json::array();
    for (const auto& [token, listed] : instances_by_token)
        array.push_back(listed);
    writer.send_response(
        200, "application/json", json{{"instances", array}}.dump());
}

void end_instance(const std::string& id, response_writer& writer)
{
    for (auto it = instances_by_token.begin(); it != instances_by_token.end();)
        it = it->second["id"] == id ? instances_by_token.erase(it)
                                    : std::next(it);
    writer.send_response(200, "application/json", "{}");
}

void handle(const fake_request& request, response_writer& writer)
{
    const std::lock_guard lock(mutex);
    const json body = json::parse(request.body, nullptr, false);
    const bool is_post_with_body = request.method == "POST" && body.is_object();
    if (request.path == "/v1/notices" && request.method == "GET")
        writer.send_response(200, "application/json", notices_json().dump());
    else if (request.path == "/v1/notices" && is_post_with_body)
    {
        record_notice(body);
        writer.send_response(201, "application/json", "{}");
    }
    else if (request.path == "/v1/refuse_starts" && is_post_with_body)
    {
        refuse_starts = body.value("refuse", true);
        writer.send_response(200, "application/json", "{}");
    }
    else if (request.path == "/v1/instances" && is_post_with_body)
        start_instance(body, writer);
    else if (request.path == "/v1/instances")
        list_instances(writer);
    else if (
        request.method == "DELETE" &&
        request.path.rfind("/v1/instances/", 0) == 0)
        end_instance(request.path.substr(14), writer);
    else
        writer.send_response(404, "application/json", "{}");
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        cxxopts::Options flags("fake_cloud", "A fake of a cloud API.");
        flags.add_options()(
            "address",
            "IP:PORT",
            cxxopts::value<std::string>()->default_value("127.0.0.1:8300"));
        std::signal(SIGPIPE, SIG_IGN);
        serve(flags.parse(argc, argv)["address"].as<std::string>(), handle);
    }
    catch (const std::exception& error)
    {
        std::cerr << "fake_cloud: " << error.what() << "\n";
        return 2;
    }
}
