// What an entry concludes from the reports of control nodes.
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

control_link_options link_options()
{
    control_link_options options;
    options.seeds = {{"c1"}};
    options.parse = parse_site;
    return options;
}

/// A control link that keeps the reports that it sends.
struct linked_entry
{
    entry_fixture entry;
    std::vector<wire::site::entry_report> sent;
    control_link link;

    linked_entry()
        : link(
              link_options(),
              entry.view,
              *entry.requests,
              entry.log,
              [this](const node_id&, const std::string& bytes)
              {
                  sent.emplace_back();
                  REQUIRE(sent.back().ParseFromString(bytes));
              })
    {
        entry.view.site_valid_until = {};
        entry.view.site_confirmed_at = {};
        link.tick(uptime());
        REQUIRE_FALSE(sent.empty());
    }

    void receive(std::int64_t asked_at_us)
    {
        wire::site::control_report report;
        report.set_asked_at_us(asked_at_us);
        report.set_confirmed_age_us(0);
        report.set_site_version(1);
        report.set_site("1");
        link.on_control_report({"c1"}, report.SerializeAsString());
    }
};

} // namespace

TEST_CASE(
    "a confirmation holds for the lease from the report that asked for it")
{
    linked_entry linked;
    const std::int64_t asked_at_us = linked.sent.back().asked_at_us();

    SECTION("in answer to a report of this process")
    {
        linked.receive(asked_at_us);
        CHECK(linked.link.ready(uptime()));
        CHECK_FALSE(linked.link.ready(uptime() + 4400ms));
    }
    SECTION("not in answer to a report of an earlier process, by another clock")
    {
        constexpr std::int64_t hour_us = 3'600'000'000;
        linked.receive(asked_at_us + hour_us);
        CHECK_FALSE(linked.link.ready(uptime()));
        linked.receive(asked_at_us - hour_us);
        CHECK_FALSE(linked.link.ready(uptime()));
    }
}

TEST_CASE("all reports of one process name the same run")
{
    linked_entry first;
    linked_entry second;
    first.link.tick(uptime() + 1s);
    REQUIRE(first.sent.size() > 1);
    CHECK(first.sent.front().run_id() == first.sent.back().run_id());
    CHECK(first.sent.front().run_id() != second.sent.front().run_id());
}

// Guards against a leader that is busy with early reports alone: at an entry
// among many, nearly every request takes a large part of its grant.
TEST_CASE("reports on limits leave the leader time, however many entries share "
          "them")
{
    linked_entry linked;
    time_point now = uptime();
    bool is_grant_awaited = false;
    const auto count_reports = [&](std::uint32_t entries)
    {
        wire::site::control_report report;
        report.set_asked_at_us(linked.sent.back().asked_at_us());
        report.set_confirmed_age_us(0);
        report.set_site_version(1);
        report.set_site("1");
        report.set_leader("c1");
        report.set_is_leader(true);
        report.set_entries(entries);
        linked.link.on_control_report({"c1"}, report.SerializeAsString());
        const auto run_for = [&](duration span)
        {
            const std::size_t before = linked.sent.size();
            for (const time_point end = now + span; now < end; now += 10ms)
            {
                linked.entry.view.limits_nearly_used = true;
                linked.entry.view.is_grant_awaited = is_grant_awaited;
                linked.link.tick(now);
            }
            return linked.sent.size() - before;
        };
        constexpr duration warm_up = 1s;
        constexpr duration span = 3s;
        run_for(warm_up);
        return static_cast<double>(run_for(span) - 1) / to_seconds(span);
    };
    constexpr double max_reports_per_s = 250;

    SECTION("few entries report early")
    {
        CHECK(count_reports(4) > 8);
    }
    SECTION("as many as on the largest deployment of today")
    {
        CHECK(91 * count_reports(91) < max_reports_per_s);
    }
    SECTION("and twice as many while requests wait for grants")
    {
        is_grant_awaited = true;
        const double rate = 91 * count_reports(91);
        CHECK(rate > 1.5 * max_reports_per_s);
        CHECK(rate < 2 * max_reports_per_s);
    }
    SECTION("as many as the system has to carry")
    {
        // Callers are not told of an entry that has not reported for 1.5 s.
        const double rate = count_reports(403);
        CHECK(rate > 1 / 1.5 - 0.01);
        CHECK(rate <= 1 / 0.75);
    }
}
