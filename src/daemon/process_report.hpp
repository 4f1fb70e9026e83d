// Status and metrics of one process, for operators.
#pragma once

#include "daemon/admin_duty.hpp"
#include "daemon/callers_duty.hpp"
#include "daemon/control_duty.hpp"
#include "daemon/peers_duty.hpp"
#include "daemon/serving_duty.hpp"
#include "daemon/supervisor.hpp"
#include "daemon/upstreams_duty.hpp"
#include "settings/settings.hpp"

#include <string>

namespace bergamotusher
{

/// The JSON body of `GET /v1/status`.
std::string status_json(
    const settings& values,
    const serving_snapshot& serving,
    const control_status& control,
    const supervisor& supervised);

/// Sources of the metrics of a process.
struct metrics_sources
{
    const serving_snapshot& serving;
    const control_status& control;
    const peers_status& peers;
    const http_counters& caller_http;
    const callers_counters& callers;
    const upstreams_counters& upstreams;
    const admin_counters& admin;
};

/// The duties' metrics in the Prometheus text format, without those of the time
/// line.
std::string metrics_text(const metrics_sources& from);

} // namespace bergamotusher
