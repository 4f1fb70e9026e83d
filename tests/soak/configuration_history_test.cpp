// Shows that the judge of the configuration detects each kind of violation.
#include "soak/configuration_history.hpp"

#include <catch2/catch.hpp>

using namespace soak;
using std::chrono::milliseconds;

namespace
{

constexpr unsigned entry = 5;
constexpr unsigned control_nodes = 5;

/// Two versions: the second one, acknowledged 1 s after the start, moves a
/// route, drops one, adds one and withdraws a key.
struct judged_run
{
    time_point start = clock_type::now();
    contact_log contacts{control_nodes};
    configuration_history history{contacts, start};
    configuration_spec first = first_configuration();
    configuration_spec second;
    std::size_t second_change = 0;
    unsigned probes = 0;

    judged_run()
    {
        contacts.record_start(entry, start);
        first.routes["/moved/"] = "desk";
        first.routes["/dropped/"] = "desk";
        second = first;
        second.version = 2;
        second.routes["/moved/"] = "llm";
        second.routes["/added/"] = "desk";
        second.routes.erase("/dropped/");
        second.keys.erase("acme-2");
        acknowledge(send(first, 0), 10);
        second_change = send(second, 900);
        acknowledge(second_change, 1000);
    }

    time_point at(int ms) const
    {
        return start + milliseconds(ms);
    }

    std::size_t send(const configuration_spec& spec, int ms)
    {
        return history.record_sent(spec, to_json(spec), false, at(ms));
    }

    void acknowledge(std::size_t change, int ms)
    {
        history.record_acknowledged(change, at(ms));
    }

    /// A probe that was answered 20 ms later, and executed 10 ms later if a
    /// service is given.
    void probe(
        const std::string& prefix,
        int sent_ms,
        int status,
        const std::string& service = {},
        const std::string& key = "acme-1")
    {
        const std::string attempt = "p" + std::to_string(++probes);
        if (!service.empty())
            history.record_execution(attempt, service, at(sent_ms + 10));
        history.record_probe(
            attempt,
            {entry,
             prefix,
             key,
             at(sent_ms),
             at(sent_ms + 20),
             status,
             {},
             {}});
    }

    void read(const configuration_spec& spec, int sent_ms)
    {
        history.record_read({0, at(sent_ms), at(sent_ms + 5), to_json(spec)});
    }
};

} // namespace

TEST_CASE("configuration_history reports exactly the violated promises")
{
    judged_run run;
    REQUIRE(run.history.violations().empty());
    constexpr int soon = 1500;
    constexpr int later = 3200;

    SECTION(
        "an entry may go by the old version until the time to apply is over")
    {
        run.probe("/moved/", soon, 200, "desk");
        run.probe("/added/", soon, 404);
        CHECK(run.history.violations().empty());
    }
    SECTION("and by the new one from its sending on")
    {
        run.probe("/moved/", 950, 200, "llm");
        run.probe("/added/", later, 200, "desk");
        run.probe("/dropped/", later, 404);
        run.probe("/moved/", later, 401, {}, "acme-2");
        CHECK(run.history.violations().empty());
    }
    SECTION("a route that still leads to the old service")
    {
        run.probe("/moved/", later, 200, "desk");
        CHECK(run.history.violations().size() == 1);
    }
    SECTION("an added route that is still refused")
    {
        run.probe("/added/", later, 404);
        CHECK(run.history.violations().size() == 1);
    }
    SECTION("a dropped route that is still served")
    {
        run.probe("/dropped/", later, 200, "desk");
        CHECK(run.history.violations().size() == 1);
    }
    SECTION("not at an entry out of contact")
    {
        run.contacts.end(
            run.contacts.begin(entry, false, run.at(soon)), run.at(soon + 50));
        run.probe("/added/", later, 404);
        CHECK(run.history.violations().empty());
    }
    SECTION("but a withdrawn key holds for every entry, a little later")
    {
        run.contacts.begin(entry, false, run.at(soon));
        run.probe("/moved/", 5900, 200, "desk", "acme-2");
        CHECK(run.history.violations().empty());
        run.probe("/moved/", 6100, 200, "desk", "acme-2");
        CHECK(run.history.violations().size() == 1);
    }
    SECTION("an unstable core gives more time")
    {
        run.contacts.end(
            run.contacts.begin(0, true, run.at(soon)), run.at(soon + 50));
        run.probe("/added/", later, 404);
        CHECK(run.history.violations().empty());
        run.contacts.begin(1, true, run.at(7500));
        run.probe("/added/", 8200, 404);
        CHECK(run.history.violations().size() == 1);
    }
    SECTION("an entry that goes back within one life")
    {
        run.probe("/moved/", 1000, 200, "llm");
        run.probe("/moved/", 1200, 200, "desk");
        CHECK(run.history.violations().empty());
        run.probe("/moved/", 1400, 200, "desk");
        CHECK(run.history.violations().size() == 1);

        SECTION("may do so in its next life")
        {
            run.contacts.record_start(entry, run.at(1300));
            CHECK(run.history.violations().empty());
        }
    }
    SECTION("a read that returns an older version")
    {
        run.read(run.first, soon);
        CHECK(run.history.violations().empty());
        run.read(run.first, later);
        CHECK(run.history.violations().size() == 1);
    }
    SECTION("a read that returns what nobody sent")
    {
        configuration_spec unknown = run.second;
        unknown.routes["/unknown/"] = "desk";
        run.read(unknown, later);
        CHECK(run.history.violations().size() == 1);
    }
    SECTION("an invalid configuration that is acknowledged, read and obeyed")
    {
        configuration_spec invalid = run.second;
        invalid.version = 3;
        invalid.defect = configuration_defect::zero_weights;
        const std::size_t change = run.send(invalid, 1100);
        CHECK(run.history.violations().empty());
        run.acknowledge(change, 1150);
        CHECK(run.history.violations().size() == 1);
        run.read(invalid, 1200);
        CHECK(run.history.violations().size() == 2);
        run.probe(defective_prefix(3), 1300, 200, "desk");
        CHECK(run.history.violations().size() == 3);
    }
    SECTION("a valid change that is rejected")
    {
        configuration_spec third = run.second;
        third.version = 3;
        run.history.record_rejected(run.send(third, 1100), run.at(1150));
        CHECK(run.history.violations().size() == 1);
    }
    SECTION("two contents of one version, both acknowledged")
    {
        configuration_spec other = run.second;
        other.routes["/race/"] = "desk";
        run.acknowledge(run.send(other, 950), 1100);
        CHECK(run.history.violations().size() == 1);
    }
    SECTION("an acknowledged change that is rejected when sent again")
    {
        run.history.record_repeat_rejected(run.second_change, run.at(1200));
        CHECK(run.history.violations().size() == 1);
    }
    SECTION("a change without an acknowledgement while the core is stable")
    {
        configuration_spec third = run.second;
        third.version = 3;
        run.history.record_ended(run.send(third, 1100), run.at(5000));
        CHECK(run.history.violations().empty());
        third.version = 4;
        run.history.record_ended(run.send(third, 1100), run.at(5200));
        CHECK(run.history.violations().size() == 1);
    }
    SECTION("an entry that is down does not excuse a missing acknowledgement")
    {
        configuration_spec third = run.second;
        third.version = 3;
        run.history.record_ended(run.send(third, 1100), run.at(5200));
        run.contacts.begin(entry, false, run.at(1200));
        CHECK(run.history.violations().size() == 1);

        SECTION("a link that is cut does")
        {
            run.contacts.begin(entry, false, run.at(3000), true);
            CHECK(run.history.violations().empty());
        }
    }
    SECTION("added routes that are hardly served")
    {
        for (int i = 0; i < 40; ++i)
        {
            run.probe(stable_prefix, 12000 + i, 200, "desk");
            run.probe("/added/", 12000 + i, i % 5 == 0 ? 200 : 503);
        }
        CHECK(run.history.violations().size() == 1);
    }
    SECTION("requests without an answer after their timeout")
    {
        for (int i = 0; i < 10; ++i)
            run.history.record_probe(
                "late" + std::to_string(i),
                {entry,
                 slow_prefix,
                 "acme-1",
                 run.at(4000),
                 run.at(4000 + run.second.slow_timeout_ms + 600),
                 504,
                 {},
                 {}});
        CHECK(run.history.violations().size() == 1);
    }
    SECTION("no configuration at the end")
    {
        run.history.record_final_read_missing(0);
        CHECK(run.history.violations().size() == 1);
    }
}
