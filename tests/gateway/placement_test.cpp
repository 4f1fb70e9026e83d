// Selection of upstreams, and the prediction of their prompt caches.
#include "base/hash.hpp"
#include "gateway/placement.hpp"

#include <catch2/catch.hpp>

#include <memory>

using namespace bergamotusher;
using namespace bergamotusher::gateway;

namespace
{

constexpr time_point now{1000s};
const failure_domain own_domain{"north"};

struct fleet
{
    std::vector<std::unique_ptr<upstream_view>> views;

    explicit fleet(int count)
    {
        for (int i = 0; i < count; ++i)
        {
            auto view = std::make_unique<upstream_view>();
            view->value.id = {"u" + std::to_string(i)};
            view->value.domain = own_domain;
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
    upstream_view* place(
        const std::vector<prompt_part>& parts,
        const std::set<upstream_id>& tried = {}) const
    {
        placement_request request;
        request.parts = &parts;
        for (const prompt_part& each : parts)
            request.prompt_tokens += each.tokens;
        request.tried = &tried;
        return select_upstream({}, all(), request, own_domain, now).upstream;
    }
};

const std::vector<prompt_part> document_prompt{{1, 6'300}, {2, 2'900}};

} // namespace

TEST_CASE("an upstream elsewhere costs more beyond the domain's share")
{
    const failure_domain other{"south"};
    const placement_options options;
    placement_request request;
    CHECK(domain_cost_ms(options, request, own_domain, own_domain) == 0);
    CHECK(domain_cost_ms(options, request, other, own_domain) == 12);
    routing::exchange_state exchange;
    request.exchange = &exchange;
    CHECK(domain_cost_ms(options, request, other, own_domain) == 12);
    exchange.shares[other] = 0;
    CHECK(domain_cost_ms(options, request, other, own_domain) == 60);

    fleet upstreams(2);
    upstreams.views[1]->value.domain = other;
    upstreams.views[0]->own_running = 12;
    const auto chosen = [&]
    {
        return select_upstream(
                   options, upstreams.all(), request, own_domain, now)
            .upstream;
    };
    SECTION("so a request stays unless its own domain is clearly later")
    {
        CHECK(chosen() == upstreams.views[0].get());
        upstreams.views[0]->own_running = 40;
        CHECK(chosen() == upstreams.views[1].get());
    }
    SECTION("or full")
    {
        upstreams.views[0]->value.slots = 12;
        CHECK(chosen() == upstreams.views[1].get());
    }
    SECTION("and leaves as before where the leader tells nothing")
    {
        exchange.shares.clear();
        CHECK(chosen() == upstreams.views[1].get());
    }
}

TEST_CASE("requests with a shared part go to the upstream that has it cached")
{
    fleet upstreams(6);
    upstream_view* first = upstreams.place(document_prompt);
    REQUIRE(first != nullptr);
    record_prompt(first->cache, document_prompt, 100'000, now);
    CHECK(upstreams.place({{1, 6'300}, {3, 2'900}}) == first);

    SECTION("another entry that never sent the part selects the same upstream")
    {
        const fleet other(6);
        CHECK(other.place(document_prompt)->value.id == first->value.id);
    }
    SECTION("another upstream is selected once queued prefill costs more than "
            "a cache miss")
    {
        first->own_uncached_tokens = 30'000;
        CHECK(upstreams.place({{1, 6'300}, {3, 2'900}}) != first);
    }
}

TEST_CASE(
    "prompts are spread by their last shared part, not by a common first part")
{
    // The first part is common to all prompts; the second one differs by
    // document.
    fleet upstreams(12);
    std::set<upstream_id> used;
    for (std::uint64_t document = 100; document < 200; ++document)
        used.insert(
            upstreams
                .place({{1, 2'500}, {document, 3'800}, {document + 1'000, 500}})
                ->value.id);
    CHECK(used.size() >= 10);

    SECTION("a part that all entries request often is predicted to be cached "
            "at every upstream")
    {
        const cache_prediction_options options;
        part_request_rates rates;
        const std::vector<prompt_part> parts{{1, 2'500}, {2, 3'800}, {3, 500}};
        for (int i = 0; i < 20; ++i)
            record_parts(options, rates, parts, now - 1s + i * 50ms);
        const auto all = upstreams.all();
        const std::vector<prompt_part> other{{1, 2'500}, {9, 3'800}, {8, 500}};
        const auto query =
            make_cache_query(options, all, other, &rates, 27, now);
        upstream_view* not_preferred = upstreams.views[0].get();
        if (not_preferred == query.preferred.first ||
            not_preferred == query.preferred.second)
            not_preferred = upstreams.views[1].get();
        if (not_preferred == query.preferred.first ||
            not_preferred == query.preferred.second)
            not_preferred = upstreams.views[2].get();
        CHECK(
            expected_cached_tokens(options, query, *not_preferred, now) >
            2'200);
        // An upstream that has just started cannot have it cached.
        not_preferred->known_since = now;
        CHECK(
            expected_cached_tokens(options, query, *not_preferred, now) < 100);
    }
    SECTION("a draining upstream is not a preferred one")
    {
        const std::vector<prompt_part> parts{{1, 2'500}, {2, 3'800}, {3, 500}};
        upstream_view* first = upstreams.place(parts);
        first->value.state = site::upstream_state::draining;
        const auto preferred =
            find_preferred_upstreams(upstreams.all(), *last_shared_part(parts));
        CHECK(preferred.first != first);
        CHECK(preferred.second != first);
    }
}

TEST_CASE("an upstream is not selected")
{
    fleet upstreams(2);
    upstream_view* first = upstreams.place(document_prompt);

    SECTION("if this request was sent to it before")
    {
        CHECK(upstreams.place(document_prompt, {first->value.id}) != first);
    }
    SECTION("if it drains")
    {
        first->value.state = site::upstream_state::draining;
        CHECK(upstreams.place(document_prompt) != first);
    }
    SECTION("if it is full")
    {
        first->reported_load = answer_metadata::load{64, 3, 64};
        first->load_reported_at = now;
        CHECK(upstreams.place(document_prompt) != first);
    }
    SECTION("for a while after it could not be reached")
    {
        record_unreachable({}, *first, now);
        CHECK(upstreams.place(document_prompt) != first);
    }
    SECTION("after several failures")
    {
        for (int i = 0; i < 3; ++i)
            record_failure({}, *first, now);
        CHECK(upstreams.place(document_prompt) != first);
    }
    SECTION("while its first tokens are late or missing")
    {
        record_lateness({}, *first, 600, false, now);
        CHECK(upstreams.place(document_prompt) != first);
        // Timely first tokens reduce the recorded lateness step by step.
        for (int i = 0; i < 6; ++i)
            record_lateness({}, *first, 0, true, now);
        CHECK(upstreams.place(document_prompt) == first);
    }
    SECTION("if it is silent, unless all are silent")
    {
        first->is_silent = true;
        CHECK(upstreams.place(document_prompt) != first);
        for (upstream_view* each : upstreams.all())
            each->is_silent = true;
        CHECK(upstreams.place(document_prompt) != nullptr);
    }
}

TEST_CASE("full upstreams are reported differently from no upstreams")
{
    fleet upstreams(1);
    upstreams.views[0]->own_running = 64;
    const std::set<upstream_id> tried;
    placement_request request;
    request.tried = &tried;
    CHECK(select_upstream({}, upstreams.all(), request, own_domain, now)
              .all_full);
    CHECK_FALSE(select_upstream({}, {}, request, own_domain, now).all_full);
}

TEST_CASE("the load of other entries is the reported load less the entry's own")
{
    upstream_view view;
    view.own_running = 5;
    record_answer({}, view, answer_metadata::load{12, 2, 64}, now);
    view.own_running = 6;
    CHECK(estimate_running({}, view, now) == 15);
    CHECK(estimate_running({}, view, now + 1min) == 6);
}

TEST_CASE("parts are evicted in least recently used order")
{
    prompt_cache cache;
    record_prompt(cache, {{1, 600}, {2, 100}}, 1'000, now);
    record_prompt(cache, {{1, 600}, {3, 100}}, 1'000, now);
    CHECK(is_cached(cache, 1, now));
    CHECK(is_cached(cache, 3, now));
    record_prompt(cache, {{4, 300}}, 1'000, now);
    CHECK(is_cached(cache, 1, now));
    CHECK_FALSE(is_cached(cache, 2, now));
    CHECK(is_cached(cache, 3, now));
    CHECK_FALSE(is_cached(cache, 9, now));

    SECTION("parts expire after the cache residence time")
    {
        CHECK_FALSE(is_cached(cache, 1, now + cache_residence_time + 1s));
    }
}
