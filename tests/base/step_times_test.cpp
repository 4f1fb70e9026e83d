// Only processor time counts as a step's time: a thread that waits for its turn
// blocks no deadline by itself.
#include "base/clock.hpp"
#include "base/step_times.hpp"

#include <catch2/catch.hpp>

#include <sstream>
#include <thread>
#include <vector>

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

TEST_CASE("steps of a thread are measured by their processor time")
{
    step_times times;
    times.long_step_threshold = 10ms;
    std::vector<long_step> reported;
    times.on_long_step = [&](const long_step& step)
    {
        reported.push_back(step);
    };

    SECTION("a long step is reported with its work")
    {
        {
            const measured_step outer(times, "read a page");
            const measured_step inner(times, "sorted pages");
            note_step_work("sorted pages");
            work_for(15ms);
        }
        {
            const measured_step next(times, "read a page");
        }
        REQUIRE(reported.size() == 1);
        CHECK(reported[0].work == "sorted pages");
        CHECK(reported[0].count == 2);
        CHECK(reported[0].processor_time >= 15ms);
        CHECK(duration(times.longest_us) >= 15ms);

        SECTION("and appears in the histogram, once")
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
    SECTION("waiting is no step")
    {
        {
            const measured_step step(times, "waited");
            std::this_thread::sleep_for(30ms);
        }
        CHECK(reported.empty());
    }
}
