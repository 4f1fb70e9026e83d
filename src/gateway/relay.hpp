// Handles a request at an entry: route lookup, authentication, admission,
// placement, attempts with retries, and the answer. One event loop carries a
// request from caller to upstream and back: a queue between threads would cost
// two wake-ups per event, too much on instances with a fraction of one core.
#pragma once

#include "admission/shared_limit.hpp"
#include "gateway/answer_time.hpp"
#include "gateway/dialect.hpp"
#include "gateway/entry_view.hpp"
#include "gateway/event_splitter.hpp"
#include "gateway/retry_decision.hpp"
#include "gateway/upstream_pool.hpp"
#include "observe/decision_log.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace bergamotusher::gateway
{

/// Writes the answer of one request to the caller's connection.
class response_writer
{
public:
    virtual ~response_writer() = default;

    /// Sends bytes of the answer.
    virtual void send(std::string bytes) = 0;
    /// Marks the answer as complete.
    virtual void finish() = 0;
    /// Closes the connection at once, so that the caller sees that the answer
    /// is incomplete.
    virtual void abort() = 0;
    /// Whether the connection closes after this answer.
    virtual bool closes_connection() const = 0;
};

struct relay_options
{
    failure_domain domain;
    placement_options placement;
    retry_budget_options retries;
    admission::sharing_options limits;
    /// Maximum number of requests of one service that wait for an upstream.
    std::size_t waiting_max = 512;
    /// The retry delay given to callers where nothing better is known.
    duration default_retry_after = 400ms;
    /// A random delay up to this long is added, so that callers do not all
    /// return at once.
    duration retry_after_jitter = 400ms;
    /// Upper bound of the time that a request takes to reach the upstream; the
    /// remaining time stated to the upstream is shortened by it.
    duration transit_allowance = 2ms;
    /// A request is refused for a route or a key that the site does not have
    /// only if the site was known to be the newest this short a time ago:
    /// operators expect a confirmed change to be in force within a bound.
    duration refusal_confirmation_age = 1900ms;
    /// How long a request waits for a site that is expected, after a start or
    /// when the lease has just lapsed: a fraction of the caller's timeout, and
    /// a maximum.
    double site_wait_fraction = 0.25;
    duration site_wait_max = 1s;
    /// How long a request waits for the answer to a report that asks for a
    /// larger part of its account's limit.
    duration grant_wait_max = 300ms;
    /// How entries share the limits that upstreams name.
    admission::slot_options upstream_limits;
    /// A request waits for a free part of an upstream's limit if that comes
    /// within this fraction of the route's target latency; else it is refused.
    double limit_wait_fraction = 0.5;
    /// The longest retry delay given to callers where upstreams name limits:
    /// those may end at any moment.
    duration limit_retry_after_max = 30s;
    /// A site is expected for this long after a start or the end of a lease.
    duration site_expected_within = 4s;
    /// The largest answer that is buffered until it is complete.
    std::size_t answer_bytes_max = std::size_t{8} << 20;
    /// The largest event of a stream.
    std::size_t event_bytes_max = std::size_t{1} << 20;
    /// Bytes of incomplete answers and events that are buffered over all
    /// requests: instances have a few hundred MB.
    std::size_t buffered_bytes_max = std::size_t{64} << 20;
};

/// Counters since the start of the process.
struct relay_counters
{
    std::uint64_t received = 0;
    std::uint64_t answered = 0;
    std::uint64_t failed = 0;
    std::uint64_t truncated = 0;
    std::uint64_t caller_disconnects = 0;
    std::uint64_t sent = 0;
    std::uint64_t retried = 0;
    std::uint64_t resumed = 0;
    std::uint64_t events = 0;
    /// Requests that were refused since all upstreams name limits.
    std::uint64_t limited = 0;
    std::map<error_kind, std::uint64_t> rejected;
    /// Number of requests by upper bound in ms of the time to the first byte.
    std::map<int, std::uint64_t> first_byte_histogram;
};

class relay
{
public:
    relay(
        boost::asio::io_context& loop,
        const header_codec& codec,
        relay_options options,
        entry_view& view,
        observe::decision_log& log);
    ~relay();
    relay(const relay&) = delete;
    relay& operator=(const relay&) = delete;

    /// Accepts a complete request; `began` is when its first byte was received.
    /// Returns its number, for `abandon`.
    std::uint64_t accept(
        request_message request,
        const std::shared_ptr<response_writer>& caller,
        time_point began);

    /// Ends a request whose caller has closed its connection.
    void abandon(std::uint64_t number);

    /// From now on requests that are not likely to be answered by `end` are
    /// rejected instead of sent.
    void send_only_until(time_point end);

    /// Rejects new requests from now on.
    void reject_new_requests();

    /// Gives each request whose answer has not begun its final answer, before
    /// the process ends.
    void end_requests();

    /// Updates the upstreams from the directory and dispatches waiting
    /// requests.
    void on_upstreams_changed();

    /// Resumes the requests that wait for a site, after one was received or its
    /// lease was renewed.
    void on_site_confirmed();

    /// Admits or refuses the requests that waited for the answer to a report
    /// that was sent at `report_sent_at`.
    void on_limits_granted(time_point report_sent_at);

    /// Refuses the waiting requests that must not reach upstreams any more.
    void on_content_suspended();

    /// An upstream names another limit than before.
    void on_limits_changed();

    /// Periodic work; to be called a few times per second.
    void tick();

    std::size_t in_flight() const
    {
        return requests_.size();
    }
    /// Bytes of incomplete answers and events over all requests.
    std::size_t buffered_bytes() const
    {
        return buffered_bytes_;
    }
    const relay_counters& counters() const
    {
        return counters_;
    }
    const pool_counters& connections() const
    {
        return pool_.counters();
    }

private:
    struct request;
    using request_ptr = std::shared_ptr<request>;

    void start(const request_ptr& req);
    /// Whether the request is within its account's limit. If not, it was
    /// refused, or waits for a larger grant.
    bool admit(const request_ptr& req);
    /// Chooses a service and a version, and dispatches the request.
    void place(const request_ptr& req);
    placement_choice choose_upstream(const request_ptr& req);
    limit_terms current_limit_terms(time_point now) const;
    /// Queues a request whose upstreams all name limits, or refuses it if no
    /// part of them is free in time.
    void wait_for_limit(const request_ptr& req);
    /// Looks at the requests of each service whose first one waits for a limit
    /// again: limits may have become lower.
    void review_limited_requests();
    void reject_limited(const request_ptr& req);
    /// Records what the upstream of the attempt says of itself in an answer.
    void read_statement(const request_ptr& req, const answer_metadata& facts);
    void dispatch(const request_ptr& req);
    /// Whether the directory is still expected: after a start the site can be
    /// received before it.
    bool is_awaiting_directory(time_point now) const;
    /// Rejects the requests that wait for a service without an upstream.
    void reject_unservable(time_point now);
    void send(const request_ptr& req, const placement_choice& choice);
    /// Counts a request of `bytes` that is sent to an upstream in `domain`.
    void record_domain(
        const request& req,
        const failure_domain& domain,
        std::size_t bytes,
        time_point now);
    std::string encode_request(const request& req, time_point now) const;
    response_callbacks make_callbacks(const request_ptr& req);

    void on_head(
        const request_ptr& req,
        const answer_parser& answer,
        const answer_metadata& facts);
    void on_body(const request_ptr& req, const std::string& piece);
    /// Updates the count of buffered bytes. Ends the attempt of this request if
    /// it has more than allowed, and those of the requests with most bytes
    /// while all together have.
    static void record_event_gap(request& req, time_point now);
    void check_buffer(const request_ptr& req);
    void give_up_answer(const request_ptr& req, const char* reason);
    /// Drops what is buffered of the request's answer.
    void drop_buffer(const request_ptr& req);
    void on_complete(const request_ptr& req);
    void on_failed(
        const request_ptr& req, failure_kind kind, const std::string& detail);

    const std::vector<crash_subject>& crash_subjects_of(request& req);
    /// Ends a request that must not reach upstreams, since requests with a
    /// subject of it crashed them; false if it is not such a request.
    bool end_suspended(const request_ptr& req);
    /// A request was lost with its connection: counts against its subjects if
    /// the upstream does not accept connections any more.
    void suspect_crash(const request_ptr& req);
    void on_upstream_died(const admission::upstream_incarnation& died);

    void release_upstream(const request_ptr& req);
    void handle_failed_attempt(
        const request_ptr& req,
        attempt_outcome outcome,
        std::string_view reason);
    void forward_answer(const request_ptr& req);
    void forward_events(const request_ptr& req, const std::string& events);
    void record_first_byte(const request_ptr& req);
    void record_attempt_success(const request_ptr& req);
    void record_attempt_failure(const request_ptr& req);
    /// Records a whole signed answer of a service without engines, of which the
    /// time tells how long work takes; does nothing for other services.
    bool record_plain_end(const request_ptr& req, bool is_failure);
    /// The request ends before its answer began: its latency is at least the
    /// time since it was sent.
    void record_unanswered(const request_ptr& req);
    /// A caller that left after the route's target counts against an upstream
    /// that has not answered any request since this one was sent.
    void record_silence(const request_ptr& req);
    version_tally& tally(const request& req);

    /// Fails the request instead if it may have run.
    void reject(
        const request_ptr& req,
        error_kind kind,
        std::string_view reason,
        std::optional<duration> retry_after = {});
    void fail(const request_ptr& req, error_kind kind, std::string_view reason);
    void send_error(
        const request_ptr& req,
        error_kind kind,
        std::string_view reason,
        std::optional<duration> retry_after);
    void finish(const request_ptr& req);

    /// Answers a request that the site does not allow, once the site is known
    /// to be the newest.
    void reject_by_site(
        const request_ptr& req, error_kind kind, std::string_view reason);
    /// Queues a request until a site is received; false if none is expected.
    bool wait_for_site(const request_ptr& req);
    /// Queues a request until the leader grants more of its account's limit;
    /// false if it asked before, or another request was told that there is no
    /// more.
    bool wait_for_grant(const request_ptr& req);
    void stop_waiting_for_grants(time_point now);
    void enqueue(const request_ptr& req);
    void dequeue(const request_ptr& req);
    void end_unsent_requests();
    /// Whether the process ends before the answer is likely to be complete.
    bool is_too_late(const request& req, time_point now) const;
    void reject_as_draining(const request_ptr& req);
    /// Rejects the waiting requests for which it has become too late.
    void reject_late(time_point now);
    void dispatch_waiting(const service_name& service);
    void arm_timer();
    void on_timer();
    void on_timeout(const request_ptr& req);

    duration add_retry_jitter(duration min_delay);
    observe::log_line make_log_line(
        const request& req, observe::decision what, time_point now) const;

    boost::asio::io_context& loop_;
    const header_codec& codec_;
    relay_options options_;
    entry_view& view_;
    observe::decision_log& log_;
    upstream_pool pool_;
    boost::asio::steady_timer timer_;
    time_point timer_due_;
    std::mt19937_64 random_engine_;
    time_point started_at_;
    std::uint64_t next_number_ = 1;
    bool rejects_new_requests_ = false;
    /// Set while the process is being stopped.
    std::optional<time_point> requests_end_at_;
    /// By route.
    std::map<std::string, answer_times> answer_times_;
    std::map<std::uint64_t, request_ptr> requests_;
    /// Numbers of the requests by deadline.
    std::multimap<time_point, std::uint64_t> deadlines_;
    std::map<service_name, std::deque<request_ptr>> waiting_;
    /// When the next caller that is refused for limits should return, by
    /// service.
    std::map<service_name, time_point> limited_return_at_;
    std::deque<request_ptr> waiting_for_site_;
    std::deque<request_ptr> waiting_for_grant_;
    /// Requests that were lost with upstreams that are being probed.
    struct lost_requests
    {
        time_point lost_at;
        std::vector<std::vector<crash_subject>> subjects;
    };
    std::map<admission::upstream_incarnation, lost_requests> lost_;
    std::size_t buffered_bytes_ = 0;
    relay_counters counters_;
};

} // namespace bergamotusher::gateway
