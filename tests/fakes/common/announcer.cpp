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

constexpr auto announce_interval = std::chrono::milliseconds(500);
constexpr auto busy_poll_interval = std::chrono::milliseconds(20);

std::atomic<bool> stopping{false};
announcer_options announced;

// Sends the request to the administration addresses in turn until one answers.
void send_to_first_answering(
    const std::string& method, const std::string& path, const std::string& body)
{
    for (const std::string& admin : announced.admins)
        if (send_request(admin, method, path, announced.token, body).status !=
            0)
            return;
}

} // namespace

void start_announcing(announcer_options options)
{
    announced = std::move(options);
    std::thread(
        []
        {
            while (!stopping)
            {
                send_to_first_answering(
                    "POST", "/v1/upstreams", announced.announcement().dump());
                if (announced.events)
                    send_to_first_answering(
                        "POST",
                        "/v1/upstreams/" + announced.instance + "/events",
                        announced.events().dump());
                std::this_thread::sleep_for(announce_interval);
            }
        })
        .detach();
}

void stop_announcing()
{
    stopping = true;
    send_to_first_answering(
        "DELETE", "/v1/upstreams/" + announced.instance, "");
}

void leave_on_signal(std::function<bool()> is_busy)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::thread(
        [signals, is_busy = std::move(is_busy)]
        {
            int received_signal = 0;
            sigwait(&signals, &received_signal);
            stop_announcing();
            while (is_busy())
                std::this_thread::sleep_for(busy_poll_interval);
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
