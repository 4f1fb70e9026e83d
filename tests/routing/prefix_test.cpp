// Estimated contents of an engine's prefix cache: updates by dispatches, cache
// events and answers.
#include "routing/prefix.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace bergamotusher;
using namespace bergamotusher::routing;

namespace
{

std::string prompt_of(std::size_t blocks, char letter)
{
    return std::string(blocks * prefix_block_bytes, letter);
}

} // namespace

TEST_CASE("prompts have equal block hashes up to their first difference")
{
    CHECK(rc::check(
        []
        {
            const auto shared = *rc::gen::inRange<std::size_t>(0, 20);
            const auto one =
                prefix_blocks(prompt_of(shared, 'a') + prompt_of(5, 'b'));
            const auto two =
                prefix_blocks(prompt_of(shared, 'a') + prompt_of(5, 'c'));
            RC_ASSERT(one.size() == shared + 5);
            for (std::size_t i = 0; i < one.size(); ++i)
                RC_ASSERT((one[i] == two[i]) == (i < shared));
        }));
    const auto after_b = prefix_blocks(prompt_of(1, 'b') + prompt_of(5, 'a'));
    const auto after_c = prefix_blocks(prompt_of(1, 'c') + prompt_of(5, 'a'));
    for (std::size_t i = 0; i < after_b.size(); ++i)
        CHECK(after_b[i] != after_c[i]);
    CHECK(prefix_blocks("short").empty());
    CHECK(prefix_blocks(prompt_of(10'000, 'a')).size() == max_prefix_blocks);
}

TEST_CASE("a dispatched prompt is estimated as cached")
{
    prefix_view view;
    const auto prompt = prefix_blocks(prompt_of(10, 'a') + prompt_of(10, 'b'));
    const auto other = prefix_blocks(prompt_of(10, 'a') + prompt_of(10, 'c'));
    CHECK(cached_share(view, prompt) == 0);
    add_prompt(view, prompt);
    CHECK(cached_share(view, prompt) == 1);
    CHECK(cached_share(view, other) == Approx(0.5));

    SECTION("until an event reports that a block was removed")
    {
        apply_events(view, {{"w"}, 1, {}, {prompt.back()}, false});
        CHECK(cached_share(view, prompt) < 1);
    }
    SECTION("until an event reports that the cache was cleared")
    {
        apply_events(view, {{"w"}, 1, {}, {}, true});
        CHECK(cached_share(view, prompt) == 0);
        SECTION("an event with an old sequence number is ignored")
        {
            apply_events(view, {{"w"}, 1, prompt, {}, false});
            CHECK(cached_share(view, prompt) == 0);
        }
    }
    SECTION("one gap in the events lowers its weight, many gaps drop it")
    {
        apply_events(view, {{"w"}, 1, {}, {}, false});
        apply_events(view, {{"w"}, 3, {}, {}, false});
        CHECK(cached_share(view, prompt) > 0);
        CHECK(cached_share(view, prompt) < 1);
        for (std::uint64_t i = 0; i < gaps_until_dropped; ++i)
            apply_events(view, {{"w"}, 5 + 2 * i, {}, {}, false});
        CHECK(cached_share(view, prompt) == 0);
    }
    SECTION("answers without cached tokens lower the confidence")
    {
        update_confidence(view, 1'000, 900);
        for (int i = 0; i < 30; ++i)
            update_confidence(view, 1'000, 0);
        CHECK(view.confidence < 0.2);
    }
    SECTION(
        "the confidence stays for an engine that never reports cached tokens")
    {
        for (int i = 0; i < 30; ++i)
            update_confidence(view, 1'000, 0);
        CHECK(view.confidence == 1);
    }
}

TEST_CASE("the view stays within its size for any number of stored blocks")
{
    prefix_view view;
    for (std::uint64_t i = 0; i < 20'000; ++i)
        apply_events(view, {{"w"}, i + 1, {i * 7919 + 1}, {}, false});
    CHECK(view.sets.size() == prefix_sets);
    CHECK(cached_share(view, {19'999 * 7919 + 1}) == 1);
}
