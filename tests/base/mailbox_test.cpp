// Guards against a timer that waits until a long queue is empty: heartbeats and
// votes are due while messages arrive.
#include "base/mailbox.hpp"

#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>

#include <vector>

using namespace bergamotusher;

TEST_CASE("a full mailbox does not hold up the timers of its loop")
{
    constexpr int values = 200;
    boost::asio::io_context loop{1};
    boost::asio::steady_timer timer(loop);
    std::vector<int> received;
    std::size_t received_at_timer = values;
    mailbox<int> inbox(
        loop, values, [&](int&& value) { received.push_back(value); });
    for (int i = 0; i < values; ++i)
        REQUIRE(inbox.push(int(i)));
    timer.expires_after(std::chrono::seconds(0));
    timer.async_wait([&](const boost::system::error_code&)
                     { received_at_timer = received.size(); });
    loop.run();
    CHECK(received_at_timer < values / 2);

    SECTION("and every value arrives once and in order")
    {
        REQUIRE(received.size() == values);
        for (int i = 0; i < values; ++i)
            CHECK(received[static_cast<std::size_t>(i)] == i);
    }
}
