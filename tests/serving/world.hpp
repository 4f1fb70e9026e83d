// A small world around one or more life cycles, in virtual time: upstreams
// that run what they are sent and count it, a journal, callers that check what
// they are given. Faults are put in by changing its state, at a step of a
// request's life where wanted.
#pragma once

#include "serving/life_cycle.hpp"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace bergamotusher::serving_test
{

/// The steps of a request's life.
enum class life_step
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
    /// It takes connections and requests, and nothing ever comes back.
    bool frozen = false;
    bool refusing = false;
    /// The directory has it, and does not say that it leaves.
    bool listed = true;
    duration gap = 20ms;
    std::uint32_t slots = 8;
};

struct fake_attempt
{
    std::size_t entry = 0;
    dispatch sent;
    std::string prompt;
    std::uint64_t length = 0;
    /// Tokens that the request's body brought along.
    std::uint64_t resumed_from = 0;
    bool accepted = false;
    /// The connection is gone; an order goes on without it.
    bool cut = false;
    /// Answers are lost, or come twice.
    bool mute = false;
    bool twice = false;
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
    /// What it was told wrongly: an event out of order, a second end.
    std::string complaint;
    std::uint32_t moves = 0;
};

struct pending_input
{
    time_point due;
    std::size_t entry = 0;
    serving_input input;
};

struct world
{
    explicit world(std::size_t entries = 1);

    time_point now = time_point{} + std::chrono::hours(1);
    std::shared_ptr<configuration> config;
    std::vector<serving::life_cycle> entries;
    std::vector<bool> drained_entries;
    std::map<upstream_id, fake_upstream> upstreams;
    std::map<attempt_id, fake_attempt> attempts;
    std::map<std::string, fake_caller> callers;
    std::vector<pending_input> pending;
    std::vector<std::pair<time_point, upstream_id>> dying;
    std::uint64_t connections_made = 0;

    std::map<journal_key, journal_record> journal;
    std::set<attempt_id> released;
    bool quorum = true;
    bool journal_answers_lost = false;
    bool finishes_lost = false;
    bool successors_decline = false;

    /// How often each order was run, and each prompt dispatched.
    std::map<std::string, int> runs;
    std::map<std::string, int> dispatches;
    std::vector<choice_request> questions;
    std::vector<serving_action> log;
    /// Called at each step of each attempt.
    std::function<void(life_step, std::uint64_t, fake_attempt&)> hook;
};

/// A request for a stream of `length` tokens; `prompt` names it.
caller_request stream_request(const std::string& prompt, std::uint64_t length);
/// An order, which may not be repeated.
caller_request order_request(const std::string& name, const std::string& key);
/// The text that `prompt` is answered with.
std::string expected_text(const std::string& prompt, std::uint64_t length);

/// Feeds an input and carries the actions out.
void feed(world& w, std::size_t entry, const serving_input& input);
/// A caller sends its request to an entry.
fake_caller&
send(world& w, const caller_request& request, std::size_t entry = 0);
/// Lets time pass, in small steps with ticks.
void run_for(world& w, duration span);
/// Lets time pass until every caller has its end, `limit` at the most.
void run_until_answered(world& w, duration limit);

/// The process dies; the directory learns of it a little later.
void kill(world& w, const upstream_id& id, bool domain_lost = false);
/// The process stops without dying; its announcement is not renewed.
void freeze(world& w, const upstream_id& id);
/// Breaks the connection of one attempt.
void cut(world& w, fake_attempt& attempt);
/// The upstream is told that it goes in `span`, and dies then.
void give_notice(world& w, const upstream_id& id, duration span);

} // namespace bergamotusher::serving_test
