#include "soak/run_history.hpp"

namespace soak
{

namespace
{

constexpr int status_ok = 200;

/// Whether an entry uses this status for requests that were not executed.
bool states_not_executed(int status)
{
    return status == 429 || status == 503 || status == 408 || status == 421;
}

} // namespace

std::string request_path(request_kind kind)
{
    switch (kind)
    {
    case request_kind::order:
        return "/orders/new";
    case request_kind::lookup:
        return "/lookup/one";
    case request_kind::chat:
        return "/chat/ask";
    }
    return {};
}

std::string request_method(request_kind kind)
{
    return kind == request_kind::lookup ? "GET" : "POST";
}

std::string request_body(request_kind kind, const std::string& attempt)
{
    return kind == request_kind::lookup ? "" : "body of " + attempt;
}

std::string event_text(const std::string& attempt, int event_id)
{
    return "id: " + std::to_string(event_id) + "\ndata: " + attempt + "-" +
           std::to_string(event_id) + "\n\n";
}

std::string answer_body(request_kind kind, const std::string& attempt)
{
    if (kind != request_kind::chat)
        return "answer to " + attempt;
    std::string events;
    for (int i = 1; i <= chat_event_count; ++i)
        events += event_text(attempt, i);
    return events;
}

std::string account_of_key(const std::string& key)
{
    return key.substr(0, key.find('-'));
}

void run_history::record_request(
    const std::string& attempt, const request_record& record)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    requests_[attempt] = record;
}

void run_history::record_execution(const execution_record& record)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    executions_.push_back(record);
}

void run_history::record_revocation_sent(const std::string& key)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    revocations_sent_.insert(key);
}

void run_history::record_revocation_acknowledged(
    const std::string& key, time_point acknowledged_at)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    revocations_acknowledged_.emplace(key, acknowledged_at);
}

void run_history::record_drain_acknowledged(
    const std::string& upstream, time_point acknowledged_at)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    drains_acknowledged_.emplace(upstream, acknowledged_at);
}

void run_history::record_violation(const std::string& description)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    violations_.push_back(description);
}

std::size_t run_history::execution_count()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return executions_.size();
}

std::pair<std::size_t, std::size_t>
run_history::count_served(time_point from, time_point until)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    std::size_t sent = 0;
    std::size_t served = 0;
    for (const auto& [attempt, each] : requests_)
        if (each.sent_at >= from && each.sent_at < until &&
            revocations_sent_.count(each.key) == 0)
        {
            ++sent;
            served += each.status == status_ok && each.complete ? 1 : 0;
        }
    return {sent, served};
}

void run_history::check_executions(std::vector<std::string>& violations)
{
    std::map<std::string, int> order_executions;
    for (const execution_record& each : executions_)
    {
        const std::string subject =
            "attempt " + each.attempt + " at " + each.upstream;
        const auto found = requests_.find(each.attempt);
        if (found == requests_.end())
        {
            violations.push_back(subject + ": executed, but no caller sent it");
            continue;
        }
        const request_record& request = found->second;
        if (request.kind == request_kind::order &&
            ++order_executions[each.attempt] == 2)
            violations.push_back(subject + ": order executed more than once");
        if (each.method != request_method(request.kind) ||
            each.path != request_path(request.kind) ||
            each.body != request_body(request.kind, each.attempt))
            violations.push_back(
                subject +
                ": method, path or body differs from the request sent");
        if (each.account != account_of_key(request.key))
            violations.push_back(
                subject + ": executed for wrong account \"" + each.account +
                "\"");
        if (each.has_api_key)
            violations.push_back(
                subject + ": caller's API key was forwarded to the upstream");
        const auto revoked = revocations_acknowledged_.find(request.key);
        if (revoked != revocations_acknowledged_.end() &&
            request.sent_at > revoked->second + max_revocation_time)
            violations.push_back(
                subject +
                ": sent with a key whose revocation was already in effect");
        const auto drained = drains_acknowledged_.find(each.upstream);
        if (drained != drains_acknowledged_.end() &&
            each.started_at > drained->second + max_drain_time)
            violations.push_back(
                subject + ": executed by an upstream that had drained");
    }
}

void run_history::check_answers(std::vector<std::string>& violations)
{
    std::set<std::string> executed;
    for (const execution_record& each : executions_)
        executed.insert(each.attempt);
    for (const auto& [attempt, each] : requests_)
    {
        const std::string subject = "attempt " + attempt;
        const bool was_executed = executed.count(attempt) > 0;
        if (each.kind == request_kind::order &&
            states_not_executed(each.status) && each.complete && was_executed)
            violations.push_back(
                subject + ": answered " + std::to_string(each.status) +
                ", but was executed");
        if (each.status != status_ok)
            continue;
        const std::string expected = answer_body(each.kind, attempt);
        if (!each.has_server_seal || !was_executed)
            violations.push_back(
                subject +
                ": status 200 without an execution or without the server seal");
        if (each.complete && each.body != expected)
            violations.push_back(
                subject + ": complete response differs from the upstream's");
        if (!each.complete &&
            expected.compare(0, each.body.size(), each.body) != 0)
            violations.push_back(
                subject + ": partial response has missing or repeated data");
    }
}

std::vector<std::string> run_history::violations()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<std::string> violations = violations_;
    check_executions(violations);
    check_answers(violations);
    return violations;
}

} // namespace soak
