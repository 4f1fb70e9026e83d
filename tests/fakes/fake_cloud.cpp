// A stand-in for the platform's cloud API: instances, refused starts, and
// reclaim notices that a test posts. Starts no real instance.
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

struct notice
{
    std::string instance, domain;
    clock_type::time_point deadline;
};

std::mutex mutex;
std::vector<notice> notices;
std::map<std::string, json> instances_by_token;
bool refuse_starts = false;

json notices_now()
{
    json list = json::array();
    for (const notice& one : notices)
    {
        const std::chrono::duration<double> left =
            one.deadline - clock_type::now();
        list.push_back(
            {{"instance", one.instance},
             {"failure_domain", one.domain},
             {"time_left_s", std::max(0.0, left.count())}});
    }
    return {{"notices", list}};
}

void add_notice(const json& from)
{
    notices.push_back(
        {from.value("instance", ""),
         from.value("failure_domain", ""),
         clock_type::now() + std::chrono::milliseconds(static_cast<long>(
                                 from.value("time_left_s", 30.0) * 1000))});
}

// The same client token gives the same instance.
void start_instance(const json& from, fake_answer& to)
{
    const std::string token = from.value("client_token", "");
    if (instances_by_token.count(token) == 0)
    {
        if (refuse_starts)
        {
            to.whole(503, "application/json", R"({"error":"no capacity"})");
            return;
        }
        json made = from;
        made["id"] = "i-" + std::to_string(instances_by_token.size() + 1);
        instances_by_token[token] = made;
    }
    to.whole(201, "application/json", instances_by_token[token].dump());
}

void list_instances(fake_answer& to)
{
    json list = json::array();
    for (const auto& [token, one] : instances_by_token)
        list.push_back(one);
    to.whole(200, "application/json", json{{"instances", list}}.dump());
}

void end_instance(const std::string& id, fake_answer& to)
{
    for (auto it = instances_by_token.begin(); it != instances_by_token.end();)
        it = it->second["id"] == id ? instances_by_token.erase(it)
                                    : std::next(it);
    to.whole(200, "application/json", "{}");
}

void handle(const fake_request& request, fake_answer& to)
{
    const std::lock_guard lock(mutex);
    const json body = json::parse(request.body, nullptr, false);
    const bool posted = request.method == "POST" && body.is_object();
    if (request.path == "/v1/notices" && request.method == "GET")
        to.whole(200, "application/json", notices_now().dump());
    else if (request.path == "/v1/notices" && posted)
    {
        add_notice(body);
        to.whole(201, "application/json", "{}");
    }
    else if (request.path == "/v1/refuse_starts" && posted)
    {
        refuse_starts = body.value("refuse", true);
        to.whole(200, "application/json", "{}");
    }
    else if (request.path == "/v1/instances" && posted)
        start_instance(body, to);
    else if (request.path == "/v1/instances")
        list_instances(to);
    else if (
        request.method == "DELETE" &&
        request.path.rfind("/v1/instances/", 0) == 0)
        end_instance(request.path.substr(14), to);
    else
        to.whole(404, "application/json", "{}");
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        cxxopts::Options all("fake_cloud", "A stand-in for a cloud API.");
        all.add_options()(
            "address",
            "IP:PORT",
            cxxopts::value<std::string>()->default_value("127.0.0.1:8300"));
        std::signal(SIGPIPE, SIG_IGN);
        serve(all.parse(argc, argv)["address"].as<std::string>(), handle);
    }
    catch (const std::exception& error)
    {
        std::cerr << "fake_cloud: " << error.what() << "\n";
        return 2;
    }
}
