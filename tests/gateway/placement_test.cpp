// Which upstream a request goes to.
#include "base/hash.hpp"
#include "gateway/placement.hpp"

#include <catch2/catch.hpp>

#include <memory>

using namespace bergamotusher;
using namespace bergamotusher::gateway;

namespace
{

constexpr time_point now{1000s};
const failure_domain here{"north"};

struct fleet
{
    std::vector<std::unique_ptr<upstream_view>> views;

    explicit fleet(int count)
    {
        for (int i = 0; i < count; ++i)
        {
            auto view = std::make_unique<upstream_view>();
            view->value.id = {"u" + std::to_string(i)};
            view->value.domain = here;
            view->value.slots = 64;
            view->id_hash = hash_of(view->value.id.value);
            views.push_back(std::move(view));
        }
    }
    std::vector<upstream_view*> all() const
    {
        std::vector<upstream_view*> found;
        for (const auto& each : views)
            found.push_back(each.get());
        return found;
    }
    upstream_view* placed(
        const std::vector<prompt_part>& parts,
        const std::set<upstream_id>& tried = {}) const
    {
        placement_request request;
        request.parts = &parts;
        for (const prompt_part& each : parts)
            request.prompt_tokens += each.tokens;
        request.tried = &tried;
        return choose({}, all(), request, here, now).upstream;
    }
};

const std::vector<prompt_part> dossier{{1, 6'300}, {2, 2'900}};

} // namespace

TEST_CASE("requests of one shared part go to the upstream that holds it")
{
    fleet world(6);
    upstream_view* first = world.placed(dossier);
    REQUIRE(first != nullptr);
    note_read(first->cache, dossier, 100'000, now);
    CHECK(world.placed({{1, 6'300}, {3, 2'900}}) == first);

    SECTION("another entry that never sent it places it there too")
    {
        const fleet other(6);
        CHECK(other.placed(dossier)->value.id == first->value.id);
    }
    SECTION("but not once its queue costs more than reading again")
    {
        first->own_unread_tokens = 30'000;
        CHECK(world.placed({{1, 6'300}, {3, 2'900}}) != first);
    }
}

TEST_CASE("prompts spread by their subject, not by what all of them share")
{
    // A few tokens open every prompt of the kind; what it is about comes next.
    fleet world(12);
    std::set<upstream_id> used;
    for (std::uint64_t subject = 100; subject < 200; ++subject)
        used.insert(
            world
                .placed({{1, 2'500}, {subject, 3'800}, {subject + 1'000, 500}})
                ->value.id);
    CHECK(used.size() >= 10);

    SECTION("and a part that all entries ask for often is taken to be kept "
            "anywhere")
    {
        const spread_options options;
        part_rates rates;
        const std::vector<prompt_part> parts{{1, 2'500}, {2, 3'800}, {3, 500}};
        for (int i = 0; i < 20; ++i)
            note_asked(options, rates, parts, now - 1s + i * 50ms);
        const auto all = world.all();
        const std::vector<prompt_part> other{{1, 2'500}, {9, 3'800}, {8, 500}};
        const auto query = make_query(options, all, other, &rates, 27, now);
        upstream_view* far = world.views[0].get();
        if (far == query.order.first || far == query.order.second)
            far = world.views[1].get();
        if (far == query.order.first || far == query.order.second)
            far = world.views[2].get();
        CHECK(kept_at(options, query, *far, now) > 2'200);
        // But not by one that has just come.
        far->known_since = now;
        CHECK(kept_at(options, query, *far, now) < 100);
    }
    SECTION("and one that drains is no holder")
    {
        const std::vector<prompt_part> parts{{1, 2'500}, {2, 3'800}, {3, 500}};
        upstream_view* first = world.placed(parts);
        first->value.state = site::upstream_state::draining;
        const auto order = holders_of(world.all(), *subject_of(parts));
        CHECK(order.first != first);
        CHECK(order.second != first);
    }
}

TEST_CASE("an upstream is passed over")
{
    fleet world(2);
    upstream_view* first = world.placed(dossier);

    SECTION("that this request was sent to before")
    {
        CHECK(world.placed(dossier, {first->value.id}) != first);
    }
    SECTION("that drains")
    {
        first->value.state = site::upstream_state::draining;
        CHECK(world.placed(dossier) != first);
    }
    SECTION("that is full")
    {
        first->reported = answer_facts::load{64, 3, 64};
        first->reported_at = now;
        CHECK(world.placed(dossier) != first);
    }
    SECTION("that could not be reached, until a while has passed")
    {
        note_unreachable({}, *first, now);
        CHECK(world.placed(dossier) != first);
    }
    SECTION("that fails, by its failures")
    {
        for (int i = 0; i < 3; ++i)
            note_failure({}, *first, now);
        CHECK(world.placed(dossier) != first);
    }
    SECTION("whose first tokens are late, or still missing")
    {
        note_lateness({}, *first, 600, false, now);
        CHECK(world.placed(dossier) != first);
        // A first token in time speaks for it again, little by little.
        for (int i = 0; i < 6; ++i)
            note_lateness({}, *first, 0, true, now);
        CHECK(world.placed(dossier) == first);
    }
    SECTION("that nobody has heard from, unless there is no other")
    {
        first->is_silent = true;
        CHECK(world.placed(dossier) != first);
        for (upstream_view* each : world.all())
            each->is_silent = true;
        CHECK(world.placed(dossier) != nullptr);
    }
}

TEST_CASE("all full is not the same as none")
{
    fleet world(1);
    world.views[0]->own_running = 64;
    const std::set<upstream_id> tried;
    placement_request request;
    request.tried = &tried;
    CHECK(choose({}, world.all(), request, here, now).all_full);
    CHECK_FALSE(choose({}, {}, request, here, now).all_full);
}

TEST_CASE("the load of other entries is the report less one's own share")
{
    upstream_view view;
    view.own_running = 5;
    note_answer(view, answer_facts::load{12, 2, 64}, now);
    view.own_running = 6;
    CHECK(running_at({}, view, now) == 15);
    CHECK(running_at({}, view, now + 1min) == 6);
}

TEST_CASE("parts are kept in the order of their use")
{
    prompt_cache cache;
    note_read(cache, {{1, 600}, {2, 100}}, 1'000, now);
    note_read(cache, {{1, 600}, {3, 100}}, 1'000, now);
    CHECK(keeps(cache, 1, now));
    CHECK(keeps(cache, 3, now));
    note_read(cache, {{4, 300}}, 1'000, now);
    CHECK(keeps(cache, 1, now));
    CHECK_FALSE(keeps(cache, 2, now));
    CHECK(keeps(cache, 3, now));
    CHECK_FALSE(keeps(cache, 9, now));

    SECTION("and not for longer than an upstream's memory lasts")
    {
        CHECK_FALSE(keeps(cache, 1, now + part_residence + 1s));
    }
}
