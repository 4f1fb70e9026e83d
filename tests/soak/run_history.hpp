// Records what callers, upstreams, operators and the simulated cloud API
// observed during a run, and checks the system's guarantees against it.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace soak
{

using clock_type = std::chrono::steady_clock;
using time_point = clock_type::time_point;

enum class request_kind
{
    /// Not idempotent: must be executed at most once.
    order,
    lookup,
    /// An event stream that may be resumed on another upstream.
    chat
};

/// One request of a caller and the response to it.
struct request_record
{
    request_kind kind = request_kind::order;
    std::string key;
    time_point sent_at;
    /// HTTP status; 0 if there was no response.
    int status = 0;
    bool has_server_seal = false;
    /// The response body was received to its end.
    bool complete = false;
    std::string body;
};

/// One execution of a request by an upstream.
struct execution_record
{
    std::string attempt;
    std::string upstream;
    std::string method;
    std::string path;
    std::string body;
    std::string account;
    /// The request carried the caller's API key.
    bool has_api_key = false;
    time_point started_at;
    /// The service of the upstream.
    std::string service;
};

class run_history
{
public:
    /// Called when a request is sent, and again with its response; the later
    /// record replaces the earlier one.
    void
    record_request(const std::string& attempt, const request_record& record);
    void record_execution(const execution_record& record);
    /// A configuration without the key is about to be sent; from now on a
    /// request with this key may be accepted or rejected.
    void record_revocation_sent(const std::string& key);
    void record_revocation_acknowledged(
        const std::string& key, time_point acknowledged_at);
    void record_drain_acknowledged(
        const std::string& upstream, time_point acknowledged_at);
    void record_violation(const std::string& description);

    /// Violated guarantees, one line each.
    std::vector<std::string> violations();
    /// Number of requests sent from `from` up to `until` with keys that were
    /// not being revoked, and how many of them were answered completely with
    /// status 200.
    std::pair<std::size_t, std::size_t>
    count_served(time_point from, time_point until);
    std::size_t execution_count();

private:
    void check_executions(std::vector<std::string>& violations);
    void check_answers(std::vector<std::string>& violations);

    std::mutex mutex_;
    std::map<std::string, request_record> requests_;
    std::vector<execution_record> executions_;
    std::set<std::string> revocations_sent_;
    std::map<std::string, time_point> revocations_acknowledged_;
    std::map<std::string, time_point> drains_acknowledged_;
    std::vector<std::string> violations_;
};

/// Body of a request, and body of the complete response to it.
std::string request_body(request_kind kind, const std::string& attempt);
std::string answer_body(request_kind kind, const std::string& attempt);
std::string request_path(request_kind kind);
std::string request_method(request_kind kind);
/// The client account that an API key belongs to.
std::string account_of_key(const std::string& key);

/// Number of events in the response to a chat request.
inline constexpr int chat_event_count = 12;
std::string event_text(const std::string& attempt, int event_id);

/// Longest time for which a revoked key may still be accepted after its
/// revocation was acknowledged; equals the setting `revokeMs`.
inline constexpr auto max_revocation_time = std::chrono::milliseconds(5000);
/// Longest time for which an upstream may still receive requests after its
/// draining state was acknowledged; equals the setting `drainMs`.
inline constexpr auto max_drain_time = std::chrono::milliseconds(2000);

} // namespace soak
