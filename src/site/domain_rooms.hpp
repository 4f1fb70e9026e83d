// What the upstreams of a service take in each failure domain, as the leader
// computes it for the entries.
#pragma once

#include "routing/domain_exchange.hpp"
#include "site/upstream_directory.hpp"

#include <map>
#include <set>
#include <vector>

namespace bergamotusher::site
{

/// Requests of one service, as all entries reported them.
struct service_work
{
    /// Requests per second that arrive, by failure domain of the entry.
    std::map<failure_domain, double> arrivals;
    /// Time that a request runs at an upstream, in s; 0 if unknown.
    double request_time_s = 0;
    /// Requests per second for whose prompts one engine has time; 0 if unknown.
    double prompt_bound_rate = 0;
};

/// Length of time that a request runs, from the number running and the rate,
/// smoothed over about five reports; `before` is 0 if unknown.
double
smoothed_request_time(double before, double running, double requests_per_s);

/// The state of each domain that has arrivals or upstreams. An upstream counts
/// if it is ready, neither evacuated nor silent. Empty if it is unknown what
/// one of them takes.
std::vector<routing::domain_state> domain_rooms(
    const upstream_directory& directory,
    const service_name& service,
    const service_work& work,
    const std::set<failure_domain>& evacuated,
    const std::map<upstream_id, double>& limits,
    const std::set<upstream_id>& silent);

} // namespace bergamotusher::site
