// Every duty runs under the supervisor's rules: it goes on after a failure
// until its restarts are used up, and one that stalls is seen.
#include "daemon/supervisor.hpp"

#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>

#include <future>
#include <stdexcept>

using namespace bergamotusher;

namespace
{

void throw_in(duty& one)
{
    boost::asio::post(
        one.loop(), [] { throw std::runtime_error("a handler failed"); });
}

// Waits until the duty has run everything posted so far.
void settle(duty& one)
{
    std::promise<void> done;
    boost::asio::post(one.loop(), [&] { done.set_value(); });
    done.get_future().wait();
}

} // namespace

TEST_CASE("a supervisor keeps its duties running")
{
    supervisor tree;
    duty_limits limits;
    limits.restarts = 2;
    duty& first = tree.add("first", limits);
    duty& second = tree.add("second", limits);
    std::vector<std::string> reasons;
    tree.start([&](const duty& one, const std::string& reason)
               { reasons.push_back(one.name() + ": " + reason); });
    REQUIRE(tree.check(now()) == health::good);

    SECTION("a duty whose handler throws goes on, and the failure is told")
    {
        throw_in(first);
        settle(first);
        CHECK(first.restarts() == 1);
        CHECK(reasons == std::vector<std::string>{"first: a handler failed"});
        CHECK(tree.check(now()) == health::good);

        SECTION("the other duty is not touched")
        {
            settle(second);
            CHECK(second.restarts() == 0);
        }
        SECTION("beyond its restarts it has failed")
        {
            throw_in(first);
            settle(first);
            throw_in(first);
            while (!first.failed())
                std::this_thread::yield();
            CHECK(tree.check(now()) == health::failed);
        }
    }
    SECTION("a duty that does not turn for too long is stalled")
    {
        settle(first);
        CHECK(tree.check(now() + limits.stall + 1s) == health::stalled);
    }
    tree.stop();
}
