// Which upstream a request is sent to: the one whose first token (or answer)
// is predicted soonest, with the costs of distance and of faults added as time.
#pragma once

#include "gateway/dialect.hpp"
#include "gateway/prompt_spread.hpp"
#include "site/upstream_directory.hpp"

#include <bergamotusher/time.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bergamotusher::gateway
{

/// Figures that placing works with.
struct placement_options
{
    /// Prompt tokens that an engine reads in a millisecond between the tokens
    /// of other requests: a fit to first tokens on a calm day gives half of
    /// what it reads alone.
    double prompt_tokens_per_ms = 22;
    /// Time that each running request adds to the first token of another, in
    /// ms: a few hundredths of a step's 6.35 ms for each token read.
    double running_cost_ms = 2;
    /// How fast it is forgotten that first tokens came later than predicted.
    duration lateness_memory = 1500ms;
    /// Added for an upstream in another failure domain, in ms: its bytes are
    /// priced and take longer.
    double distance_cost_ms = 12;
    /// Added for an upstream that has failed lately, for each failure, in ms.
    double failure_cost_ms = 400;
    /// How fast failures are forgotten.
    duration failure_memory = 4s;
    /// A report of load counts for so long.
    duration load_memory = 2s;
    /// An upstream that could not be reached is passed over for so long; it
    /// doubles with each further failure, up to `avoid_longest`.
    duration avoid_first = 300ms;
    duration avoid_longest = 4s;
    /// Part of the slots that may be taken before others are preferred to wait
    /// for.
    double slots_used = 0.95;
    spread_options spread;
};

/// What an entry knows of an upstream.
struct upstream_view
{
    site::upstream value;
    std::uint64_t id_hash = 0;
    /// When this entry first heard of it.
    time_point known_since;
    /// Requests of this entry there, by what they still wait for.
    std::uint32_t own_running = 0;
    /// Prompt tokens of own requests that have not begun to answer.
    std::uint64_t own_unread_tokens = 0;
    prompt_cache cache;
    /// The newest report of its load, with own requests at that moment.
    std::optional<answer_facts::load> reported;
    std::uint32_t own_at_report = 0;
    time_point reported_at;
    /// How much later than predicted its first tokens came, in ms: what other
    /// entries sent there, or an instance that is slow. Fades by
    /// `lateness_memory`.
    double lateness_ms = 0;
    time_point lateness_at;
    /// Fades by `failure_memory`.
    double failures = 0;
    time_point failures_at;
    std::uint32_t unreachable_in_a_row = 0;
    time_point avoid_until;
    /// No node has heard from it lately.
    bool is_silent = false;
};

/// What placing must know of a request.
struct placement_request
{
    const std::vector<prompt_part>* parts = nullptr;
    std::uint64_t prompt_tokens = 0;
    /// Upstreams that this request was sent to before.
    const std::set<upstream_id>* tried = nullptr;
    /// How often parts are asked for; null: nothing is known of it.
    const part_rates* rates = nullptr;
    /// Entries that send to the same upstreams.
    std::uint32_t entries = 1;
};

struct placement_choice
{
    upstream_view* upstream = nullptr;
    /// Prompt tokens that it will have to read.
    std::uint64_t unread_tokens = 0;
    /// Predicted time to the first token, in ms.
    double predicted_ms = 0;
    /// Why there is none: some upstreams are ready, but all are full.
    bool all_full = false;
};

/// Chooses among `upstreams`, which are those of the service and version.
placement_choice choose(
    const placement_options& options,
    const std::vector<upstream_view*>& upstreams,
    const placement_request& request,
    const failure_domain& here,
    time_point now);

/// Requests that run or wait at the upstream, of all entries, as far as is
/// known.
std::uint32_t running_at(
    const placement_options& options,
    const upstream_view& view,
    time_point now);

/// Notes a failure that speaks against the upstream.
void note_failure(
    const placement_options& options, upstream_view& view, time_point now);

/// Notes that a first token came, or has still not come, `late_ms` later than
/// predicted; `is_final` if it came.
void note_lateness(
    const placement_options& options,
    upstream_view& view,
    double late_ms,
    bool is_final,
    time_point now);

/// Notes that it could not be reached.
void note_unreachable(
    const placement_options& options, upstream_view& view, time_point now);

/// Notes an answer.
void note_answer(
    upstream_view& view,
    const std::optional<answer_facts::load>& load,
    time_point now);

} // namespace bergamotusher::gateway
