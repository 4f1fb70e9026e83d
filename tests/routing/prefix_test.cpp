// The view of an engine's cache follows dispatches, events and answers.
#include "routing/prefix.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace bergamotusher;
using namespace bergamotusher::routing;

namespace
{

std::string text(std::size_t blocks, char letter)
{
    return std::string(blocks * prefix_block_bytes, letter);
}

} // namespace

TEST_CASE("equal prompts have equal blocks up to the first difference")
{
    CHECK(rc::check(
        []
        {
            const auto shared = *rc::gen::inRange<std::size_t>(0, 20);
            const auto one = prefix_blocks(text(shared, 'a') + text(5, 'b'));
            const auto two = prefix_blocks(text(shared, 'a') + text(5, 'c'));
            RC_ASSERT(one.size() == shared + 5);
            for (std::size_t i = 0; i < one.size(); ++i)
                RC_ASSERT((one[i] == two[i]) == (i < shared));
        }));
    const auto after_b = prefix_blocks(text(1, 'b') + text(5, 'a'));
    const auto after_c = prefix_blocks(text(1, 'c') + text(5, 'a'));
    for (std::size_t i = 0; i < after_b.size(); ++i)
        CHECK(after_b[i] != after_c[i]);
    CHECK(prefix_blocks("short").empty());
    CHECK(prefix_blocks(text(10'000, 'a')).size() == max_prefix_blocks);
}

TEST_CASE("a prompt that was sent is held to be cached")
{
    prefix_view view;
    const auto prompt = prefix_blocks(text(10, 'a') + text(10, 'b'));
    const auto other = prefix_blocks(text(10, 'a') + text(10, 'c'));
    CHECK(cached_share(view, prompt) == 0);
    remember(view, prompt);
    CHECK(cached_share(view, prompt) == 1);
    CHECK(cached_share(view, other) == Approx(0.5));

    SECTION("until an event says that it was removed")
    {
        apply(view, {{"w"}, 1, {}, {prompt.back()}, false});
        CHECK(cached_share(view, prompt) < 1);
    }
    SECTION("or that the cache was dropped")
    {
        apply(view, {{"w"}, 1, {}, {}, true});
        CHECK(cached_share(view, prompt) == 0);
        SECTION("and a late event changes nothing")
        {
            apply(view, {{"w"}, 1, prompt, {}, false});
            CHECK(cached_share(view, prompt) == 0);
        }
    }
    SECTION("a gap in the events makes it doubtful, many drop it")
    {
        apply(view, {{"w"}, 1, {}, {}, false});
        apply(view, {{"w"}, 3, {}, {}, false});
        CHECK(cached_share(view, prompt) > 0);
        CHECK(cached_share(view, prompt) < 1);
        for (std::uint64_t i = 0; i < gaps_to_drop; ++i)
            apply(view, {{"w"}, 5 + 2 * i, {}, {}, false});
        CHECK(cached_share(view, prompt) == 0);
    }
    SECTION("answers that do not confirm it lower the trust in it")
    {
        confirm(view, 1'000, 900);
        for (int i = 0; i < 30; ++i)
            confirm(view, 1'000, 0);
        CHECK(view.confidence < 0.2);
    }
    SECTION("an engine that never reports hits is taken at the view's word")
    {
        for (int i = 0; i < 30; ++i)
            confirm(view, 1'000, 0);
        CHECK(view.confidence == 1);
    }
}

TEST_CASE("a view stays within its size whatever it is told")
{
    prefix_view view;
    for (std::uint64_t i = 0; i < 20'000; ++i)
        apply(view, {{"w"}, i + 1, {i * 7919 + 1}, {}, false});
    CHECK(view.sets.size() == prefix_sets);
    CHECK(cached_share(view, {19'999 * 7919 + 1}) == 1);
}
