// The decision log writes one JSON object a line, at a limited rate, and does
// not block the caller when the reader of the output stalls.
#include "base/clock.hpp"
#include "observe/decision_log.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <unistd.h>

using namespace bergamotusher;
using namespace bergamotusher::observe;

namespace
{

/// A pipe that a log writes to.
struct test_pipe
{
    int read_end = -1;
    int write_end = -1;

    test_pipe()
    {
        int ends[2] = {-1, -1};
        REQUIRE(::pipe(ends) == 0);
        read_end = ends[0];
        write_end = ends[1];
    }
    ~test_pipe()
    {
        ::close(write_end);
        ::close(read_end);
    }
};

} // namespace

TEST_CASE("a line is one JSON object with the given fields")
{
    test_pipe pipe;
    {
        decision_log_options options;
        options.output_fd = pipe.write_end;
        decision_log log("n1", "entry", options);
        log.write(
            log_line(decision::request_refused)
                .with("request", "a\"b\n\xff")
                .with("age_ms", duration(1500us))
                .with("attempts", 2),
            uptime());
    }
    char text[4096];
    const ssize_t size = ::read(pipe.read_end, text, sizeof(text));
    REQUIRE(size > 0);
    const auto line = nlohmann::json::parse(
        std::string(text, static_cast<std::size_t>(size)));
    CHECK(line.at("event") == "request_refused");
    CHECK(line.at("node") == "n1");
    CHECK(line.at("age_ms") == 1.5);
    CHECK(line.at("attempts") == 2);
}

TEST_CASE("a stalled reader blocks neither writing nor destruction")
{
    std::signal(SIGPIPE, SIG_IGN);
    test_pipe pipe;
    const time_point start = uptime();
    {
        decision_log_options options;
        options.other_per_second = 1'000'000;
        options.queue_capacity = 100;
        options.batch_interval = 1ms;
        options.output_fd = pipe.write_end;
        decision_log log("n1", "entry", options);
        const std::string filler(1000, 'x');
        for (int i = 0; i < 20'000; ++i)
            log.write(
                log_line(decision::request_failed).with("filler", filler),
                uptime());
        CHECK(uptime() - start < 2s);
        CHECK(log.dropped() > 0);
    }
    // The destructor does not wait for the reader either.
    CHECK(uptime() - start < 4s);
}

TEST_CASE("samples all lines of a request or none above the rate limit")
{
    decision_log_options options;
    options.routine_per_second = 10;
    decision_log log("n1", "entry", options);
    time_point now{1000s};
    int lines = 0;
    for (int second = 0; second < 5; ++second)
    {
        lines = 0;
        for (int i = 0; i < 1000; ++i)
        {
            const std::string id = std::to_string(second * 1000 + i);
            if (!log.is_sampled(id, now))
                continue;
            CHECK(log.is_sampled(id, now));
            ++lines;
            log.write_sampled(
                log_line(decision::request_finished).with("request", id), now);
        }
        now += 1s;
    }
    CHECK(lines < 40);
    CHECK(lines > 0);
}
