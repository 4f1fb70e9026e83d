// Guards against a request that waits in the entry behind a less urgent one.
#include "gateway/relay_fixture.hpp"
#include "site/sample_site.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

using namespace relay_fixture;

namespace
{

using tcp = boost::asio::ip::tcp;

/// The test's site with a second account, which is more urgent than the first.
std::shared_ptr<const site::indexed_configuration> site_of_two_accounts()
{
    site::configuration value = sample::configuration();
    value.accounts[0].priority = 3;
    value.accounts.push_back(value.accounts[0]);
    value.accounts[1].name = {"urgent"};
    value.accounts[1].keys = {"key-3"};
    value.accounts[1].priority = 0;
    return site::index_configuration(std::move(value));
}

std::string order(const std::string& key, int attempt)
{
    std::string text = request("POST", "/order/1", attempt);
    return text.replace(text.find("key-1"), key.size(), key);
}

tcp::socket call(entry_fixture& entry, const std::string& text)
{
    tcp::socket socket(entry.loop);
    socket.connect({boost::asio::ip::address_v4::loopback(), entry.port});
    boost::asio::write(socket, boost::asio::buffer(text));
    return socket;
}

} // namespace

TEST_CASE("requests that wait for an upstream go by the rank of their account")
{
    entry_fixture entry;
    entry.view.site = site_of_two_accounts();
    const auto upstream = entry.add_upstream("u1", "desk");
    constexpr std::size_t slots = 8;
    upstream->scripts = std::vector<std::string>(slots + 2, "<wait>");
    std::vector<tcp::socket> running;
    for (std::size_t i = 0; i < slots; ++i)
        running.push_back(call(entry, order("key-1", 1)));
    REQUIRE(
        entry.run_until([&] { return upstream->requests.size() == slots; }));
    std::uint32_t& waiting = entry.view.services[{"desk"}].waiting;
    const tcp::socket patient = call(entry, order("key-1", 2));
    REQUIRE(entry.run_until([&] { return waiting == 1; }));
    const tcp::socket urgent = call(entry, order("key-3", 3));
    REQUIRE(entry.run_until([&] { return waiting == 2; }));

    running.pop_back();
    REQUIRE(entry.run_until([&] { return upstream->requests.size() > slots; }));
    CHECK(contains(upstream->requests[slots], "Account: urgent"));
}
