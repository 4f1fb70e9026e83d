// The life of a request at an entry: looked up, admitted, placed, sent, sent
// again where that is allowed, and answered. One loop carries it from caller
// to upstream and back: a ring between threads would cost two wake-ups an
// event on instances that have a part of one core.
#pragma once

#include "admission/shared_limit.hpp"
#include "gateway/after_break.hpp"
#include "gateway/dialect.hpp"
#include "gateway/entry_view.hpp"
#include "gateway/event_splitter.hpp"
#include "gateway/upstream_pool.hpp"
#include "observe/decision_log.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace bergamotusher::gateway
{

/// The answering side of one request: the caller's connection.
class caller_port
{
public:
    virtual ~caller_port() = default;

    /// Sends bytes of the answer.
    virtual void send(std::string bytes) = 0;
    /// The answer is whole.
    virtual void finish() = 0;
    /// Cuts the connection, so that the caller sees that the answer is not
    /// whole.
    virtual void cut() = 0;
    /// Whether the connection closes after this answer.
    virtual bool closes() const = 0;
};

struct relay_options
{
    failure_domain domain;
    placement_options placement;
    retry_bound retries;
    admission::sharing_options limits;
    /// Requests that wait for an upstream, for one service.
    std::size_t waiting_max = 512;
    /// The wait that callers are told where nothing better is known.
    duration return_after = 400ms;
    /// Callers that are told to come back are spread over this time.
    duration return_spread = 400ms;
    /// A request that is passed on arrives after so long at most; what is left
    /// of the caller's time is told less by so much.
    duration hand_on_time = 2ms;
    /// A request waits so long for a site that is on its way: after a start,
    /// or when the lease has just lapsed. Part of the caller's patience, and
    /// at most.
    double site_wait_part = 0.25;
    duration site_wait = 1s;
    /// After a start or a lapse, a site is taken to be on its way for so long.
    duration site_expected = 4s;
    /// The largest answer that is held until it is whole.
    std::size_t answer_bytes = std::size_t{8} << 20;
};

/// Counters since the start.
struct relay_counters
{
    std::uint64_t taken = 0;
    std::uint64_t answered = 0;
    std::uint64_t failed = 0;
    std::uint64_t cut = 0;
    std::uint64_t callers_left = 0;
    std::uint64_t sent = 0;
    std::uint64_t sent_again = 0;
    std::uint64_t resumed = 0;
    std::uint64_t events = 0;
    std::map<error_kind, std::uint64_t> refused;
    /// Count of requests by upper bound of the time to the first byte, ms.
    std::map<int, std::uint64_t> first_byte;
};

class relay
{
public:
    relay(
        boost::asio::io_context& loop,
        const dialect& words,
        relay_options options,
        entry_view& view,
        observe::decision_log& log);
    ~relay();
    relay(const relay&) = delete;
    relay& operator=(const relay&) = delete;

    /// Takes a request that is whole; `began` is when its first byte came.
    /// Returns its number, for `leave`.
    std::uint64_t take(
        request_message request,
        const std::shared_ptr<caller_port>& caller,
        time_point began);

    /// The caller has closed its connection.
    void leave(std::uint64_t number);

    /// Takes no new requests from now on.
    void refuse_new();

    /// The upstreams have changed: requests that wait may go.
    void upstreams_changed();

    /// A site has come, or its lease was renewed: requests that wait for it
    /// may go.
    void site_confirmed();

    /// Housekeeping, a few times a second.
    void tick();

    std::size_t under_way() const
    {
        return requests_.size();
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

    void begin(const request_ptr& each);
    bool admit(const request_ptr& each);
    placement_choice choose_upstream(const request_ptr& each);
    void place(const request_ptr& each);
    /// After a start the site can come before the directory.
    bool awaits_directory(time_point now) const;
    /// Refuses what waits for a service that has no upstream.
    void refuse_hopeless(time_point now);
    void send(const request_ptr& each, const placement_choice& choice);
    std::string bytes_for(const request& each, time_point now) const;
    send_events events_for(const request_ptr& each);

    void on_head(
        const request_ptr& each,
        const answer_parser& answer,
        const answer_facts& facts);
    void on_body(const request_ptr& each, const std::string& piece);
    void on_ended(const request_ptr& each);
    void on_broken(
        const request_ptr& each, break_kind kind, const std::string& detail);

    void release(const request_ptr& each);
    void after_send(
        const request_ptr& each, send_outcome outcome, std::string_view reason);
    void pass_whole(const request_ptr& each);
    void pass_events(const request_ptr& each, const std::string& events);
    void note_first_byte(const request_ptr& each);
    void note_good(const request_ptr& each);
    void note_bad(const request_ptr& each);
    version_tally& tally(const request& each);

    void refuse(
        const request_ptr& each,
        error_kind kind,
        std::string_view reason,
        std::optional<duration> come_back = {});
    void
    fail(const request_ptr& each, error_kind kind, std::string_view reason);
    void answer_error(
        const request_ptr& each,
        error_kind kind,
        std::string_view reason,
        std::optional<duration> come_back);
    void finish(const request_ptr& each);

    /// Holds a request for a site that is on its way; false if none is.
    bool wait_for_site(const request_ptr& each);
    void wait(const request_ptr& each);
    void stop_waiting(const request_ptr& each);
    void send_waiting(const service_name& service);
    void arm();
    void on_timer();
    void on_time_over(const request_ptr& each);

    duration spread_return(duration least);
    observe::log_line
    line_for(const request& each, observe::decision what, time_point now) const;

    boost::asio::io_context& loop_;
    const dialect& words_;
    relay_options options_;
    entry_view& view_;
    observe::decision_log& log_;
    upstream_pool pool_;
    boost::asio::steady_timer timer_;
    time_point armed_for_;
    std::mt19937_64 random_;
    time_point started_at_;
    std::uint64_t next_number_ = 1;
    bool refuses_new_ = false;
    std::map<std::uint64_t, request_ptr> requests_;
    /// When the time of each request is over.
    std::multimap<time_point, std::uint64_t> ends_;
    std::map<service_name, std::deque<request_ptr>> waiting_;
    std::deque<request_ptr> waiting_for_site_;
    relay_counters counters_;
};

} // namespace bergamotusher::gateway
