// The cheapest upstream that meets the target is chosen.
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

struct world
{
    directory dir;
    routing_state state;
    choice_request request;

    world()
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

    choice_result ask(time_point now = start)
    {
        ++request.draw;
        return choose_upstream(dir, state, request, now);
    }

    std::string chosen(time_point now = start)
    {
        const choice_result result = ask(now);
        const auto* made = std::get_if<choice>(&result);
        return made ? made->id.value : "";
    }

    std::string send(time_point now = start)
    {
        const choice_result result = ask(now);
        const auto* made = std::get_if<choice>(&result);
        if (!made)
            return "";
        on_dispatch(state, request, *made, now);
        return made->id.value;
    }

    no_choice_reason refusal(time_point now = start)
    {
        return std::get<no_choice>(ask(now)).reason;
    }
};

} // namespace

TEST_CASE("a service without upstreams has none to choose")
{
    world w;
    CHECK(w.refusal() == no_choice_reason::none_known);
}

TEST_CASE("one of two upstreams is chosen")
{
    world w;
    w.add("cheap", "suva", 1);
    w.add("dear", "nadi", 5);

    SECTION("the cheaper one while it meets the target")
    {
        CHECK(w.chosen() == "cheap");
    }
    SECTION("the dearer one when the cheaper one is full")
    {
        for (int i = 0; i < 4; ++i)
            CHECK(w.send() == "cheap");
        CHECK(w.send() == "dear");
    }
    SECTION("the one that the versions allow")
    {
        w.request.versions = {{"v2"}};
        CHECK(w.refusal() == no_choice_reason::none_known);
    }
    SECTION("not one that already failed it")
    {
        w.request.excluded = {{"cheap"}};
        CHECK(w.chosen() == "dear");
    }
    SECTION("not in an avoided failure domain, where another will do")
    {
        w.request.avoided = {{"suva"}};
        CHECK(w.chosen() == "dear");
        w.request.excluded = {{"dear"}};
        CHECK(w.chosen() == "cheap");
    }
    SECTION("not one that has left or fell silent")
    {
        leave(w.dir, {"cheap"});
        CHECK(w.chosen() == "dear");
        CHECK(w.refusal(start + 2s) == no_choice_reason::none_known);
    }
    SECTION("a load report says that it is full")
    {
        on_load(w.state, {{"cheap"}, 2, 4, 3, 0, 0}, start);
        CHECK(w.chosen() == "dear");
        SECTION("an older report changes nothing")
        {
            on_load(w.state, {{"cheap"}, 1, 0, 0, 0, 0}, start);
            CHECK(w.chosen() == "dear");
        }
        SECTION("a newer one does")
        {
            on_load(w.state, {{"cheap"}, 3, 0, 0, 0, 0}, start + 1s);
            CHECK(w.chosen(start + 1s) == "cheap");
        }
    }
    SECTION("it says itself that it is full, and is left alone for a moment")
    {
        attempt_observed seen;
        seen.target = {"cheap"};
        seen.failure = attempt_failure::refused;
        on_observed(w.state, seen, start);
        CHECK(w.chosen() == "dear");
        CHECK(count_slots(w.dir, w.state, {"llm"}, start).free == 4);
        CHECK(w.chosen(start + full_pause) == "cheap");
    }
    SECTION("none when all are full and waiting can help")
    {
        for (int i = 0; i < 8; ++i)
            CHECK_FALSE(w.send().empty());
        CHECK(w.refusal() == no_choice_reason::wait);
    }
    SECTION("none when the time left cannot suffice")
    {
        w.request.time_left = 100ms;
        CHECK(w.refusal() == no_choice_reason::too_late);
    }
}

TEST_CASE("price alone decides while an upstream is at ease")
{
    world w;
    w.add("cheap", "suva", 1);
    w.add("near", "nadi", 1.5);
    for (int i = 0; i < 16; ++i)
    {
        w.request.draw += 0x9e3779b97f4a7c14ULL;
        CHECK(w.chosen() == "cheap");
    }
    SECTION("and load among near equals, when it is not")
    {
        for (int i = 0; i < 2; ++i)
            CHECK(w.send() == "cheap");
        CHECK(w.send() == "near");
    }
}

TEST_CASE("an upstream that holds the prompt's prefix is preferred")
{
    world w;
    w.add("a", "suva", 1);
    w.add("b", "nadi", 1);
    w.request.prompt_tokens = 4'000;
    w.request.prefix_blocks = prefix_blocks(std::string(16'000, 'q'));
    const std::string first = w.send();
    for (int i = 0; i < 3; ++i)
        CHECK(w.chosen(start + 1s) == first);

    SECTION("until its cache is dropped")
    {
        on_cache_events(w.state, {{first}, 1, {}, {}, true});
        std::set<std::string> seen;
        for (int i = 0; i < 32; ++i)
        {
            w.request.draw += 0x9e3779b97f4a7c14ULL;
            seen.insert(w.chosen(start + 1s));
        }
        CHECK(seen.size() == 2);
    }
}

TEST_CASE("an upstream that fails is ejected, probed and readmitted")
{
    world w;
    w.add("a", "suva", 1);
    w.add("b", "suva", 2);
    w.add("c", "suva", 2);
    attempt_observed seen;
    seen.target = {"a"};
    seen.failure = attempt_failure::broken;
    for (int i = 0; i < 3; ++i)
        on_observed(w.state, seen, start);
    CHECK(w.chosen() != "a");

    SECTION("after a while one request in some probes it")
    {
        for (const char* id : {"a", "b", "c"})
            announce(w.dir, find(w.dir, {id})->value, start + 6s);
        w.request.draw = 7;
        CHECK(w.chosen(start + 6s) == "a");
        w.request.draw = 8;
        CHECK(w.chosen(start + 6s) != "a");
        SECTION("and good probes bring it back")
        {
            seen.failure.reset();
            for (int i = 0; i < 3; ++i)
                on_observed(w.state, seen, start + 6s);
            w.request.draw = 8;
            CHECK(w.chosen(start + 6s) == "a");
        }
    }
    SECTION("but not when too many would be ejected")
    {
        seen.target = {"b"};
        for (int i = 0; i < 3; ++i)
            on_observed(w.state, seen, start);
        CHECK(w.chosen() == "a");
    }
}

TEST_CASE("an entry uses a part of a large service's upstreams")
{
    world w;
    const std::vector<std::string> domains = {"suva", "nadi", "lautoka"};
    for (int i = 0; i < 5'000; ++i)
        w.add("w" + std::to_string(i), domains[i % 3], 1);
    const auto mine = subset_of(w.dir, {"llm"}, {"n1"});
    CHECK(mine.size() <= subset_size + domains.size());
    std::map<std::string, int> count;
    for (const upstream_id& id : mine)
        ++count[find(w.dir, id)->value.domain.value];
    for (const std::string& domain : domains)
        CHECK(count[domain] >= 16);

    SECTION("which changes little when one leaves")
    {
        leave(w.dir, mine.front());
        const auto after = subset_of(w.dir, {"llm"}, {"n1"});
        std::set<upstream_id> same(mine.begin(), mine.end());
        int fresh = 0;
        for (const upstream_id& id : after)
            fresh += same.count(id) == 0 ? 1 : 0;
        CHECK(fresh <= 1);
    }
    SECTION("a request may name one outside of it")
    {
        refresh_subsets(w.state, w.dir, {"n1"});
        const std::set<upstream_id> own(mine.begin(), mine.end());
        int other = 0;
        while (own.count({"w" + std::to_string(other)}) != 0)
            ++other;
        w.request.only = {{"w" + std::to_string(other)}};
        CHECK(w.chosen() == w.request.only.front().value);
    }
    SECTION("and another entry has another part")
    {
        CHECK(subset_of(w.dir, {"llm"}, {"n2"}) != mine);
    }
}

TEST_CASE("no upstream is chosen that left or fell silent two seconds before")
{
    CHECK(rc::check(
        []
        {
            world w;
            const std::vector<std::string> names = {"a", "b", "c"};
            std::map<std::string, time_point> silent_since;
            std::set<std::string> left;
            for (const std::string& name : names)
            {
                w.add(name, "suva", 1);
                silent_since[name] = start;
            }
            time_point now = start;
            for (int step = 0; step < 60; ++step)
            {
                now += *rc::gen::inRange(0, 400) * 1ms;
                const std::string name = *rc::gen::elementOf(names);
                const auto* entry = find(w.dir, {name});
                switch (*rc::gen::inRange(0, 12))
                {
                case 0:
                    leave(w.dir, {name});
                    left.insert(name);
                    break;
                case 1:
                    on_load(w.state, {{name}, std::uint64_t(step), 0, 0}, now);
                    break;
                default:
                    announce(w.dir, upstream(entry->value), now);
                    silent_since[name] = now;
                }
                const std::string chosen = w.chosen(now);
                RC_ASSERT(left.count(chosen) == 0);
                RC_ASSERT(chosen.empty() || now < silent_since[chosen] + 2s);
            }
        }));
}

TEST_CASE("the roster makes choices quicker, never other ones")
{
    CHECK(rc::check(
        []
        {
            world plain;
            world quick;
            const std::vector<std::string> names = {"a", "b", "c", "d"};
            time_point now = start;
            for (int step = 0; step < 40; ++step)
            {
                now += *rc::gen::inRange(0, 600) * 1ms;
                const std::string name = *rc::gen::elementOf(names);
                const int what = *rc::gen::inRange(0, 9);
                const bool refresh = *rc::gen::inRange(0, 2) == 0;
                for (world* w : {&plain, &quick})
                {
                    const bool known = find(w->dir, {name}) != nullptr;
                    if (what == 0)
                        lost(w->dir, {name});
                    else if (what == 3)
                        on_lost(w->state, {name});
                    else if (what == 1)
                        expire(w->dir, now + 1h);
                    else if (what == 2)
                        leave(w->dir, {name});
                    else if (!known)
                        w->add(name, "suva", what, now);
                    else
                        announce(
                            w->dir, upstream(find(w->dir, {name})->value), now);
                }
                if (refresh)
                    refresh_subsets(quick.state, quick.dir, {"n1"});
                RC_ASSERT(plain.send(now) == quick.send(now));
            }
        }));
}

TEST_CASE("one slow upstream among three is ejected, the others are not")
{
    world w;
    const std::vector<std::string> names = {"a", "b", "c"};
    for (const std::string& name : names)
        w.add(name, "suva", 1);
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
            on_observed(w.state, seen, start);
        }
    const auto state_of = [&w](const char* name)
    {
        return w.state.upstreams.at({name}).health.state;
    };
    CHECK(state_of("a") == health_state::ejected);
    CHECK(state_of("b") == health_state::healthy);
    CHECK(state_of("c") == health_state::healthy);
    CHECK(w.chosen() != "a");

    SECTION("when all become slow, nobody new is")
    {
        seen.target = {"b"};
        for (int i = 0; i < 200; ++i)
            for (const std::string& name : names)
            {
                seen.target = {name};
                seen.first_token = 40ms;
                if (streams)
                    seen.mean_gap = 40ms;
                on_observed(w.state, seen, start);
            }
        CHECK(state_of("b") == health_state::healthy);
        CHECK(state_of("c") == health_state::healthy);
    }
}

TEST_CASE("load reports alone show which upstream is slow")
{
    world w;
    for (const char* name : {"a", "b", "c"})
        w.add(name, "suva", 1);
    for (std::uint64_t i = 1; i < 60; ++i)
        for (const char* name : {"a", "b", "c"})
        {
            const double rate = name[0] == 'a' ? 40 : 100;
            on_load(w.state, {{name}, i, 3, 0, 0.5, rate}, start);
        }
    const auto state_of = [&w](const char* name)
    {
        return w.state.upstreams.at({name}).health.state;
    };
    CHECK(state_of("a") == health_state::ejected);
    CHECK(state_of("b") == health_state::healthy);
    CHECK(state_of("c") == health_state::healthy);
}
