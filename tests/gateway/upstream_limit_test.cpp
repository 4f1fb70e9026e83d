// Guards against an upstream that gets more requests from all entries together
// than the limit that it names in its answers.
#include "base/clock.hpp"
#include "gateway/relay_fixture.hpp"

#include <catch2/catch.hpp>

#include <limits>

using namespace relay_fixture;

namespace
{

std::string limited(const std::string& limit, int attempt = 1)
{
    return answer(200, "found", attempt, "Limit: " + limit + "\r\n");
}

std::string lookup(int attempt)
{
    return request("GET", "/lookup/1", attempt);
}

/// An entry with the given place among `count`, whose relay does its periodic
/// work.
struct seated_entry : entry_fixture
{
    seated_entry(std::uint32_t rank, std::uint32_t count)
    {
        view.seat = {rank, count};
        tick();
    }

    void tick()
    {
        timer.expires_after(20ms);
        timer.async_wait(
            [this](const boost::system::error_code& error)
            {
                if (error)
                    return;
                requests->tick();
                tick();
            });
    }

    boost::asio::steady_timer timer{loop};
};

void let_pass(entry_fixture& entry, duration span)
{
    entry.run_until([] { return false; }, span);
}

} // namespace

TEST_CASE("an upstream that names a limit gets no more than it")
{
    seated_entry entry(0, 1);
    const auto upstream = entry.add_upstream("u1", "desk");
    upstream->scripts = {limited("2")};
    REQUIRE(contains(entry.send_request(lookup(1)), "found"));

    SECTION("what is left over is refused at once, with a time to come back")
    {
        std::size_t served = 0;
        std::size_t refused = 0;
        const time_point began = uptime();
        for (int attempt = 2; uptime() - began < 3s; ++attempt)
        {
            upstream->scripts = {limited("2", attempt)};
            const std::string received = entry.send_request(lookup(attempt));
            served += contains(received, "found") ? 1 : 0;
            if (!contains(received, "HTTP/1.1 503"))
                continue;
            ++refused;
            CHECK(contains(received, "Retry-After: "));
            CHECK(contains(received, "\"run\":\"not_run\""));
        }
        CHECK(served >= 5);
        CHECK(served <= 9);
        CHECK(refused > 0);
        CHECK(upstream->requests.size() == served + 1);
    }
    SECTION("what is left over goes to another one")
    {
        const auto other = entry.add_upstream("u2", "desk");
        for (int attempt = 2; attempt < 30; ++attempt)
        {
            upstream->scripts = {limited("2", attempt)};
            other->scripts = {answer(200, "found", attempt)};
            CHECK(contains(entry.send_request(lookup(attempt)), "found"));
        }
        CHECK(upstream->requests.size() <= 8);
        CHECK(other->requests.size() >= 20);
    }
    SECTION("a repeat after a failure counts too")
    {
        const auto failing = entry.add_upstream("u2", "desk");
        const std::size_t sent_before = upstream->requests.size();
        const time_point began = uptime();
        for (int attempt = 2; attempt < 20; ++attempt)
        {
            failing->scripts = {"<reset>"};
            upstream->scripts = {limited("2", attempt)};
            entry.send_request(lookup(attempt));
        }
        const double slots = 2 + to_seconds(uptime() - began);
        CHECK(
            static_cast<double>(upstream->requests.size() - sent_before) <=
            2 * slots);
        CHECK(failing->requests.size() >= 5);
    }
    SECTION("until its answers do not name it any more")
    {
        let_pass(entry, 1100ms);
        upstream->scripts = {answer(200, "found", 2)};
        REQUIRE(contains(entry.send_request(lookup(2)), "found"));
        for (int attempt = 3; attempt < 20; ++attempt)
        {
            upstream->scripts = {answer(200, "found", attempt)};
            CHECK(contains(entry.send_request(lookup(attempt)), "found"));
        }
    }
    SECTION("a value that cannot be read changes nothing, and is passed on")
    {
        let_pass(entry, 1100ms);
        upstream->scripts = {limited("bad", 2)};
        const std::string received = entry.send_request(lookup(2));
        CHECK(contains(received, "found"));
        CHECK(contains(received, "Limit: bad"));
        CHECK(entry.view.upstream_limits.limits.at({"u1"}).requests_per_s == 2);
    }
    SECTION("another incarnation is not held to it")
    {
        site::upstream value = entry.view.directory.upstreams.at({"u1"}).value;
        value.started_ms = 99;
        merge(entry.view.directory, value, uptime());
        entry.requests->on_upstreams_changed();
        for (int attempt = 2; attempt < 20; ++attempt)
        {
            upstream->scripts = {answer(200, "found", attempt)};
            CHECK(contains(entry.send_request(lookup(attempt)), "found"));
        }
    }
}

TEST_CASE("a limit of less than one request for each entry is shared in turn")
{
    constexpr std::uint32_t entries = 4;
    std::vector<std::unique_ptr<seated_entry>> all;
    std::vector<std::unique_ptr<scripted_upstream>> upstreams;
    for (std::uint32_t rank = 0; rank < entries; ++rank)
    {
        all.push_back(std::make_unique<seated_entry>(rank, entries));
        // One upstream, as each entry's loop sees it.
        upstreams.push_back(all.back()->add_upstream("u1", "desk"));
        record_limit(all.back()->view, {{"u1"}, 0, 1.0, 1});
    }
    const time_point began = uptime();
    std::size_t served = 0;
    for (int attempt = 1; uptime() - began < 4s; ++attempt)
        for (std::uint32_t rank = 0; rank < entries; ++rank)
        {
            upstreams[rank]->scripts = {limited("1", attempt)};
            const std::string received =
                all[rank]->send_request(lookup(attempt));
            served += contains(received, "found") ? 1 : 0;
        }
    CHECK(served >= 3);
    CHECK(served <= 6);
}

TEST_CASE("a request waits for a part of a limit that comes in time")
{
    seated_entry entry(0, 1);
    const auto upstream = entry.add_upstream("u1", "desk");
    record_limit(entry.view, {{"u1"}, 0, 1.0, 1});
    // The site's routes have a target of 300 ms.
    std::size_t served = 0;
    std::size_t refused = 0;
    duration longest{};
    const time_point began = uptime();
    for (int attempt = 1; uptime() - began < 4s; ++attempt)
    {
        upstream->scripts = {limited("1", attempt)};
        const time_point sent_at = uptime();
        const std::string received = entry.send_request(lookup(attempt));
        longest = std::max(longest, uptime() - sent_at);
        (contains(received, "found") ? served : refused) += 1;
    }
    CHECK(served >= 4);
    CHECK(refused > 10);
    CHECK(longest < 300ms);
}

TEST_CASE("a request does not wait for limits that do not help it")
{
    seated_entry entry(0, 1);
    const auto limited_one = entry.add_upstream("u1", "desk");
    record_limit(entry.view, {{"u1"}, 0, 1.0, 1});
    limited_one->scripts = {limited("1", 1)};
    REQUIRE(contains(entry.send_request(lookup(1)), "found"));

    SECTION("of an upstream that seems to be silent and is tried at last")
    {
        entry.view.upstreams.at({"u1"})->is_silent = true;
        constexpr std::int64_t later_ms = 9'000'000'000'000;
        record_limit(entry.view, {{"u1"}, 0, 50.0, later_ms});
        const auto other = entry.add_upstream("u2", "desk");
        record_limit(entry.view, {{"u2"}, 0, 0.0, 1});
        entry.view.upstreams.at({"u2"})->limit_use = {
            0.0, std::numeric_limits<std::int64_t>::max()};
        limited_one->scripts = {limited("50", 2)};
        CHECK(contains(entry.send_request(lookup(2)), "found"));
    }
    SECTION("while an upstream without one seems to be silent")
    {
        const auto silent = entry.add_upstream("u2", "desk");
        entry.view.upstreams.at({"u2"})->is_silent = true;
        silent->scripts = {answer(200, "found", 2)};
        CHECK(contains(entry.send_request(lookup(2)), "found"));
        CHECK(silent->requests.size() == 1);
    }
}

TEST_CASE("an entry that does not know its place sends nothing beyond limits")
{
    entry_fixture entry;
    const auto upstream = entry.add_upstream("u1", "desk");
    record_limit(entry.view, {{"u1"}, 0, 100.0, 1});
    CHECK(contains(entry.send_request(lookup(1)), "HTTP/1.1 503"));
    CHECK(upstream->requests.empty());
}

TEST_CASE("callers that are refused for limits return one after the other")
{
    seated_entry entry(0, 1);
    const auto upstream = entry.add_upstream("u1", "desk");
    record_limit(entry.view, {{"u1"}, 0, 0.5, 1});
    std::vector<double> delays;
    for (int attempt = 1; attempt < 12; ++attempt)
    {
        upstream->scripts = {limited("0.5", attempt)};
        const std::string received = entry.send_request(lookup(attempt));
        const std::string name = "Retry-After: ";
        const auto at = received.find(name);
        if (at != std::string::npos)
            delays.push_back(std::stod(received.substr(at + name.size())));
    }
    REQUIRE(delays.size() >= 8);
    // One every two seconds.
    CHECK(delays.back() - delays.front() >= 10);
    CHECK(delays.back() <= 31);
}
