// Choice of an upstream: the cheapest one that meets the target, and the
// learning behind it.
#include "routing/choose.hpp"
#include "routing/subset.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <set>

using namespace bergamotusher;
using namespace bergamotusher::routing;
using membership::directory;

namespace
{

constexpr time_point start{1000s};

struct routing_fixture
{
    directory dir;
    routing_state state;
    choice_request request;

    routing_fixture()
    {
        request.service = {"llm"};
        request.prompt_tokens = 200;
        request.expected_tokens = 100;
    }

    void
    add(const std::string& id,
        const std::string& domain,
        double price,
        time_point now = start)
    {
        upstream value;
        value.id = {id};
        value.incarnation = 1;
        value.service = {"llm"};
        value.version = {"v1"};
        value.domain = {domain};
        value.instance_class = "small";
        value.price_per_hour = price;
        value.slots = 4;
        announce(dir, value, now);
        on_announced(state, value);
    }

    choice_result choose(time_point now = start)
    {
        ++request.draw;
        return choose_upstream(dir, state, request, now);
    }

    std::string chosen_id(time_point now = start)
    {
        const choice_result result = choose(now);
        const auto* made = std::get_if<choice>(&result);
        return made ? made->id.value : "";
    }

    std::string dispatch(time_point now = start)
    {
        const choice_result result = choose(now);
        const auto* made = std::get_if<choice>(&result);
        if (!made)
            return "";
        on_dispatch(state, request, *made, now);
        return made->id.value;
    }

    no_choice_reason no_choice_reason_now(time_point now = start)
    {
        return std::get<no_choice>(choose(now)).reason;
    }
};

} // namespace

TEST_CASE("a service without upstreams gives no choice")
{
    routing_fixture fixture;
    CHECK(fixture.no_choice_reason_now() == no_choice_reason::none_known);
}

TEST_CASE("chooses one of two upstreams")
{
    routing_fixture fixture;
    fixture.add("cheap", "suva", 1);
    fixture.add("dear", "nadi", 5);

    SECTION("chooses the cheaper one while it meets the target")
    {
        CHECK(fixture.chosen_id() == "cheap");
    }
    SECTION("chooses the more expensive one when the cheaper one is full")
    {
        for (int i = 0; i < 4; ++i)
            CHECK(fixture.dispatch() == "cheap");
        CHECK(fixture.dispatch() == "dear");
    }
    SECTION("chooses none if no upstream runs a permitted version")
    {
        fixture.request.versions = {{"v2"}};
        CHECK(fixture.no_choice_reason_now() == no_choice_reason::none_known);
    }
    SECTION("does not choose an upstream that already failed the request")
    {
        fixture.request.excluded = {{"cheap"}};
        CHECK(fixture.chosen_id() == "dear");
    }
    SECTION("avoids a failure domain unless no other upstream is left")
    {
        fixture.request.avoided = {{"suva"}};
        CHECK(fixture.chosen_id() == "dear");
        fixture.request.excluded = {{"dear"}};
        CHECK(fixture.chosen_id() == "cheap");
    }
    SECTION("does not choose an upstream that has left or stopped announcing")
    {
        mark_leaving(fixture.dir, {"cheap"});
        CHECK(fixture.chosen_id() == "dear");
        CHECK(
            fixture.no_choice_reason_now(start + 2s) ==
            no_choice_reason::none_known);
    }
    SECTION("does not choose an upstream that its load report shows as full")
    {
        on_load(fixture.state, {{"cheap"}, 2, 4, 3, 0, 0}, start);
        CHECK(fixture.chosen_id() == "dear");
        SECTION("an older report is ignored")
        {
            on_load(fixture.state, {{"cheap"}, 1, 0, 0, 0, 0}, start);
            CHECK(fixture.chosen_id() == "dear");
        }
        SECTION("a newer report is applied")
        {
            on_load(fixture.state, {{"cheap"}, 3, 0, 0, 0, 0}, start + 1s);
            CHECK(fixture.chosen_id(start + 1s) == "cheap");
        }
    }
    SECTION(
        "an upstream that refused a request as full gets none for a short time")
    {
        attempt_observed seen;
        seen.target = {"cheap"};
        seen.failure = attempt_failure::refused;
        on_observed(fixture.state, seen, start);
        CHECK(fixture.chosen_id() == "dear");
        CHECK(
            count_slots(fixture.dir, fixture.state, {"llm"}, start).free == 4);
        CHECK(fixture.chosen_id(start + full_upstream_backoff) == "cheap");
    }
    SECTION("tells the caller to wait when all upstreams are full")
    {
        for (int i = 0; i < 8; ++i)
            CHECK_FALSE(fixture.dispatch().empty());
        CHECK(fixture.no_choice_reason_now() == no_choice_reason::wait);
    }
    SECTION("tells the caller that the time left is too short")
    {
        fixture.request.time_left = 100ms;
        CHECK(fixture.no_choice_reason_now() == no_choice_reason::too_late);
    }
}

TEST_CASE("price alone decides among lightly loaded upstreams")
{
    routing_fixture fixture;
    fixture.add("cheap", "suva", 1);
    fixture.add("near", "nadi", 1.5);
    for (int i = 0; i < 16; ++i)
    {
        fixture.request.draw += 0x9e3779b97f4a7c14ULL;
        CHECK(fixture.chosen_id() == "cheap");
    }
    SECTION("load decides among similarly priced upstreams that are not "
            "lightly loaded")
    {
        for (int i = 0; i < 2; ++i)
            CHECK(fixture.dispatch() == "cheap");
        CHECK(fixture.dispatch() == "near");
    }
}

TEST_CASE("prefers an upstream that has the prompt's prefix cached")
{
    routing_fixture fixture;
    fixture.add("a", "suva", 1);
    fixture.add("b", "nadi", 1);
    fixture.request.prompt_tokens = 4'000;
    fixture.request.prefix_blocks = prefix_blocks(std::string(16'000, 'q'));
    const std::string first = fixture.dispatch();
    for (int i = 0; i < 3; ++i)
        CHECK(fixture.chosen_id(start + 1s) == first);

    SECTION("until its cache is cleared")
    {
        on_cache_events(fixture.state, {{first}, 1, {}, {}, true});
        std::set<std::string> seen;
        for (int i = 0; i < 32; ++i)
        {
            fixture.request.draw += 0x9e3779b97f4a7c14ULL;
            seen.insert(fixture.chosen_id(start + 1s));
        }
        CHECK(seen.size() == 2);
    }
}

TEST_CASE("a failing upstream is ejected, probed and readmitted")
{
    routing_fixture fixture;
    fixture.add("a", "suva", 1);
    fixture.add("b", "suva", 2);
    fixture.add("c", "suva", 2);
    attempt_observed seen;
    seen.target = {"a"};
    seen.failure = attempt_failure::broken;
    for (int i = 0; i < 3; ++i)
        on_observed(fixture.state, seen, start);
    CHECK(fixture.chosen_id() != "a");

    SECTION("after the ejection one request in eight probes it")
    {
        for (const char* id : {"a", "b", "c"})
            announce(fixture.dir, find(fixture.dir, {id})->value, start + 6s);
        fixture.request.draw = 7;
        CHECK(fixture.chosen_id(start + 6s) == "a");
        fixture.request.draw = 8;
        CHECK(fixture.chosen_id(start + 6s) != "a");
        SECTION("successful probes readmit it")
        {
            seen.failure.reset();
            for (int i = 0; i < 3; ++i)
                on_observed(fixture.state, seen, start + 6s);
            fixture.request.draw = 8;
            CHECK(fixture.chosen_id(start + 6s) == "a");
        }
    }
    SECTION("ejection is ignored when too many upstreams are ejected")
    {
        seen.target = {"b"};
        for (int i = 0; i < 3; ++i)
            on_observed(fixture.state, seen, start);
        CHECK(fixture.chosen_id() == "a");
    }
}

TEST_CASE("an entry uses a subset of a large service's upstreams")
{
    routing_fixture fixture;
    const std::vector<std::string> domains = {"suva", "nadi", "lautoka"};
    for (int i = 0; i < 5'000; ++i)
        fixture.add("w" + std::to_string(i), domains[i % 3], 1);
    const auto own_subset = select_subset(fixture.dir, {"llm"}, {"n1"});
    CHECK(own_subset.size() <= subset_size + domains.size());
    std::map<std::string, int> count;
    for (const upstream_id& id : own_subset)
        ++count[find(fixture.dir, id)->value.domain.value];
    for (const std::string& domain : domains)
        CHECK(count[domain] >= 16);

    SECTION("the subset changes by at most one when an upstream leaves")
    {
        mark_leaving(fixture.dir, own_subset.front());
        const auto after = select_subset(fixture.dir, {"llm"}, {"n1"});
        std::set<upstream_id> same(own_subset.begin(), own_subset.end());
        int added = 0;
        for (const upstream_id& id : after)
            added += same.count(id) == 0 ? 1 : 0;
        CHECK(added <= 1);
    }
    SECTION("a request may name an upstream outside of the subset")
    {
        refresh_subsets(fixture.state, fixture.dir, {"n1"});
        const std::set<upstream_id> own(own_subset.begin(), own_subset.end());
        int outside = 0;
        while (own.count({"w" + std::to_string(outside)}) != 0)
            ++outside;
        fixture.request.only = {{"w" + std::to_string(outside)}};
        CHECK(fixture.chosen_id() == fixture.request.only.front().value);
    }
    SECTION("another entry has another subset")
    {
        CHECK(select_subset(fixture.dir, {"llm"}, {"n2"}) != own_subset);
    }
}

TEST_CASE("never chooses an upstream that left, or whose last announcement is "
          "two seconds old")
{
    CHECK(rc::check(
        []
        {
            routing_fixture fixture;
            const std::vector<std::string> names = {"a", "b", "c"};
            std::map<std::string, time_point> silent_since;
            std::set<std::string> left;
            for (const std::string& name : names)
            {
                fixture.add(name, "suva", 1);
                silent_since[name] = start;
            }
            time_point now = start;
            for (int step = 0; step < 60; ++step)
            {
                now += *rc::gen::inRange(0, 400) * 1ms;
                const std::string name = *rc::gen::elementOf(names);
                const auto* entry = find(fixture.dir, {name});
                switch (*rc::gen::inRange(0, 12))
                {
                case 0:
                    mark_leaving(fixture.dir, {name});
                    left.insert(name);
                    break;
                case 1:
                    on_load(
                        fixture.state,
                        {{name}, std::uint64_t(step), 0, 0},
                        now);
                    break;
                default:
                    announce(fixture.dir, upstream(entry->value), now);
                    silent_since[name] = now;
                }
                const std::string chosen = fixture.chosen_id(now);
                RC_ASSERT(left.count(chosen) == 0);
                RC_ASSERT(chosen.empty() || now < silent_since[chosen] + 2s);
            }
        }));
}

TEST_CASE("choices with the roster are the same as without it")
{
    CHECK(rc::check(
        []
        {
            routing_fixture without_roster;
            routing_fixture with_roster;
            const std::vector<std::string> names = {"a", "b", "c", "d"};
            time_point now = start;
            for (int step = 0; step < 40; ++step)
            {
                now += *rc::gen::inRange(0, 600) * 1ms;
                const std::string name = *rc::gen::elementOf(names);
                const int action = *rc::gen::inRange(0, 9);
                const bool refresh = *rc::gen::inRange(0, 2) == 0;
                for (routing_fixture* fixture : {&without_roster, &with_roster})
                {
                    const bool known = find(fixture->dir, {name}) != nullptr;
                    if (action == 0)
                        mark_lost(fixture->dir, {name});
                    else if (action == 3)
                        on_lost(fixture->state, {name});
                    else if (action == 1)
                        expire(fixture->dir, now + 1h);
                    else if (action == 2)
                        mark_leaving(fixture->dir, {name});
                    else if (!known)
                        fixture->add(name, "suva", action, now);
                    else
                        announce(
                            fixture->dir,
                            upstream(find(fixture->dir, {name})->value),
                            now);
                }
                if (refresh)
                    refresh_subsets(with_roster.state, with_roster.dir, {"n1"});
                RC_ASSERT(
                    without_roster.dispatch(now) == with_roster.dispatch(now));
            }
        }));
}

TEST_CASE("one slow upstream of three is ejected and the others are not")
{
    routing_fixture fixture;
    const std::vector<std::string> names = {"a", "b", "c"};
    for (const std::string& name : names)
        fixture.add(name, "suva", 1);
    const bool streams = GENERATE(true, false);
    attempt_observed seen;
    seen.answered_tokens = 50;
    for (int i = 0; i < 40; ++i)
        for (const std::string& name : names)
        {
            const duration time = name == "a" ? 62ms : 25ms;
            seen.target = {name};
            seen.first_token = time;
            if (streams)
                seen.mean_gap = time;
            on_observed(fixture.state, seen, start);
        }
    const auto state_of = [&fixture](const char* name)
    {
        return fixture.state.upstreams.at({name}).health.state;
    };
    CHECK(state_of("a") == health_state::ejected);
    CHECK(state_of("b") == health_state::healthy);
    CHECK(state_of("c") == health_state::healthy);
    CHECK(fixture.chosen_id() != "a");

    SECTION("none is ejected in addition when all become equally slow")
    {
        seen.target = {"b"};
        for (int i = 0; i < 200; ++i)
            for (const std::string& name : names)
            {
                seen.target = {name};
                seen.first_token = 40ms;
                if (streams)
                    seen.mean_gap = 40ms;
                on_observed(fixture.state, seen, start);
            }
        CHECK(state_of("b") == health_state::healthy);
        CHECK(state_of("c") == health_state::healthy);
    }
}

TEST_CASE("an upstream is ejected as slow by its load reports alone")
{
    routing_fixture fixture;
    for (const char* name : {"a", "b", "c"})
        fixture.add(name, "suva", 1);
    for (std::uint64_t i = 1; i < 60; ++i)
        for (const char* name : {"a", "b", "c"})
        {
            const double rate = name[0] == 'a' ? 40 : 100;
            on_load(fixture.state, {{name}, i, 3, 0, 0.5, rate}, start);
        }
    const auto state_of = [&fixture](const char* name)
    {
        return fixture.state.upstreams.at({name}).health.state;
    };
    CHECK(state_of("a") == health_state::ejected);
    CHECK(state_of("b") == health_state::healthy);
    CHECK(state_of("c") == health_state::healthy);
}
