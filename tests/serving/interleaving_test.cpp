#include "serving/simulation.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace bergamotusher;
using namespace bergamotusher::serving_test;

namespace
{

/// Requests, faults and replays that a generated script can contain.
enum class disturbance
{
    stream_sent,
    order_sent,
    killed,
    frozen,
    cut_off,
    muted,
    doubled,
    refused,
    noticed,
    replayed,
    caller_lost,
    quorum_lost,
    journal_silent,
    drained
};

struct scripted_event
{
    disturbance kind;
    std::uint32_t pick;
    std::uint32_t pause_ms;
};

std::ostream& operator<<(std::ostream& out, const scripted_event& scripted)
{
    return out << static_cast<int>(scripted.kind) << '/' << scripted.pick << '/'
               << scripted.pause_ms;
}

constexpr std::uint32_t max_deaths = 2;

rc::Gen<scripted_event> any_event()
{
    using h = disturbance;
    return rc::gen::build<scripted_event>(
        rc::gen::set(
            &scripted_event::kind,
            rc::gen::weightedElement<disturbance>(
                {{8, h::stream_sent},
                 {8, h::order_sent},
                 {2, h::killed},
                 {2, h::frozen},
                 {4, h::cut_off},
                 {3, h::muted},
                 {3, h::doubled},
                 {2, h::refused},
                 {2, h::noticed},
                 {8, h::replayed},
                 {3, h::caller_lost},
                 {1, h::quorum_lost},
                 {2, h::journal_silent},
                 {1, h::drained}})),
        rc::gen::set(&scripted_event::pick, rc::gen::inRange(0U, 10'000U)),
        rc::gen::set(&scripted_event::pause_ms, rc::gen::inRange(0U, 120U)));
}

struct run_state
{
    simulation sim{2};
    std::uint32_t deaths = 0;
    /// Deaths without notice. An upstream that refuses connections after it
    /// broke one looks like a dead one, so it counts too.
    std::uint32_t unexpected_deaths = 0;
    bool draining = false;
};

fake_attempt* pick_attempt(simulation& sim, std::uint32_t pick)
{
    if (sim.attempts.empty())
        return nullptr;
    auto at = sim.attempts.begin();
    std::advance(at, pick % sim.attempts.size());
    return &at->second;
}

std::size_t pick_entry(const run_state& run, std::uint32_t pick)
{
    return run.draining ? 1 : pick % 2;
}

void disturb_attempt(run_state& run, const scripted_event& scripted)
{
    simulation& sim = run.sim;
    fake_attempt* attempt = pick_attempt(sim, scripted.pick);
    if (attempt == nullptr)
        return;
    const upstream_id target = attempt->sent.target;
    if (scripted.kind == disturbance::cut_off)
        break_connection(sim, *attempt);
    else if (scripted.kind == disturbance::muted)
        attempt->answers_lost = true;
    else if (scripted.kind == disturbance::doubled)
        attempt->answers_doubled = true;
    else if (run.deaths++ >= max_deaths)
        return;
    else if (scripted.kind == disturbance::killed)
    {
        ++run.unexpected_deaths;
        kill_upstream(sim, target);
    }
    else if (scripted.kind == disturbance::frozen)
    {
        ++run.unexpected_deaths;
        freeze_upstream(sim, target);
    }
    else if (scripted.kind == disturbance::refused)
    {
        ++run.unexpected_deaths;
        sim.upstreams[target].refusing = true;
    }
    else
        give_notice(sim, target, 400ms);
}

void lose_caller(run_state& run, std::uint32_t pick)
{
    simulation& sim = run.sim;
    if (sim.callers.empty())
        return;
    auto at = sim.callers.begin();
    std::advance(at, pick % sim.callers.size());
    fake_caller& caller = at->second;
    if (caller.ended || caller.last_event == 0)
        return;
    feed(sim, caller.entry, caller_disconnected{caller.connection});
    caller.connection = {"c" + std::to_string(++sim.connections_made)};
    sim.pending.push_back(
        {sim.now + duration(300ms),
         caller.entry,
         caller_reattached{
             caller.connection,
             caller.request.id,
             caller.request.account,
             caller.last_event}});
}

void apply_event(run_state& run, const scripted_event& scripted)
{
    simulation& sim = run.sim;
    const std::string name = std::to_string(sim.callers.size());
    switch (scripted.kind)
    {
    case disturbance::stream_sent:
        send(
            sim,
            stream_request("s" + name, 1 + scripted.pick % 12),
            pick_entry(run, scripted.pick));
        break;
    case disturbance::order_sent:
        send(
            sim,
            order_request("o" + name, "k" + std::to_string(scripted.pick % 6)),
            pick_entry(run, scripted.pick / 6));
        break;
    case disturbance::replayed:
        if (!sim.attempt_inputs.empty())
        {
            const pending_input again =
                sim.attempt_inputs[scripted.pick % sim.attempt_inputs.size()];
            feed(sim, again.entry, again.input);
        }
        break;
    case disturbance::caller_lost:
        lose_caller(run, scripted.pick);
        break;
    case disturbance::quorum_lost:
        sim.quorum = !sim.quorum;
        break;
    case disturbance::journal_silent:
        sim.journal_answers_lost = static_cast<int>(scripted.pick % 3);
        break;
    case disturbance::drained:
        if (!run.draining)
            feed(sim, 0, drain_started{sim.now + duration(3s), {{"entry1"}}});
        run.draining = true;
        break;
    default:
        disturb_attempt(run, scripted);
    }
}

std::uint64_t length_of(const fake_caller& caller)
{
    fake_attempt attempt;
    const std::string& body = caller.request.body;
    return std::stoull(body.substr(body.find('/') + 1));
}

/// Errors that a stream may end with. An accepted stream must be completed
/// unless its deadline passes or two upstreams apparently died of it; any other
/// must be rejected before anything was delivered.
bool is_allowed_error(const run_state& run, const fake_caller& caller)
{
    const error_kind kind = caller.error->error.kind;
    const bool refused =
        kind == error_kind::draining || kind == error_kind::no_upstream;
    if (kind == error_kind::quarantined)
        return run.unexpected_deaths >= 2;
    return kind == error_kind::deadline_passed ||
           (refused && caller.last_event == 0 &&
            caller.error->run == run_claim::not_run);
}

/// Checks that the client got its own complete answer, or an error whose claim
/// about whether the request ran is true.
void check_caller(const run_state& run, const fake_caller& caller)
{
    const simulation& sim = run.sim;
    RC_ASSERT(caller.protocol_error.empty());
    RC_ASSERT(caller.ended);
    const bool is_order = caller.request.service.value == "orders";
    const std::string prompt =
        is_order ? caller.request.body : caller.request.id.value.substr(2);
    if (!caller.error && is_order)
        RC_ASSERT(caller.body == "done " + prompt);
    else if (!caller.error)
        RC_ASSERT(caller.text == expected_text(prompt, length_of(caller)));
    else if (!is_order)
    {
        if (!is_allowed_error(run, caller))
            RC_FAIL(
                std::string(error_answer_for(caller.error->error.kind).name) +
                ": " + caller.error->error.detail);
        if (caller.error->run == run_claim::not_run)
            RC_ASSERT(!sim.accepted.contains(prompt));
    }
}

/// Checks that a request ran nowhere if all of its sendings ended as not run.
void check_claims(const simulation& sim)
{
    std::map<std::string, bool> all_not_run;
    for (const auto& [name, caller] : sim.callers)
    {
        const bool not_run =
            caller.error && caller.error->run == run_claim::not_run;
        const auto known =
            all_not_run.try_emplace(caller.request.body, true).first;
        known->second = known->second && not_run;
    }
    for (const auto& [body, not_run] : all_not_run)
        if (not_run)
            RC_ASSERT(!sim.runs.contains(body));
}

} // namespace

TEST_CASE("Clients get only their own answers under random faults and replays")
{
    CHECK(rc::check(
        "each client gets its own complete answer, orders run at most once",
        []
        {
            run_state run;
            const auto slots = *rc::gen::inRange(1U, 9U);
            for (auto& [id, upstream] : run.sim.upstreams)
                upstream.slots = slots;
            const auto script =
                *rc::gen::container<std::vector<scripted_event>>(any_event());
            for (const scripted_event& scripted : script)
            {
                run_for(run.sim, std::chrono::milliseconds(scripted.pause_ms));
                apply_event(run, scripted);
            }
            run.sim.quorum = true;
            run_until_answered(run.sim, 100s);
            for (const auto& [name, caller] : run.sim.callers)
                check_caller(run, caller);
            for (const auto& [order, runs] : run.sim.runs)
                RC_ASSERT(runs <= 1);
            check_claims(run.sim);
        }));
}
