// What one entry sees of versions under a move: it sums up evidence for the
// leader, and stops sending to a version by its own evidence at once. Belongs
// to the serving duty.
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
    rollout::local_evidence known;
    std::vector<rollout::stopped_version> stopped;
    std::uint64_t sequence = 0;
};

/// What one span of evidence brought.
struct watch_result
{
    /// For the leader; absent while no version is on trial.
    std::optional<rollout::evidence_report> report;
    /// The stopped versions are others than before.
    bool changed = false;
};

/// How loaded an upstream is, from its requests over its slots.
load_band band_of(double used);

/// Sums up what came since the last call and judges it.
watch_result
collect(version_watch& watch, const configuration& in_force, time_point now);

/// `in_force` without the stopped versions: their shares go to the others of
/// the service. A service keeps its last version.
std::shared_ptr<const configuration> without_stopped(
    const std::shared_ptr<const configuration>& in_force,
    const std::vector<rollout::stopped_version>& stopped);

} // namespace bergamotusher
