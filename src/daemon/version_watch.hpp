// An entry's observation of versions that a version move is testing: collects
// evidence for the leader, and stops sending requests to a version at once if
// the entry's own evidence is bad. Used on the serving duty's thread only.
#pragma once

#include "rollout/evidence_recorder.hpp"
#include "rollout/local_rule.hpp"

#include <bergamotusher/configuration.hpp>
#include <bergamotusher/serving.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace bergamotusher
{

/// An entry's evidence and the versions that it has stopped.
struct version_watch
{
    rollout::evidence_recorder recorder;
    rollout::local_evidence evidence;
    std::vector<rollout::stopped_version> stopped;
    std::uint64_t sequence = 0;
};

/// Result of `evaluate_evidence`.
struct watch_result
{
    /// Report for the leader; empty while no version is on trial.
    std::optional<rollout::evidence_report> report;
    /// The set of stopped versions has changed.
    bool changed = false;
};

/// The load band of an upstream; `used` is its running requests divided by its
/// slots.
load_band load_band_of(double used);

/// Evaluates the evidence recorded since the last call: updates the stopped
/// versions and makes the report for the leader.
watch_result evaluate_evidence(
    version_watch& watch, const configuration& in_force, time_point now);

/// A copy of `in_force` without the stopped versions: their shares go to the
/// other versions of the service, in proportion. A service whose other versions
/// have no share keeps its versions.
std::shared_ptr<const configuration> without_stopped(
    const std::shared_ptr<const configuration>& in_force,
    const std::vector<rollout::stopped_version>& stopped);

} // namespace bergamotusher
