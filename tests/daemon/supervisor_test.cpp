// The supervisor must restart a duty after an exception up to its restart
// limit, and must report duties that have failed or stalled; otherwise the
// process would keep running with a dead thread.
#include "daemon/supervisor.hpp"

#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>

#include <future>
#include <stdexcept>

using namespace bergamotusher;

namespace
{

void post_throwing_handler(duty& target)
{
    boost::asio::post(
        target.loop(), [] { throw std::runtime_error("a handler failed"); });
}

// Waits until the duty has run all handlers posted so far.
void run_posted_handlers(duty& target)
{
    std::promise<void> done;
    boost::asio::post(target.loop(), [&] { done.set_value(); });
    done.get_future().wait();
}

} // namespace

TEST_CASE("a supervisor restarts duties and reports their health")
{
    supervisor duties;
    duty_limits limits;
    limits.restarts = 2;
    duty& first = duties.add("first", limits);
    duty& second = duties.add("second", limits);
    std::vector<std::string> reasons;
    duties.start([&](const duty& target, const std::string& reason)
                 { reasons.push_back(target.name() + ": " + reason); });
    REQUIRE(duties.check(now()) == health::good);

    SECTION("a duty continues after an exception, and its text is reported")
    {
        post_throwing_handler(first);
        run_posted_handlers(first);
        CHECK(first.restarts() == 1);
        CHECK(reasons == std::vector<std::string>{"first: a handler failed"});
        CHECK(duties.check(now()) == health::good);

        SECTION("the other duty is not restarted")
        {
            run_posted_handlers(second);
            CHECK(second.restarts() == 0);
        }
        SECTION("it has failed when it exceeds its restart limit")
        {
            post_throwing_handler(first);
            run_posted_handlers(first);
            post_throwing_handler(first);
            while (!first.failed())
                std::this_thread::yield();
            CHECK(duties.check(now()) == health::failed);
        }
    }
    SECTION("a duty without a heartbeat for too long is stalled")
    {
        run_posted_handlers(first);
        CHECK(duties.check(now() + limits.stall + 1s) == health::stalled);
    }
    duties.stop();
}
