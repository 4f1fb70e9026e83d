#include "observe/event_files.hpp"
#include "observe/event_json.hpp"
#include "observe/timeline.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <unistd.h>

using namespace bergamotusher;
using namespace bergamotusher::observe;

namespace
{

event make_event(std::int64_t wall, std::string request = "")
{
    event value;
    value.at.wall = wall;
    value.kind = event_kind::request_accepted;
    value.request.value = std::move(request);
    return value;
}

std::filesystem::path make_unused_folder()
{
    auto folder = std::filesystem::temp_directory_path() /
                  ("bergamotusher_events_" + std::to_string(getpid()));
    std::filesystem::remove_all(folder);
    return folder;
}

} // namespace

TEST_CASE("an event survives encoding to JSON and parsing")
{
    const bool property_holds = rc::check(
        []
        {
            event value;
            value.at.wall = *rc::gen::arbitrary<std::int64_t>();
            value.at.logical = *rc::gen::arbitrary<std::uint32_t>();
            value.kind = *rc::gen::element(
                event_kind::process_started, event_kind::instance_refused);
            // JSON text must be UTF-8, of which ASCII is a subset.
            const auto ascii_text =
                rc::gen::container<std::string>(rc::gen::inRange<char>(0, 127));
            value.node.value = *ascii_text;
            value.request.value = *ascii_text;
            value.attempt.value = *ascii_text;
            value.target.value = *ascii_text;
            value.move.value = *ascii_text;
            value.number = *rc::gen::arbitrary<std::uint64_t>();
            value.detail = *ascii_text;
            const std::string line = encode_event(value).dump();
            const auto decoded = parse_event(nlohmann::json::parse(line));
            RC_ASSERT(std::holds_alternative<event>(decoded));
            RC_ASSERT(std::get<event>(decoded) == value);
        });
    CHECK(property_holds);
}

TEST_CASE("reports the reason for JSON that is not an event")
{
    for (const char* text :
         {"null",
          "[]",
          "{}",
          R"({"kind":"no_such_kind","wall":1})",
          R"({"kind":"term_started"})",
          R"({"kind":"term_started","wall":"x"})"})
    {
        const auto parsed = parse_event(nlohmann::json::parse(text));
        REQUIRE(std::holds_alternative<failure>(parsed));
        const auto& rejected = std::get<failure>(parsed);
        CHECK(rejected.kind == error_kind::malformed_message);
        CHECK_FALSE(rejected.detail.empty());
    }
}

TEST_CASE("a time line keeps the newest events and counts replaced ones")
{
    timeline store(3);
    for (std::int64_t wall = 1; wall <= 5; ++wall)
        append(store, make_event(wall, wall % 2 == 0 ? "even" : "odd"));
    CHECK(store.overwritten == 2);
    CHECK(select(store, {}).front().at.wall == 3);

    SECTION("selects events by request")
    {
        timeline_query query;
        query.request.value = "even";
        const auto found = select(store, query);
        REQUIRE(found.size() == 1);
        CHECK(found.front().at.wall == 4);
    }

    SECTION("a limit without a start time selects the newest")
    {
        timeline_query query;
        query.limit = 1;
        CHECK(select(store, query).front().at.wall == 5);
    }

    SECTION("continuing from the last event of each page misses none")
    {
        timeline_query query;
        query.limit = 1;
        query.since = hybrid_time{0, 0};
        std::vector<std::int64_t> read_wall_times;
        for (auto page = select(store, query); !page.empty();
             page = select(store, query))
        {
            read_wall_times.push_back(page.back().at.wall);
            query.since = page.back().at;
        }
        CHECK(read_wall_times == std::vector<std::int64_t>{3, 4, 5});
    }
}

TEST_CASE("event files are limited in number and size")
{
    const auto folder = make_unused_folder();
    event_file_options options;
    options.folder = folder;
    options.max_file_bytes = 1'000;
    options.max_files = 2;
    {
        event_files files = open_event_files(options);
        for (std::int64_t wall = 1; wall <= 100; ++wall)
            write_event(files, make_event(wall));
        CHECK(files.failed == 0);
    }
    std::size_t file_count = 0;
    for (const auto& file : std::filesystem::directory_iterator(folder))
    {
        ++file_count;
        CHECK(file.file_size() <= options.max_file_bytes);
    }
    CHECK(file_count == 2);

    SECTION("reads the newest events and skips a truncated last line")
    {
        std::ofstream(folder / "events.jsonl", std::ios::app) << "{\"wall\":7";
        const auto events = read_newest_events(folder, 2);
        REQUIRE(events.size() == 2);
        CHECK(events.back().at.wall == 100);
    }

    SECTION("reads events of both files in order")
    {
        const auto events = read_newest_events(folder, 1'000);
        REQUIRE_FALSE(events.empty());
        const std::int64_t first = events.front().at.wall;
        CHECK(static_cast<std::int64_t>(events.size()) == 101 - first);
        for (std::size_t i = 0; i < events.size(); ++i)
            CHECK(events[i].at.wall == first + static_cast<std::int64_t>(i));
        std::ifstream newest_file(folder / "events.jsonl");
        const auto in_newest_file = static_cast<std::size_t>(std::count(
            std::istreambuf_iterator<char>(newest_file),
            std::istreambuf_iterator<char>(),
            '\n'));
        CHECK(events.size() > in_newest_file);
    }

    SECTION("counts a failure if the folder cannot be written")
    {
        options.folder = "/proc/bergamotusher";
        event_files files = open_event_files(options);
        write_event(files, make_event(1));
        CHECK(files.failed == 1);
    }
    std::filesystem::remove_all(folder);
}

// A process reads its events before it does anything else. Parsing every line
// of files with 32 MB took a second of processor time.
TEST_CASE("reading the newest events parses no older ones")
{
    const auto folder = make_unused_folder();
    event_file_options options;
    options.folder = folder;
    {
        event_files files = open_event_files(options);
        for (std::int64_t wall = 1; wall <= 1'000; ++wall)
            write_event(files, make_event(wall));
    }
    const auto events = read_newest_events(folder, 10);
    REQUIRE(events.size() == 10);
    CHECK(events.front().at.wall == 991);
    CHECK(events.back().at.wall == 1'000);
    CHECK(events.capacity() < 100);
    std::filesystem::remove_all(folder);
}
