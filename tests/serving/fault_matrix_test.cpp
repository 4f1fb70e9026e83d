#include "serving/simulation.hpp"

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

using fault_function = void (*)(simulation&, fake_attempt&);

/// Row of the matrix: a fault and the function that injects it.
struct fault_row
{
    std::string_view name;
    fault_function apply;
    /// The fault is repeated with each attempt.
    bool each_attempt = false;
    /// Once an upstream has the order, its outcome may stay unknown.
    bool may_hide_outcome = false;
};

void kill_target(simulation& sim, fake_attempt& attempt)
{
    kill_upstream(sim, attempt.sent.target);
}

void freeze_target(simulation& sim, fake_attempt& attempt)
{
    freeze_upstream(sim, attempt.sent.target);
}

void slow_target(simulation& sim, fake_attempt& attempt)
{
    sim.upstreams[attempt.sent.target].token_interval = 1s;
}

void notice_target(simulation& sim, fake_attempt& attempt)
{
    give_notice(sim, attempt.sent.target, 3s);
}

void refuse_at_target(simulation& sim, fake_attempt& attempt)
{
    sim.upstreams[attempt.sent.target].refusing = true;
}

/// If no attempt was dispatched yet, the journal's answer is lost instead.
void lose_answers(simulation& sim, fake_attempt& attempt)
{
    attempt.answers_lost = true;
    sim.journal_answers_lost = attempt.sent.attempt.empty();
}

void double_answers(simulation& sim, fake_attempt& attempt)
{
    attempt.answers_doubled = true;
    sim.journal_answers_doubled = attempt.sent.attempt.empty();
}

void lose_domain(simulation& sim, fake_attempt& attempt)
{
    const failure_domain domain = sim.upstreams[attempt.sent.target].domain;
    for (const auto& [id, upstream] : std::map(sim.upstreams))
        if (upstream.domain == domain)
            kill_upstream(sim, id, true);
}

void drain_entry(simulation& sim, fake_attempt&)
{
    sim.pending.push_back(
        {sim.now, 0, drain_started{sim.now + duration(2s), {{"entry1"}}}});
}

void kill_entry(simulation& sim, fake_attempt&)
{
    restart_entry(sim, 0);
}

constexpr std::array rows{
    fault_row{"kill", kill_target, false, true},
    fault_row{"freeze", freeze_target, false, true},
    fault_row{"cut", break_connection, false, true},
    fault_row{"slow", slow_target},
    fault_row{"notice", notice_target},
    fault_row{"lost answer", lose_answers, false, true},
    fault_row{"duplicate answer", double_answers},
    fault_row{"refused connection", refuse_at_target},
    fault_row{"crash-inducing request", kill_target, true, true},
    fault_row{"failure domain gone", lose_domain, false, true},
    fault_row{"entry drain", drain_entry},
    fault_row{"entry killed", kill_entry, false, true}};

/// Column of the matrix: a step, and the workloads that reach it.
struct step_column
{
    std::string name;
    request_step step;
    std::uint64_t index = 0;
    bool of_stream = true;
    bool of_order = true;
};

std::vector<step_column> columns()
{
    std::vector<step_column> all{
        {"before record", request_step::before_record, 0, false, true},
        {"after record", request_step::after_record, 0, false, true},
        {"before send", request_step::before_send},
        {"first byte sent", request_step::first_byte_sent}};
    for (std::uint64_t i = 0; i < stream_length; ++i)
        all.push_back(
            {"token " + std::to_string(i),
             request_step::token,
             i,
             true,
             false});
    all.push_back({"before end mark", request_step::after_last_token});
    all.push_back(
        {"before journal's finish",
         request_step::before_journal_finish,
         0,
         false,
         true});
    all.push_back({"after", request_step::after});
    return all;
}

struct matrix_cell
{
    const fault_row& row;
    const step_column& column;
    workload kind;
};

bool is_crash(const matrix_cell& cell)
{
    return cell.row.each_attempt &&
           cell.column.step > request_step::before_send &&
           cell.column.step < request_step::before_journal_finish;
}

bool is_entry_death(const matrix_cell& cell)
{
    return cell.row.apply == kill_entry;
}

caller_request request_of(const matrix_cell& cell)
{
    return cell.kind == workload::stream
               ? stream_request("probe", stream_length)
               : order_request("probe", "key");
}

void install_fault(simulation& sim, const matrix_cell& cell)
{
    sim.step_hook = [&sim, cell, injected = false, last = fake_attempt{}](
                        request_step step,
                        std::uint64_t index,
                        fake_attempt& attempt) mutable
    {
        const bool neighbour = attempt.prompt.starts_with("neighbour");
        const bool at_column =
            step == cell.column.step &&
            (step != request_step::token || index == cell.column.index);
        if (neighbour || !at_column || (injected && !is_crash(cell)))
            return;
        injected = true;
        cell.row.apply(sim, attempt);
    };
}

/// Returns the outcome of the probe request as a word, empty if it violates a
/// guarantee.
std::string
outcome_of(simulation& sim, const matrix_cell& cell, const fake_caller& probe)
{
    const int runs = sim.runs["order key"];
    if (!probe.protocol_error.empty() || !probe.ended || runs > 1)
        return "";
    if (probe.error)
    {
        if (probe.error->run == run_claim::not_run)
            return runs == 0 && sim.accepted["probe"] == 0 ? "not run" : "";
        return probe.error->error.kind == error_kind::quarantined
                   ? "quarantined"
                   : "unknown";
    }
    if (cell.kind == workload::stream)
        return probe.text == expected_text("probe", stream_length) ? "whole"
                                                                   : "";
    return probe.body == "done order key" && runs == 1 ? "whole" : "";
}

/// Whether the outcome is one that the cell allows.
bool is_allowed(const matrix_cell& cell, const std::string& outcome)
{
    if (cell.kind == workload::stream)
        return outcome == (is_crash(cell) ? "quarantined" : "whole");
    const bool outcome_hidden =
        cell.row.may_hide_outcome &&
        cell.column.step < request_step::before_journal_finish;
    const bool entry_died =
        is_entry_death(cell) && cell.column.step < request_step::after;
    return outcome == "whole" ||
           ((outcome_hidden || entry_died) && outcome == "unknown");
}

/// Sends the client's request again: nothing may run twice, and an answer that
/// was given must be given again.
bool resend_is_consistent(
    simulation& sim, const matrix_cell& cell, const std::string& before)
{
    sim.step_hook = {};
    caller_request again = request_of(cell);
    again.id = {"r-again"};
    const fake_caller& caller = send(sim, again, 1);
    run_until_answered(sim, 60s);
    if (is_crash(cell) && cell.kind == workload::stream)
        return caller.error &&
               caller.error->error.kind == error_kind::quarantined;
    if (cell.kind == workload::stream)
        return caller.text == expected_text("probe", stream_length);
    const bool stored = !caller.error && caller.body == "done order key";
    return sim.runs["order key"] <= 1 && (stored || before == "unknown");
}

bool neighbours_are_complete(const simulation& sim)
{
    for (const auto& [name, caller] : sim.callers)
        if (name.starts_with("r-neighbour") &&
            (caller.error || caller.text != expected_text(name.substr(2), 100)))
            return false;
    return true;
}

int dead_engines(const simulation& sim)
{
    int dead = 0;
    for (const auto& [id, upstream] : sim.upstreams)
        dead += !upstream.alive;
    return dead;
}

/// Resends the requests of clients that lost their connection to a killed
/// entry.
void reconnect(simulation& sim)
{
    std::vector<caller_request> lost;
    for (const auto& [name, caller] : sim.callers)
        if (!caller.ended)
            lost.push_back(caller.request);
    for (caller_request& request : lost)
    {
        sim.callers.erase(request.id.value);
        send(sim, request, 1);
    }
    run_until_answered(sim, 60s);
}

std::string run_cell(const matrix_cell& cell)
{
    simulation sim(2);
    install_fault(sim, cell);
    send(sim, request_of(cell));
    for (int i = 0; i < neighbours; ++i)
        send(sim, stream_request("neighbour" + std::to_string(i), 100));
    run_until_answered(
        sim, is_entry_death(cell) ? duration(5s) : duration(60s));
    if (cell.column.step == request_step::after)
    {
        fake_attempt last;
        last.sent.target = {cell.kind == workload::stream ? "llm0" : "orders0"};
        cell.row.apply(sim, last);
        run_for(sim, 3s);
    }
    if (is_entry_death(cell))
        reconnect(sim);
    const std::string outcome = outcome_of(sim, cell, sim.callers["r-probe"]);
    const bool kept = is_allowed(cell, outcome) &&
                      neighbours_are_complete(sim) &&
                      (!is_crash(cell) || dead_engines(sim) <= 2) &&
                      resend_is_consistent(sim, cell, outcome);
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

TEST_CASE("Every fault at every step of a request keeps its guarantees")
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
