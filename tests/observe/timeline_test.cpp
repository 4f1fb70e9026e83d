#include "observe/event_files.hpp"
#include "observe/event_json.hpp"
#include "observe/timeline.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <filesystem>
#include <fstream>
#include <string>
#include <unistd.h>

using namespace bergamotusher;
using namespace bergamotusher::observe;

namespace
{

event event_at(std::int64_t wall, std::string request = "")
{
    event value;
    value.at.wall = wall;
    value.kind = event_kind::request_accepted;
    value.request.value = std::move(request);
    return value;
}

std::filesystem::path fresh_folder()
{
    auto folder = std::filesystem::temp_directory_path() /
                  ("bergamotusher_events_" + std::to_string(getpid()));
    std::filesystem::remove_all(folder);
    return folder;
}

} // namespace

TEST_CASE("an event goes through JSON and back unchanged")
{
    const bool held = rc::check(
        []
        {
            event value;
            value.at.wall = *rc::gen::arbitrary<std::int64_t>();
            value.at.logical = *rc::gen::arbitrary<std::uint32_t>();
            value.kind = *rc::gen::element(
                event_kind::process_started, event_kind::instance_refused);
            // JSON text is UTF-8; ids and details are too.
            const auto ascii =
                rc::gen::container<std::string>(rc::gen::inRange<char>(0, 127));
            value.node.value = *ascii;
            value.request.value = *ascii;
            value.attempt.value = *ascii;
            value.target.value = *ascii;
            value.move.value = *ascii;
            value.number = *rc::gen::arbitrary<std::uint64_t>();
            value.detail = *ascii;
            const std::string line = encode_event(value).dump();
            const auto back = parse_event(nlohmann::json::parse(line));
            RC_ASSERT(std::holds_alternative<event>(back));
            RC_ASSERT(std::get<event>(back) == value);
        });
    CHECK(held);
}

TEST_CASE("what is not an event is refused with a reason")
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
        const auto& refused = std::get<failure>(parsed);
        CHECK(refused.kind == error_kind::malformed_message);
        CHECK_FALSE(refused.detail.empty());
    }
}

TEST_CASE("a time line keeps the newest events and counts the others")
{
    timeline store(3);
    for (std::int64_t wall = 1; wall <= 5; ++wall)
        append(store, event_at(wall, wall % 2 == 0 ? "even" : "odd"));
    CHECK(store.overwritten == 2);
    CHECK(select(store, {}).front().at.wall == 3);

    SECTION("it answers by request")
    {
        timeline_query query;
        query.request.value = "even";
        const auto found = select(store, query);
        REQUIRE(found.size() == 1);
        CHECK(found.front().at.wall == 4);
    }

    SECTION("without a start, a limit keeps the newest")
    {
        timeline_query query;
        query.limit = 1;
        CHECK(select(store, query).front().at.wall == 5);
    }

    SECTION("a reader that goes on from the last event misses none")
    {
        timeline_query query;
        query.limit = 1;
        query.since = hybrid_time{0, 0};
        std::vector<std::int64_t> read;
        for (auto page = select(store, query); !page.empty();
             page = select(store, query))
        {
            read.push_back(page.back().at.wall);
            query.since = page.back().at;
        }
        CHECK(read == std::vector<std::int64_t>{3, 4, 5});
    }
}

TEST_CASE("events last in files of bounded number and size")
{
    const auto folder = fresh_folder();
    event_file_options options;
    options.folder = folder;
    options.file_limit = 1'000;
    options.files_kept = 2;
    {
        event_files files = open_event_files(options);
        for (std::int64_t wall = 1; wall <= 100; ++wall)
            write_event(files, event_at(wall));
        CHECK(files.failed == 0);
    }
    std::size_t number = 0;
    for (const auto& file : std::filesystem::directory_iterator(folder))
    {
        ++number;
        CHECK(file.file_size() <= options.file_limit);
    }
    CHECK(number == 2);

    SECTION("a restarted process reads the newest, but for a torn line")
    {
        std::ofstream(folder / "events.jsonl", std::ios::app) << "{\"wall\":7";
        const auto events = read_newest_events(folder, 2);
        REQUIRE(events.size() == 2);
        CHECK(events.back().at.wall == 100);
    }

    SECTION("a folder that cannot be written is counted, not fatal")
    {
        options.folder = "/proc/bergamotusher";
        event_files files = open_event_files(options);
        write_event(files, event_at(1));
        CHECK(files.failed == 1);
    }
    std::filesystem::remove_all(folder);
}
