// Records what operators, callers and upstreams saw of the configuration during
// a run, and checks the promises about it.
#pragma once

#include "soak/configuration_plan.hpp"
#include "soak/contact_log.hpp"
#include "soak/run_history.hpp"

#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace soak
{

/// Bounds of the promises; each equals the setting of that name.
inline constexpr auto config_apply_time = std::chrono::milliseconds(2000);
inline constexpr auto rollback_slack = std::chrono::milliseconds(250);
inline constexpr auto outer_time = std::chrono::milliseconds(5000);
inline constexpr auto ack_timeout = std::chrono::milliseconds(4000);
inline constexpr auto recovery_time = std::chrono::seconds(12);
/// Time after a route's timeout by which its requests have a final answer.
inline constexpr auto answer_slack = std::chrono::milliseconds(500);

/// A configuration that an operator sent.
struct sent_change
{
    configuration_spec spec;
    std::string body;
    /// Another operator may send other content with the same version.
    bool may_be_rejected = false;
    time_point sent_at;
    std::optional<time_point> acknowledged_at;
    std::optional<time_point> rejected_at;
    /// The operator stopped sending it then.
    std::optional<time_point> ended_at;
};

/// A request sent to one entry to show which configuration it obeys.
struct probe_record
{
    unsigned entry = 0;
    std::string prefix;
    std::string key;
    time_point sent_at;
    time_point answered_at;
    /// HTTP status; 0 if there was no response.
    int status = 0;
    /// The services that executed it, and when one first did.
    std::set<std::string> services;
    time_point executed_at;
};

/// A configuration that a control node returned.
struct read_record
{
    unsigned node = 0;
    time_point sent_at;
    time_point answered_at;
    std::string body;
};

class configuration_history
{
public:
    configuration_history(contact_log& contacts, time_point started_at)
        : contacts_(contacts), started_at_(started_at)
    {
    }

    /// Returns the number by which the change is referred to later.
    std::size_t record_sent(
        const configuration_spec& spec,
        std::string body,
        bool may_be_rejected,
        time_point at);
    void record_acknowledged(std::size_t change, time_point at);
    /// The change was answered with status 4xx.
    void record_rejected(std::size_t change, time_point at);
    /// The operator stopped sending the change.
    void record_ended(std::size_t change, time_point at);
    /// An acknowledged change was sent again, alone, and was rejected.
    void record_repeat_rejected(std::size_t change, time_point at);
    void record_probe(const std::string& attempt, const probe_record& probe);
    void record_execution(
        const std::string& attempt, const std::string& service, time_point at);
    void record_read(const read_record& read);
    /// The control node returned no configuration at the end of the run.
    void record_final_read_missing(unsigned node);

    /// The newest valid acknowledged version.
    std::uint64_t acknowledged_version();
    std::size_t acknowledged_changes();
    std::vector<std::string> violations();
    /// One line of counts: changes, probes judged, reads.
    std::string summary();

private:
    /// A probe and the versions that allow how it was handled.
    struct judged_probe;

    std::vector<const sent_change*>
    changes_that_may_hold(time_point until) const;
    std::uint64_t
    version_in_force(time_point at, std::chrono::milliseconds apply_time) const;
    std::string since_start(time_point at) const;
    std::string describe(const std::string& attempt, const probe_record&) const;
    bool is_overtaken(const sent_change& change) const;
    void check_changes(std::vector<std::string>& violations);
    void check_in_force(std::vector<std::string>& violations);
    void check_no_regress(std::vector<std::string>& violations);
    void check_reads(std::vector<std::string>& violations) const;
    void check_added_routes(std::vector<std::string>& violations);
    void check_timeouts(std::vector<std::string>& violations);

    contact_log& contacts_;
    time_point started_at_;
    std::mutex mutex_;
    std::vector<sent_change> changes_;
    std::map<std::string, probe_record> probes_;
    std::vector<read_record> reads_;
    std::vector<std::string> violations_;
    std::size_t judged_probes_ = 0;
    std::size_t added_route_probes_ = 0;
};

} // namespace soak
