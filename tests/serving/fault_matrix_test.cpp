#include "serving/world.hpp"

#include <catch2/catch.hpp>

#include <array>
#include <cstdlib>
#include <fstream>

using namespace bergamotusher;
using namespace bergamotusher::serving_test;

namespace
{

constexpr std::uint64_t stream_length = 8;
constexpr int neighbours = 3;

enum class workload
{
    stream,
    order
};

using inject = void (*)(world&, fake_attempt&);

/// One row: a fault, and how it is put into the world.
struct fault_row
{
    std::string_view name;
    inject apply;
    /// The fault comes back with each attempt.
    bool each_attempt = false;
    /// Once an upstream has the order, its fate may stay unknown.
    bool may_hide_fate = false;
};

void kill_target(world& w, fake_attempt& at)
{
    kill(w, at.sent.target);
}

void freeze_target(world& w, fake_attempt& at)
{
    freeze(w, at.sent.target);
}

void slow_target(world& w, fake_attempt& at)
{
    w.upstreams[at.sent.target].gap = 1s;
}

void notice_target(world& w, fake_attempt& at)
{
    give_notice(w, at.sent.target, 3s);
}

void refuse_at_target(world& w, fake_attempt& at)
{
    w.upstreams[at.sent.target].refusing = true;
}

/// Before an attempt is sent, the journal's answer is the one that is lost.
void mute_attempt(world& w, fake_attempt& at)
{
    at.mute = true;
    w.journal_answers_lost = at.sent.attempt.empty();
}

void double_attempt(world& w, fake_attempt& at)
{
    at.twice = true;
    w.journal_answers_doubled = at.sent.attempt.empty();
}

void lose_domain(world& w, fake_attempt& at)
{
    const failure_domain domain = w.upstreams[at.sent.target].domain;
    for (const auto& [id, one] : std::map(w.upstreams))
        if (one.domain == domain)
            kill(w, id, true);
}

void drain_entry(world& w, fake_attempt&)
{
    w.pending.push_back(
        {w.now, 0, drain_started{w.now + duration(2s), {{"entry1"}}}});
}

void kill_entry(world& w, fake_attempt&)
{
    restart_entry(w, 0);
}

constexpr std::array rows{
    fault_row{"kill", kill_target, false, true},
    fault_row{"freeze", freeze_target, false, true},
    fault_row{"cut", cut, false, true},
    fault_row{"slow", slow_target},
    fault_row{"notice", notice_target},
    fault_row{"lost answer", mute_attempt, false, true},
    fault_row{"duplicate answer", double_attempt},
    fault_row{"refused connection", refuse_at_target},
    fault_row{"crash-inducing request", kill_target, true, true},
    fault_row{"failure domain gone", lose_domain, false, true},
    fault_row{"entry drain", drain_entry},
    fault_row{"entry killed", kill_entry, false, true}};

/// One column: a step, and which workloads come to it.
struct step_column
{
    std::string name;
    life_step step;
    std::uint64_t index = 0;
    bool of_stream = true;
    bool of_order = true;
};

std::vector<step_column> columns()
{
    std::vector<step_column> all{
        {"before record", life_step::before_record, 0, false, true},
        {"after record", life_step::after_record, 0, false, true},
        {"before send", life_step::before_send},
        {"first byte sent", life_step::first_byte_sent}};
    for (std::uint64_t i = 0; i < stream_length; ++i)
        all.push_back(
            {"token " + std::to_string(i), life_step::token, i, true, false});
    all.push_back({"before end mark", life_step::after_last_token});
    all.push_back(
        {"before journal's finish",
         life_step::before_journal_finish,
         0,
         false,
         true});
    all.push_back({"after", life_step::after});
    return all;
}

struct cell
{
    const fault_row& row;
    const step_column& column;
    workload kind;
};

bool is_crash(const cell& c)
{
    return c.row.each_attempt && c.column.step > life_step::before_send &&
           c.column.step < life_step::before_journal_finish;
}

bool is_entry_death(const cell& c)
{
    return c.row.apply == kill_entry;
}

caller_request request_of(const cell& c)
{
    return c.kind == workload::stream ? stream_request("probe", stream_length)
                                      : order_request("probe", "key");
}

void arm(world& w, const cell& c)
{
    w.hook = [&w, c, done = false, last = fake_attempt{}](
                 life_step step, std::uint64_t index, fake_attempt& at) mutable
    {
        const bool neighbour = at.prompt.starts_with("neighbour");
        const bool here = step == c.column.step &&
                          (step != life_step::token || index == c.column.index);
        if (neighbour || !here || (done && !is_crash(c)))
            return;
        done = true;
        c.row.apply(w, at);
    };
}

/// What came of the probe, in a word; an empty word is a broken promise.
std::string outcome_of(world& w, const cell& c, const fake_caller& probe)
{
    const int runs = w.runs["order key"];
    if (!probe.complaint.empty() || !probe.ended || runs > 1)
        return "";
    if (probe.error)
    {
        if (probe.error->run == run_claim::not_run)
            return runs == 0 && w.accepted["probe"] == 0 ? "not run" : "";
        return probe.error->error.kind == error_kind::quarantined
                   ? "quarantined"
                   : "unknown";
    }
    if (c.kind == workload::stream)
        return probe.text == expected_text("probe", stream_length) ? "whole"
                                                                   : "";
    return probe.body == "done order key" && runs == 1 ? "whole" : "";
}

/// The promise of the cell.
bool is_allowed(const cell& c, const std::string& outcome)
{
    if (c.kind == workload::stream)
        return outcome == (is_crash(c) ? "quarantined" : "whole");
    const bool hidden =
        c.row.may_hide_fate && c.column.step < life_step::before_journal_finish;
    const bool entry_died =
        is_entry_death(c) && c.column.step < life_step::after;
    return outcome == "whole" ||
           ((hidden || entry_died) && outcome == "unknown");
}

/// The caller sends its request again: nothing may run twice, and an answer
/// that was given is given again.
bool resend_keeps(world& w, const cell& c, const std::string& before)
{
    w.hook = {};
    caller_request again = request_of(c);
    again.id = {"r-again"};
    const fake_caller& caller = send(w, again, 1);
    run_until_answered(w, 60s);
    if (is_crash(c) && c.kind == workload::stream)
        return caller.error &&
               caller.error->error.kind == error_kind::quarantined;
    if (c.kind == workload::stream)
        return caller.text == expected_text("probe", stream_length);
    const bool stored = !caller.error && caller.body == "done order key";
    return w.runs["order key"] <= 1 && (stored || before == "unknown");
}

bool neighbours_are_whole(const world& w)
{
    for (const auto& [name, caller] : w.callers)
        if (name.starts_with("r-neighbour") &&
            (caller.error || caller.text != expected_text(name.substr(2), 100)))
            return false;
    return true;
}

int dead_engines(const world& w)
{
    int dead = 0;
    for (const auto& [id, one] : w.upstreams)
        dead += !one.alive;
    return dead;
}

/// A killed entry takes its callers' connections along; they ask anew.
void reconnect(world& w)
{
    std::vector<caller_request> lost;
    for (const auto& [name, caller] : w.callers)
        if (!caller.ended)
            lost.push_back(caller.request);
    for (caller_request& request : lost)
    {
        w.callers.erase(request.id.value);
        send(w, request, 1);
    }
    run_until_answered(w, 60s);
}

std::string run_cell(const cell& c)
{
    world w(2);
    arm(w, c);
    send(w, request_of(c));
    for (int i = 0; i < neighbours; ++i)
        send(w, stream_request("neighbour" + std::to_string(i), 100));
    run_until_answered(w, is_entry_death(c) ? duration(5s) : duration(60s));
    if (c.column.step == life_step::after)
    {
        fake_attempt last;
        last.sent.target = {c.kind == workload::stream ? "llm0" : "orders0"};
        c.row.apply(w, last);
        run_for(w, 3s);
    }
    if (is_entry_death(c))
        reconnect(w);
    const std::string outcome = outcome_of(w, c, w.callers["r-probe"]);
    const bool kept = is_allowed(c, outcome) && neighbours_are_whole(w) &&
                      (!is_crash(c) || dead_engines(w) <= 2) &&
                      resend_keeps(w, c, outcome);
    return kept ? outcome : "BROKEN " + outcome;
}

std::string run_both(const fault_row& row, const step_column& column)
{
    std::string text;
    if (column.of_stream)
        text = "stream " + run_cell({row, column, workload::stream});
    if (column.of_order)
        text += (text.empty() ? "order " : ", order ") +
                run_cell({row, column, workload::order});
    return text;
}

} // namespace

TEST_CASE("Every fault at every step of a request's life")
{
    const std::vector<step_column> steps = columns();
    std::string table = "| fault |";
    std::string line = "| --- |";
    for (const step_column& column : steps)
    {
        table += ' ' + column.name + " |";
        line += " --- |";
    }
    table += '\n' + line + '\n';
    for (const fault_row& row : rows)
    {
        table += "| " + std::string(row.name) + " |";
        for (const step_column& column : steps)
        {
            const std::string seen = run_both(row, column);
            INFO(row.name << " at " << column.name << ": " << seen);
            CHECK(seen.find("BROKEN") == std::string::npos);
            table += ' ' + seen + " |";
        }
        table += '\n';
    }
    if (const char* path = std::getenv("BERGAMOTUSHER_FAULTS_OUT"))
        std::ofstream(path) << table;
}
