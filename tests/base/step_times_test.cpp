// Only processor time counts as a step's time: a thread that waits for its
// turn or for an event blocks no deadline by itself.
#include "base/clock.hpp"
#include "base/step_times.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>

#include <sstream>

using namespace bergamotusher;

namespace
{

void work_for(duration span)
{
    const duration end = thread_processor_time() + span;
    while (thread_processor_time() < end)
        ;
}

} // namespace

TEST_CASE("steps of an event loop are measured by their processor time")
{
    boost::asio::io_context loop{1};
    step_times times;
    times.long_step_threshold = 5ms;
    std::vector<long_step> reported;
    times.on_long_step = [&](const long_step& step)
    {
        reported.push_back(step);
    };

    SECTION("a long step is reported with its work")
    {
        boost::asio::post(
            loop,
            []
            {
                note_step_work("sorted pages");
                note_step_work("sorted pages");
                work_for(20ms);
            });
        boost::asio::post(loop, [] {});
        run_measured(loop, times);
        REQUIRE(reported.size() == 1);
        CHECK(reported[0].work == "sorted pages");
        CHECK(reported[0].count == 2);
        CHECK(reported[0].processor_time >= 20ms);
        CHECK(duration(times.longest_us) >= 20ms);

        SECTION("and appears in the histogram")
        {
            std::ostringstream out;
            write_step_times(out, "loop", times);
            CHECK(
                out.str().find("{thread=\"loop\",le=\"0.01\"} 1\n") !=
                std::string::npos);
            CHECK(
                out.str().find("{thread=\"loop\",le=\"+Inf\"} 2\n") !=
                std::string::npos);
        }
    }
    SECTION("waiting for an event is no step")
    {
        boost::asio::steady_timer timer(loop);
        timer.expires_after(30ms);
        timer.async_wait([](const boost::system::error_code&) {});
        run_measured(loop, times);
        CHECK(reported.empty());
    }
}
