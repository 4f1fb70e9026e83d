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

event accepted(std::string request)
{
    event value;
    value.kind = event_kind::request_accepted;
    value.request.value = std::move(request);
    return value;
}

} // namespace

TEST_CASE("the events duty gathers what several duties record")
{
    constexpr std::size_t each = 1'000;
    observe::process_clock clock;
    events_options options;
    options.node.value = "e1";
    options.timeline_capacity = 5 * each;
    events_duty duty(options, clock);
    duty.start();

    std::vector<std::thread> producers;
    for (const char* name : {"callers", "upstreams", "peers"})
        producers.emplace_back(
            [&port = duty.port(name), name]
            {
                for (std::size_t i = 0; i < each; ++i)
                    port.record(accepted(name));
            });
    for (std::thread& producer : producers)
        producer.join();
    duty.stop();

    observe::timeline_query query;
    query.limit = 5 * each;
    const auto events = duty.timeline(query);
    CHECK(events.size() == 3 * each);
    CHECK(events.front().node.value == "e1");
    const auto equal_stamps = [](const event& left, const event& right)
    {
        return left.at >= right.at;
    };
    CHECK(
        std::adjacent_find(events.begin(), events.end(), equal_stamps) ==
        events.end());
    CHECK(duty.counters().events[event_kind::request_accepted] == 3 * each);
}

TEST_CASE("what a full ring of the events duty refuses is counted")
{
    observe::process_clock clock;
    events_options options;
    options.ring_capacity = 2;
    events_duty duty(options, clock);
    events_port& port = duty.port("callers");
    CHECK(port.record(accepted("a")));
    CHECK(port.record(accepted("b")));
    CHECK_FALSE(port.record(accepted("c")));
    CHECK(duty.counters().rings_refused["events_from_callers"] == 1);

    SECTION("what was recorded before the start is kept")
    {
        duty.start();
        duty.stop();
        CHECK(duty.timeline({}).size() == 2);
    }
}

TEST_CASE("the time line goes on where a stopped process left it")
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
        duty.port("main").record(accepted("before"));
        duty.stop();
    }
    // The instance's clock went back while the process was away.
    observe::process_clock clock([] { return first_wall - 1'000; });
    events_duty duty(options, clock);
    duty.start();
    duty.port("main").record(accepted("after"));
    duty.stop();

    const auto events = duty.timeline({});
    REQUIRE(events.size() == 2);
    CHECK(events.front().request.value == "before");
    CHECK(events.back().request.value == "after");
    std::filesystem::remove_all(folder);
}

TEST_CASE("the events duty stops while it is behind by more than a beat")
{
    // Long enough to write that a beat falls due meanwhile.
    constexpr std::size_t backlog = 200'000;
    constexpr std::size_t detail_length = 800;
    const auto folder = std::filesystem::temp_directory_path() /
                        ("bergamotusher_backlog_" + std::to_string(getpid()));
    std::filesystem::remove_all(folder);
    observe::process_clock clock;
    events_options options;
    options.ring_capacity = backlog;
    options.files = observe::event_file_options{folder};
    events_duty duty(options, clock);
    events_port& port = duty.port("callers");
    for (std::size_t i = 0; i < backlog; ++i)
    {
        event value = accepted("r");
        value.detail.assign(detail_length, 'x');
        port.record(std::move(value));
    }
    duty.start();
    // The stop must come while the backlog is being taken.
    observe::timeline_query any;
    any.limit = 1;
    while (duty.timeline(any).empty())
        std::this_thread::yield();
    duty.stop();
    CHECK(duty.counters().events[event_kind::request_accepted] == backlog);
    std::filesystem::remove_all(folder);
}
