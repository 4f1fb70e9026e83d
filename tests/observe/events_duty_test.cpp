#include "daemon/events_duty.hpp"
#include "observe/event_files.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <filesystem>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace bergamotusher;

namespace
{

event accepted_event(std::string request)
{
    event value;
    value.kind = event_kind::request_accepted;
    value.request.value = std::move(request);
    return value;
}

} // namespace

TEST_CASE("the events duty collects events from several threads")
{
    constexpr std::size_t events_per_producer = 1'000;
    observe::process_clock clock;
    events_options options;
    options.node.value = "e1";
    options.timeline_capacity = 5 * events_per_producer;
    events_duty duty(options, clock);
    duty.start();

    std::vector<std::thread> producers;
    for (const char* name : {"callers", "upstreams", "peers"})
        producers.emplace_back(
            [&port = duty.port(name), name]
            {
                for (std::size_t i = 0; i < events_per_producer; ++i)
                    port.record(accepted_event(name));
            });
    for (std::thread& producer : producers)
        producer.join();
    duty.stop();

    observe::timeline_query query;
    query.limit = 5 * events_per_producer;
    const auto events = duty.timeline(query);
    CHECK(events.size() == 3 * events_per_producer);
    CHECK(events.front().node.value == "e1");
    const auto equal_stamps = [](const event& left, const event& right)
    {
        return left.at >= right.at;
    };
    CHECK(
        std::adjacent_find(events.begin(), events.end(), equal_stamps) ==
        events.end());
    CHECK(
        duty.counters().events[event_kind::request_accepted] ==
        3 * events_per_producer);
}

TEST_CASE("events dropped by a full queue are counted")
{
    observe::process_clock clock;
    events_options options;
    options.queue_capacity = 2;
    events_duty duty(options, clock);
    events_port& port = duty.port("callers");
    CHECK(port.record(accepted_event("a")));
    CHECK(port.record(accepted_event("b")));
    CHECK_FALSE(port.record(accepted_event("c")));
    CHECK(duty.counters().queue_rejections["events_from_callers"] == 1);

    SECTION("events recorded before the start are kept")
    {
        duty.start();
        duty.stop();
        CHECK(duty.timeline({}).size() == 2);
    }
}

TEST_CASE("a restarted process continues the stored time line in order")
{
    const auto folder = std::filesystem::temp_directory_path() /
                        ("bergamotusher_duty_" + std::to_string(getpid()));
    std::filesystem::remove_all(folder);
    events_options options;
    options.files = observe::event_file_options{folder};

    constexpr std::int64_t first_wall = 5'000;
    {
        observe::process_clock clock([] { return first_wall; });
        events_duty duty(options, clock);
        duty.start();
        duty.port("main").record(accepted_event("before"));
        duty.stop();
    }
    // The instance's clock is set back between the two runs.
    observe::process_clock clock([] { return first_wall - 1'000; });
    events_duty duty(options, clock);
    duty.start();
    duty.port("main").record(accepted_event("after"));
    duty.stop();

    const auto events = duty.timeline({});
    REQUIRE(events.size() == 2);
    CHECK(events.front().request.value == "before");
    CHECK(events.back().request.value == "after");
    std::filesystem::remove_all(folder);
}

TEST_CASE("the events duty stops while its backlog outlasts the periodic timer")
{
    // Guards against a stop that never ends: writing the backlog takes longer
    // than the interval of the periodic timer, so that a timer handler is
    // queued when the stop cancels the timer, and could set the timer again.
    constexpr std::size_t backlog = 200'000;
    constexpr std::size_t detail_length = 800;
    const auto folder = std::filesystem::temp_directory_path() /
                        ("bergamotusher_backlog_" + std::to_string(getpid()));
    std::filesystem::remove_all(folder);
    observe::process_clock clock;
    events_options options;
    options.queue_capacity = backlog;
    options.files = observe::event_file_options{folder};
    events_duty duty(options, clock);
    events_port& port = duty.port("callers");
    for (std::size_t i = 0; i < backlog; ++i)
    {
        event value = accepted_event("r");
        value.detail.assign(detail_length, 'x');
        port.record(std::move(value));
    }
    duty.start();
    // Stop while the backlog is being processed.
    observe::timeline_query one_event;
    one_event.limit = 1;
    while (duty.timeline(one_event).empty())
        std::this_thread::yield();
    duty.stop();
    CHECK(duty.counters().events[event_kind::request_accepted] == backlog);
    std::filesystem::remove_all(folder);
}
