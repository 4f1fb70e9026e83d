#include "serving/world.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace bergamotusher;
using namespace bergamotusher::serving_test;

namespace
{

/// What may happen between two moments of a run.
enum class happening
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

struct moment
{
    happening what;
    std::uint32_t pick;
    std::uint32_t pause_ms;
};

std::ostream& operator<<(std::ostream& out, const moment& m)
{
    return out << static_cast<int>(m.what) << '/' << m.pick << '/'
               << m.pause_ms;
}

constexpr std::uint32_t most_deaths = 2;

rc::Gen<moment> any_moment()
{
    using h = happening;
    return rc::gen::build<moment>(
        rc::gen::set(
            &moment::what,
            rc::gen::weightedElement<happening>(
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
        rc::gen::set(&moment::pick, rc::gen::inRange(0U, 10'000U)),
        rc::gen::set(&moment::pause_ms, rc::gen::inRange(0U, 120U)));
}

struct run_state
{
    world w{2};
    std::uint32_t deaths = 0;
    /// Those of them that came without notice; one that refuses connections
    /// after it broke one is dead, as far as anybody can tell.
    std::uint32_t unexpected = 0;
    bool draining = false;
};

fake_attempt* pick_attempt(world& w, std::uint32_t pick)
{
    if (w.attempts.empty())
        return nullptr;
    auto at = w.attempts.begin();
    std::advance(at, pick % w.attempts.size());
    return &at->second;
}

std::size_t pick_entry(const run_state& run, std::uint32_t pick)
{
    return run.draining ? 1 : pick % 2;
}

void disturb_attempt(run_state& run, const moment& m)
{
    world& w = run.w;
    fake_attempt* attempt = pick_attempt(w, m.pick);
    if (attempt == nullptr)
        return;
    const upstream_id target = attempt->sent.target;
    if (m.what == happening::cut_off)
        cut(w, *attempt);
    else if (m.what == happening::muted)
        attempt->mute = true;
    else if (m.what == happening::doubled)
        attempt->twice = true;
    else if (run.deaths++ >= most_deaths)
        return;
    else if (m.what == happening::killed)
    {
        ++run.unexpected;
        kill(w, target);
    }
    else if (m.what == happening::frozen)
    {
        ++run.unexpected;
        freeze(w, target);
    }
    else if (m.what == happening::refused)
    {
        ++run.unexpected;
        w.upstreams[target].refusing = true;
    }
    else
        give_notice(w, target, 400ms);
}

void lose_caller(run_state& run, std::uint32_t pick)
{
    world& w = run.w;
    if (w.callers.empty())
        return;
    auto at = w.callers.begin();
    std::advance(at, pick % w.callers.size());
    fake_caller& caller = at->second;
    if (caller.ended || caller.last_event == 0)
        return;
    feed(w, caller.entry, caller_gone{caller.connection});
    caller.connection = {"c" + std::to_string(++w.connections_made)};
    w.pending.push_back(
        {w.now + duration(300ms),
         caller.entry,
         request_resumed{
             caller.connection,
             caller.request.id,
             caller.request.account,
             caller.last_event}});
}

void happen(run_state& run, const moment& m)
{
    world& w = run.w;
    const std::string name = std::to_string(w.callers.size());
    switch (m.what)
    {
    case happening::stream_sent:
        send(
            w,
            stream_request("s" + name, 1 + m.pick % 12),
            pick_entry(run, m.pick));
        break;
    case happening::order_sent:
        send(
            w,
            order_request("o" + name, "k" + std::to_string(m.pick % 6)),
            pick_entry(run, m.pick / 6));
        break;
    case happening::replayed:
        if (!w.history.empty())
        {
            const pending_input again = w.history[m.pick % w.history.size()];
            feed(w, again.entry, again.input);
        }
        break;
    case happening::caller_lost:
        lose_caller(run, m.pick);
        break;
    case happening::quorum_lost:
        w.quorum = !w.quorum;
        break;
    case happening::journal_silent:
        w.journal_answers_lost = static_cast<int>(m.pick % 3);
        break;
    case happening::drained:
        if (!run.draining)
            feed(w, 0, drain_started{w.now + duration(3s), {{"entry1"}}});
        run.draining = true;
        break;
    default:
        disturb_attempt(run, m);
    }
}

std::uint64_t length_of(const fake_caller& caller)
{
    fake_attempt attempt;
    const std::string& body = caller.request.body;
    return std::stoull(body.substr(body.find('/') + 1));
}

/// A stream that was accepted ends whole, unless its time runs out or two
/// upstreams died of it, as far as anybody can tell; another one is refused
/// before anything was given out.
bool is_excused(const run_state& run, const fake_caller& caller)
{
    const error_kind kind = caller.error->error.kind;
    const bool refused =
        kind == error_kind::draining || kind == error_kind::no_upstream;
    if (kind == error_kind::quarantined)
        return run.unexpected >= 2;
    return kind == error_kind::deadline_passed ||
           (refused && caller.last_event == 0 &&
            caller.error->run == run_claim::not_run);
}

/// A whole answer of its own, or an error whose claim is true.
void check_caller(const run_state& run, const fake_caller& caller)
{
    const world& w = run.w;
    RC_ASSERT(caller.complaint.empty());
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
        if (!is_excused(run, caller))
            RC_FAIL(
                std::string(answer_of(caller.error->error.kind).name) + ": " +
                caller.error->error.detail);
        if (caller.error->run == run_claim::not_run)
            RC_ASSERT(!w.accepted.contains(prompt));
    }
}

/// A first sending that was refused as not run did not run.
void check_claims(const world& w)
{
    std::map<std::string, bool> all_not_run;
    for (const auto& [name, caller] : w.callers)
    {
        const bool not_run =
            caller.error && caller.error->run == run_claim::not_run;
        const auto known =
            all_not_run.try_emplace(caller.request.body, true).first;
        known->second = known->second && not_run;
    }
    for (const auto& [body, not_run] : all_not_run)
        if (not_run)
            RC_ASSERT(!w.runs.contains(body));
}

} // namespace

TEST_CASE("Whatever comes late, twice, crossed or cut, each caller has its own")
{
    CHECK(rc::check(
        "each caller gets its own whole answer, orders run once at most",
        []
        {
            run_state run;
            const auto slots = *rc::gen::inRange(1U, 9U);
            for (auto& [id, one] : run.w.upstreams)
                one.slots = slots;
            const auto moments =
                *rc::gen::container<std::vector<moment>>(any_moment());
            for (const moment& m : moments)
            {
                run_for(run.w, std::chrono::milliseconds(m.pause_ms));
                happen(run, m);
            }
            run.w.quorum = true;
            run_until_answered(run.w, 100s);
            for (const auto& [name, caller] : run.w.callers)
                check_caller(run, caller);
            for (const auto& [order, runs] : run.w.runs)
                RC_ASSERT(runs <= 1);
            check_claims(run.w);
        }));
}
