// Simulation of one or more entries in virtual time: upstreams that run and
// count what they are sent, a journal, and clients that check their answers.
// Tests inject faults by changing its state, either directly or from
// `step_hook` at a step of a request.
#pragma once

#include "serving/life_cycle.hpp"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace bergamotusher::serving_test
{

/// Steps of a request at which `step_hook` is called.
enum class request_step
{
    before_record,
    after_record,
    before_send,
    first_byte_sent,
    token,
    after_last_token,
    before_journal_finish,
    after
};

struct fake_upstream
{
    upstream_id id;
    service_name service;
    failure_domain domain;
    bool alive = true;
    /// Accepts connections and requests but never answers.
    bool frozen = false;
    bool refusing = false;
    /// Answers every request with a server error.
    bool failing = false;
    /// Listed in the directory, without notice that it leaves.
    bool listed = true;
    duration token_interval = 20ms;
    std::uint32_t slots = 8;
};

struct fake_attempt
{
    std::size_t entry = 0;
    dispatch sent;
    std::string prompt;
    std::uint64_t length = 0;
    /// Tokens already contained in the request's body.
    std::uint64_t resumed_from = 0;
    bool accepted = false;
    /// The connection is broken; an order still runs to its end.
    bool disconnected = false;
    /// Answers of the upstream are lost, or delivered twice.
    bool answers_lost = false;
    bool answers_doubled = false;
    std::uint64_t produced = 0;
    time_point due;
};

struct fake_caller
{
    std::size_t entry = 0;
    caller_request request;
    request_id connection;
    std::string text;
    std::uint64_t last_event = 0;
    bool ended = false;
    std::string body;
    std::optional<answer_error> error;
    /// Describes a protocol violation, such as an event out of order or a
    /// second end; empty if there was none.
    std::string protocol_error;
    std::uint32_t moves = 0;
};

struct pending_input
{
    time_point due;
    std::size_t entry = 0;
    serving_input input;
};

struct simulation
{
    explicit simulation(std::size_t entries = 1);

    time_point now = time_point{} + std::chrono::hours(1);
    std::shared_ptr<configuration> config;
    std::vector<serving::life_cycle> entries;
    std::vector<bool> drained_entries;
    /// Restarts of each entry. Actions that a dead process still had to carry
    /// out are dropped.
    std::vector<int> restarts;
    std::map<upstream_id, fake_upstream> upstreams;
    std::map<attempt_id, fake_attempt> attempts;
    std::map<std::string, fake_caller> callers;
    std::vector<pending_input> pending;
    std::vector<std::pair<time_point, upstream_id>> scheduled_deaths;
    std::uint64_t connections_made = 0;

    std::map<journal_key, journal_record> journal;
    std::set<attempt_id> released;
    bool quorum = true;
    /// Number of journal answers still to be lost, or to be delivered twice.
    int journal_answers_lost = 0;
    int journal_answers_doubled = 0;
    bool journal_finishes_lost = false;
    bool successors_decline = false;
    /// Number of crash reports still to be lost.
    int crash_reports_lost = 0;
    bool crash_acknowledgements_lost = false;
    /// How long each other report or acknowledgement takes.
    duration crash_report_delay = 5ms;

    /// How often each order ran, and how often each prompt was dispatched to
    /// and accepted by an upstream.
    std::map<std::string, int> runs;
    std::map<std::string, int> dispatches;
    std::map<std::string, int> accepted;
    std::vector<choice_request> routing_queries;
    std::vector<serving_action> action_log;
    /// Inputs from attempts, kept so that tests can replay them late.
    std::vector<pending_input> attempt_inputs;
    /// Called at each step of each attempt.
    std::function<void(request_step, std::uint64_t, fake_attempt&)> step_hook;
};

/// Returns a request for a stream of `length` tokens, with id `r-` + `prompt`.
caller_request stream_request(const std::string& prompt, std::uint64_t length);
/// Returns an order, which must not be repeated, with id `r-` + `name`.
caller_request order_request(const std::string& name, const std::string& key);
/// Returns the complete answer to `prompt`.
std::string expected_text(const std::string& prompt, std::uint64_t length);

/// Returns one token of that answer.
std::string piece_of(const std::string& prompt, std::uint64_t index);

/// Feeds `input` after `span`.
void feed_after(
    simulation& sim, duration span, std::size_t entry, serving_input input);
/// Calls `step_hook`, if set.
void run_step_hook(
    simulation& sim,
    request_step step,
    std::uint64_t index,
    fake_attempt& attempt);
/// Feeds an input to an entry and carries out its actions.
void feed(simulation& sim, std::size_t entry, const serving_input& input);
/// Sends a client's request to an entry.
fake_caller&
send(simulation& sim, const caller_request& request, std::size_t entry = 0);
/// Advances virtual time in small steps with ticks.
void run_for(simulation& sim, duration span);
/// Advances virtual time until every client has its answer, at most by `limit`.
void run_until_answered(simulation& sim, duration limit);

/// Kills an upstream; the directory reports it after a delay.
void kill_upstream(
    simulation& sim, const upstream_id& id, bool domain_lost = false);
/// Restarts an entry's process; its records in flight become `unknown`.
void restart_entry(simulation& sim, std::size_t entry);
/// Stops an upstream without closing its connections; it is reported gone when
/// its announcement expires.
void freeze_upstream(simulation& sim, const upstream_id& id);
/// Breaks the connection of one attempt.
void break_connection(simulation& sim, fake_attempt& attempt);
/// Gives notice that an upstream leaves in `span`, and kills it then.
void give_notice(simulation& sim, const upstream_id& id, duration span);

} // namespace bergamotusher::serving_test
