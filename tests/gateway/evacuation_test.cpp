// Guards against requests that reach an upstream in an evacuated failure
// domain: first attempts, retries, and requests that waited.
#include "base/clock.hpp"
#include "gateway/control_link.hpp"
#include "gateway/relay_fixture.hpp"
#include "site/sample_site.hpp"
#include "wire/site.pb.h"

#include <catch2/catch.hpp>

using namespace relay_fixture;

namespace
{

std::variant<site::configuration, failure> parse_site(std::string_view)
{
    return sample::configuration(1);
}

/// An entry that control nodes tell which failure domains are evacuated.
struct told_entry : entry_fixture
{
    control_link link{
        [&]
        {
            control_link_options options;
            options.seeds = {{"c1"}};
            options.parse = parse_site;
            return options;
        }(),
        view,
        *requests,
        log,
        [this](const node_id&, const std::string& bytes)
        {
            wire::site::entry_report report;
            REQUIRE(report.ParseFromString(bytes));
            asked_at_us = report.asked_at_us();
        }};
    std::int64_t asked_at_us = 0;

    told_entry()
    {
        view.awaiting_directory = false;
    }

    void tell(const std::vector<std::string>& domains, std::uint64_t revision)
    {
        link.tick(uptime());
        wire::site::control_report report;
        report.set_asked_at_us(asked_at_us);
        report.set_confirmed_age_us(0);
        report.set_site_version(1);
        report.set_site("1");
        for (const std::string& each : domains)
            report.add_evacuated_domains(each);
        report.set_evacuation_revision(revision);
        link.on_control_report({"c1"}, report.SerializeAsString());
    }
};

std::string lookup(int attempt = 1)
{
    return request("GET", "/lookup/1", attempt);
}

} // namespace

TEST_CASE("nothing is sent to the upstreams of an evacuated failure domain")
{
    told_entry entry;
    const auto north = entry.add_upstream("u1", "desk", "north");
    north->scripts = {answer(200, "north")};
    entry.tell({"north"}, 1);

    SECTION("a request goes to another failure domain")
    {
        const auto south = entry.add_upstream("u2", "desk", "south");
        south->scripts = {answer(200, "south")};
        CHECK(contains(entry.send_request(lookup()), "south"));
        CHECK(north->requests.empty());
    }
    SECTION("a request is refused at once where there is no other upstream")
    {
        const time_point began = uptime();
        CHECK(contains(entry.send_request(lookup()), "503"));
        CHECK(uptime() - began < 500ms);
        CHECK(north->requests.empty());
    }
    SECTION("a retry does not go there either")
    {
        const auto south = entry.add_upstream("u2", "desk", "south");
        south->scripts = {"<cut>"};
        CHECK_FALSE(contains(entry.send_request(lookup()), "200 OK"));
        CHECK(north->requests.empty());
    }
    SECTION("requests go there again once the evacuation is withdrawn")
    {
        entry.tell({}, 2);
        CHECK(contains(entry.send_request(lookup()), "north"));

        SECTION("even if an older report arrives late")
        {
            entry.tell({"north"}, 1);
            north->scripts = {answer(200, "north", 2)};
            CHECK(contains(entry.send_request(lookup(2)), "north"));
        }
    }
}

TEST_CASE("an entry that starts learns the evacuations with its first lease")
{
    told_entry entry;
    entry.view.site_valid_until = {};
    entry.view.site_confirmed_at = {};
    const auto north = entry.add_upstream("u1", "desk", "north");
    north->scripts = {answer(200, "north")};
    entry.tell({"north"}, 3);
    REQUIRE(entry.link.ready(uptime()));
    CHECK(contains(entry.send_request(lookup()), "503"));
    CHECK(north->requests.empty());
}
