// Property test with drawn orders of losses, each within the number of members
// that may be lost at once.
#include "consensus/member_losses.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace virtual_network;

namespace
{

/// One loss or operation; the members catch up before the next one.
enum class loss
{
    replace,
    replace_at_once,
    replace_planned,
    lose_disk,
    restart_one,
    restart_all,
    cut_off,
    cut_in_halves,
    change_leader,
    last = change_leader
};

struct loss_event
{
    loss kind = loss::replace;
    target which = target::leader;
    int span_ms = 0;
};

std::ostream& operator<<(std::ostream& out, const loss_event& event)
{
    return out << "{" << static_cast<int>(event.kind) << ", "
               << static_cast<int>(event.which) << ", " << event.span_ms << "}";
}

rc::Gen<loss_event> any_loss()
{
    return rc::gen::build<loss_event>(
        rc::gen::set(
            &loss_event::kind,
            rc::gen::map(
                rc::gen::inRange(0, static_cast<int>(loss::last) + 1),
                [](int value) { return static_cast<loss>(value); })),
        rc::gen::set(
            &loss_event::which,
            rc::gen::map(
                rc::gen::inRange(0, static_cast<int>(target::highest_id) + 1),
                [](int value) { return static_cast<target>(value); })),
        rc::gen::set(&loss_event::span_ms, rc::gen::inRange(0, 5000)));
}

void apply_loss(network& net, const loss_event& event)
{
    const duration span = event.span_ms * 1ms;
    const std::size_t member = choose(net, event.which);
    switch (event.kind)
    {
    case loss::replace:
        remove_for_good(net, member);
        run(net, span);
        start_node(net, add_node(net, seeds_now(net)));
        return;
    case loss::replace_at_once:
        start_node(net, add_node(net, seeds_now(net)));
        remove_for_good(net, member);
        return;
    case loss::replace_planned:
        start_node(net, add_node(net, seeds_now(net)));
        run(net, span);
        step_node(net, member, prepare_to_leave{});
        run(net, 1s);
        remove_for_good(net, member);
        return;
    case loss::lose_disk:
        kill_node(net, member);
        run(net, span);
        replace_disk(net, member);
        return;
    case loss::restart_one:
        restart(net, member, span);
        return;
    case loss::restart_all:
        restart_all(net, span / 5);
        return;
    case loss::cut_off:
        net.partition[member] = 1;
        run(net, span);
        net.partition[member] = 0;
        return;
    case loss::cut_in_halves:
        for (std::size_t i = 0; i < net.nodes.size(); ++i)
            net.partition[i] = static_cast<int>(i % 2);
        run(net, span);
        net.partition.assign(net.nodes.size(), 0);
        return;
    case loss::change_leader:
        if (const auto leader = leader_of(net))
        {
            step_node(net, *leader, prepare_to_leave{});
            run(net, 500ms);
            restart(net, *leader, span / 5);
        }
        return;
    }
}

} // namespace

TEST_CASE("no order of losses within the bound uses up the quorum")
{
    const std::size_t count = GENERATE(3, 5, 9);
    CAPTURE(count);
    CHECK(rc::check(
        "losses",
        [count](std::uint64_t seed)
        {
            network net = start_members(count, seed);
            const auto events =
                *rc::gen::container<std::vector<loss_event>>(8, any_loss());
            for (const loss_event& event : events)
            {
                const std::size_t before = net.applied_commands;
                apply_loss(net, event);
                // A cluster that had to elect a leader has caught up only then.
                RC_ASSERT(run_until_leader(net, recovery_time));
                run(net, catch_up_time);
                RC_ASSERT(leader_of(net));
                RC_ASSERT(spare_voters(net) >= static_cast<int>(max_lost));
                step_node(net, *leader_of(net), propose{{"x"}});
                run(net, 500ms);
                RC_ASSERT(net.applied_commands > before);
                check_log_matching(net);
            }
        }));
}
