// What an entry believes: the site, the upstreams, version moves, leases. Kept
// up by the entry's link to the control nodes, read by the relay; both run on
// one loop.
#pragma once

#include "admission/window_limit.hpp"
#include "gateway/placement.hpp"
#include "gateway/retry_allowance.hpp"
#include "site/site_state.hpp"
#include "site/upstream_directory.hpp"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace bergamotusher::gateway
{

/// What was seen of one version on one route.
struct version_tally
{
    std::uint64_t sent = 0;
    std::uint64_t good = 0;
    std::uint64_t bad = 0;
    /// Answers whose latency was taken, and the sum of its natural logarithms,
    /// in ms.
    std::uint64_t timed = 0;
    double log_sum = 0;
};

struct tally_key
{
    service_name service;
    version_name version;
    std::string route;

    auto operator<=>(const tally_key&) const = default;
};

/// Work of one service at this entry, counted since the start.
struct service_counts
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t prompt_tokens_read = 0;
};

struct entry_view
{
    std::shared_ptr<const site::lookup> site;
    /// Requests with a key are taken until then.
    time_point site_valid_until;
    site::upstream_directory directory;
    /// No directory has come yet since the start, and one is on its way.
    bool directory_awaited = false;
    /// One for each upstream of the directory that is not gone.
    std::map<upstream_id, std::unique_ptr<upstream_view>> upstreams;
    std::map<service_name, std::vector<upstream_view*>> by_service;
    std::map<service_name, site::version_move> moves;
    /// Entries that share bounds, this one too.
    std::uint32_t entries = 1;
    /// From this process's uptime to the true time of day.
    std::int64_t time_offset_ms = 0;
    std::map<account_id, admission::window_usage> usage_of_limits;
    /// What the leader allowed this entry to have admitted of each account's
    /// limit, and when the report was sent that it answered.
    std::map<account_id, double> allowances;
    time_point allowances_at;
    /// So much was admitted since then that the leader is to hear of it soon.
    bool limits_pressed = false;
    std::map<service_name, retry_allowance> retries;
    part_rates rates;
    std::map<tally_key, version_tally> tallies;
    std::map<service_name, service_counts> services;
    /// Length of a usage window, in true time.
    duration usage_window = 5s;
    /// Requests that began, by usage window and account.
    std::map<std::uint64_t, std::map<account_id, std::uint64_t>> usage;
};

/// The number of the usage window that `now` falls into.
std::uint64_t usage_window_at(const entry_view& view, time_point now);

/// Makes `upstreams` and `by_service` follow the directory. Returns addresses
/// that no upstream has any more.
std::vector<std::string> follow_directory(entry_view& view, time_point now);

/// The upstreams that requests of `service` may go to now: by the service's
/// version move, of its target if `draw` (0 to 999) falls into its share.
std::vector<upstream_view*> candidates(
    const entry_view& view, const service_name& service, std::uint32_t draw);

} // namespace bergamotusher::gateway
