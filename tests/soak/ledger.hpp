// What callers, upstreams, operators and the platform's side saw of a run, and
// the promises that are checked against it.
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
using moment = clock_type::time_point;

enum class request_kind
{
    /// Must run at most once.
    order,
    lookup,
    /// A stream that may be resumed.
    chat
};

/// One request of a caller, and what came back.
struct asked
{
    request_kind kind = request_kind::order;
    std::string key;
    moment sent_at;
    /// 0: no answer.
    int status = 0;
    bool is_signed = false;
    /// The answer came whole.
    bool complete = false;
    std::string body;
};

/// One run at an upstream.
struct ran
{
    std::string attempt;
    std::string upstream;
    std::string method;
    std::string path;
    std::string body;
    std::string account;
    /// The caller's key came along.
    bool has_key = false;
    moment at;
};

class ledger
{
public:
    /// What is known of a request: when it is sent, and again once it is
    /// answered.
    void note_asked(const std::string& attempt, const asked& what);
    void note_run(const ran& one);
    /// A configuration without the key is on its way; from now on either
    /// answer to a request with it is right.
    void note_revoking(const std::string& key);
    void note_revoked(const std::string& key, moment acknowledged_at);
    void note_drained(const std::string& upstream, moment acknowledged_at);
    void note_wrong(const std::string& what);

    /// What broke a promise, one line each.
    std::vector<std::string> broken();
    /// Requests sent between the two, and those that were answered with
    /// success.
    std::pair<std::size_t, std::size_t>
    served_between(moment from, moment until);
    std::size_t runs();

private:
    void check_runs(std::vector<std::string>& wrong);
    void check_answers(std::vector<std::string>& wrong);

    std::mutex mutex_;
    std::map<std::string, asked> asked_;
    std::vector<ran> runs_;
    std::set<std::string> revoking_;
    std::map<std::string, moment> revoked_;
    std::map<std::string, moment> drained_;
    std::vector<std::string> wrong_;
};

/// The body that a request brings, and the whole answer to it.
std::string body_of(request_kind kind, const std::string& attempt);
std::string answer_to(request_kind kind, const std::string& attempt);
std::string path_of(request_kind kind);
std::string method_of(request_kind kind);
/// The account that holds a key of the test.
std::string account_of(const std::string& key);

/// Events of a chat, and the text of one.
inline constexpr int chat_events = 12;
std::string event_text(const std::string& attempt, int number);

/// A key may still work for so long after the configuration that takes it away
/// was acknowledged; as in the settings that the soak writes.
inline constexpr auto revoke_time = std::chrono::milliseconds(5000);
/// The same for an upstream that drains.
inline constexpr auto drain_time = std::chrono::milliseconds(2000);

} // namespace soak
