#include "announcer.hpp"

#include "fake_http.hpp"

#include <atomic>
#include <chrono>
#include <csignal>
#include <sstream>
#include <thread>
#include <unistd.h>

namespace bergamotusher::fakes
{

namespace
{

constexpr auto interval = std::chrono::milliseconds(500);
constexpr auto busy_poll = std::chrono::milliseconds(20);

std::atomic<bool> stopping{false};
announcer_options current;

void send_to_one(
    const std::string& method, const std::string& path, const std::string& body)
{
    for (const std::string& admin : current.admins)
        if (send_request(admin, method, path, current.token, body).status != 0)
            return;
}

} // namespace

void start_announcing(announcer_options options)
{
    current = std::move(options);
    std::thread(
        []
        {
            while (!stopping)
            {
                send_to_one(
                    "POST", "/v1/upstreams", current.announcement().dump());
                if (current.events)
                    send_to_one(
                        "POST",
                        "/v1/upstreams/" + current.instance + "/events",
                        current.events().dump());
                std::this_thread::sleep_for(interval);
            }
        })
        .detach();
}

void stop_announcing()
{
    stopping = true;
    send_to_one("DELETE", "/v1/upstreams/" + current.instance, "");
}

void leave_on_signal(std::function<bool()> busy)
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    std::thread(
        [set, busy = std::move(busy)]
        {
            int number = 0;
            sigwait(&set, &number);
            stop_announcing();
            while (busy())
                std::this_thread::sleep_for(busy_poll);
            _exit(0);
        })
        .detach();
}

std::vector<std::string> split_list(const std::string& text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');)
        parts.push_back(part);
    return parts;
}

} // namespace bergamotusher::fakes
