// Selects the upstream of a request: the one with the earliest predicted first
// token (or answer), where distance and recent failures are added as time.
#pragma once

#include "admission/slot_share.hpp"
#include "gateway/cache_prediction.hpp"
#include "gateway/dialect.hpp"
#include "routing/domain_exchange.hpp"
#include "routing/prefill_speed.hpp"
#include "routing/upstream_pace.hpp"
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

/// Parameters of the cost model.
struct placement_options
{
    /// How fast engines process prompts while they also generate tokens for
    /// other requests.
    routing::prefill_speed_options prefill_speed;
    /// Time in ms that each running request adds to the first token of another
    /// one.
    double running_cost_ms = 2;
    /// Time constant of the decay of `lateness_ms`.
    duration lateness_decay_time = 1500ms;
    /// What another failure domain costs, and how much may be sent there:
    /// traffic to it is billed and takes longer.
    routing::transfer_terms transfer;
    routing::exchange_options exchange;
    /// Added in ms for each recent failure of the upstream.
    double failure_cost_ms = 400;
    /// Time constant of the decay of the failure count.
    duration failure_decay_time = 4s;
    /// A load report is used for this long.
    duration load_report_max_age = 2s;
    /// An upstream that could not be reached is avoided for this long; the time
    /// doubles with each further failure, up to `avoid_time_max`.
    duration avoid_time_initial = 300ms;
    /// An upstream whose address answers for another one is avoided for this
    /// long: it has ended, and the directory will tell.
    duration avoid_time_replaced = 30s;
    duration avoid_time_max = 4s;
    /// Fraction of its slots at which an upstream counts as full.
    double slot_utilization_max = 0.95;
    /// Part of a route's target that may pass at an upstream before the answer,
    /// as predicted; with more the upstream counts as full.
    double target_part_at_upstream = 0.6;
    /// After this many losses in a row an upstream is avoided as one that could
    /// not be reached.
    std::uint32_t losses_in_row_max = 2;
    routing::upstream_pace_options pace;
    cache_prediction_options cache_prediction;
};

/// An entry's record of an upstream.
struct upstream_view
{
    site::upstream value;
    std::uint64_t id_hash = 0;
    /// When this entry first learned of this incarnation.
    time_point known_since;
    /// Requests of this entry that run at the upstream.
    std::uint32_t own_running = 0;
    /// Uncached prompt tokens of this entry's requests whose answer has not
    /// begun.
    std::uint64_t own_uncached_tokens = 0;
    prompt_cache cache;
    /// The last reported load, with the number of this entry's requests at that
    /// moment.
    std::optional<answer_metadata::load> reported_load;
    std::uint32_t own_running_at_report = 0;
    time_point load_reported_at;
    time_point answered_at;
    /// How much later than predicted, in ms, its first tokens came, caused by
    /// requests of other entries or by a slow instance. Decays with
    /// `lateness_decay_time`.
    double lateness_ms = 0;
    time_point lateness_updated_at;
    /// Decays with `failure_decay_time`.
    double failures = 0;
    time_point failures_updated_at;
    /// Answers that told of a failure, and all answers; both decay with
    /// `failure_decay_time`.
    double told_failures = 0;
    double answers = 0;
    time_point answers_updated_at;
    routing::upstream_pace pace;
    /// Requests in a row whose connection was lost before an answer, each sent
    /// after the loss of the one before.
    std::uint32_t losses_in_row = 0;
    time_point lost_at;
    std::uint32_t consecutive_connect_failures = 0;
    time_point avoid_until;
    /// The leader reports that no control node has heard from it lately.
    bool is_silent = false;
    /// Requests a second that it takes from all entries together, if it names a
    /// limit, and what this entry used of its part.
    std::optional<double> limit;
    admission::slot_use limit_use;
    bool has_logged_unreadable_limit = false;
    /// Until then it warms up and takes `warm_up_rate` requests a second from
    /// all entries together; a rate of 0 means that its service sets none.
    time_point warm_until;
    double warm_up_rate = 0;
    /// Upstreams of its service that get requests, including this one.
    std::uint32_t service_upstreams = 1;
    admission::slot_use warm_up_use;
};

/// What decides on an entry's part of the limits that upstreams name.
struct limit_terms
{
    admission::slot_options options;
    admission::slot_options warm_up;
    admission::entry_seat seat;
    duration true_time{};
    time_point now;
};

/// How entries share what an upstream takes while it warms up. A bound on each
/// second is a stricter one than the mean rate over seconds: slots are short,
/// and little of what one leaves unused may be sent later.
inline constexpr admission::slot_options warm_up_sharing{
    .length = 200ms, .spare_requests = 2, .max_later_slots = 2};

/// The rate that bounds what an upstream takes from all entries together, of
/// which this entry has a part.
struct bounded_rate
{
    double requests_per_s = 0;
    admission::entry_seat seat;
    const admission::slot_options* options = nullptr;
    const admission::slot_use* use = nullptr;
};

/// The bound in force: that of the warm-up, else the limit that the upstream
/// names; nothing if it has neither.
std::optional<bounded_rate>
rate_bound(const upstream_view& view, const limit_terms& terms);

/// Whether the entry may send a request to the upstream now, by the limit that
/// the upstream names.
bool is_within_limit(const upstream_view& view, const limit_terms& terms);

/// Counts a request that is sent to the upstream.
void record_limit_use(upstream_view& view, const limit_terms& terms);

/// Time until the entry may send its request number `ahead`, counted from 0, to
/// one of `upstreams` that names a limit; nothing if none can be used. Leaves
/// out those of `tried`.
std::optional<duration> time_to_limited_request(
    const std::vector<upstream_view*>& upstreams,
    const std::set<upstream_id>& tried,
    std::uint32_t ahead,
    const limit_terms& terms,
    time_point now);

/// Properties of a request that affect its placement.
struct placement_request
{
    const std::vector<prompt_part>* parts = nullptr;
    std::uint64_t prompt_tokens = 0;
    /// Time within which callers want the answer; 0 if unknown.
    duration target_latency{};
    /// Upstreams to which this request was already sent.
    const std::set<upstream_id>* tried = nullptr;
    /// Request rates of prompt parts; null if unknown.
    const part_request_rates* rates = nullptr;
    /// Number of entries that send to the same upstreams.
    std::uint32_t entries = 1;
    /// What was learned of the service's engines.
    routing::prefill_speed speed;
    limit_terms limits;
    /// The service's shares for other failure domains; null if unknown.
    const routing::exchange_state* exchange = nullptr;
};

struct placement_choice
{
    upstream_view* upstream = nullptr;
    /// Prompt tokens that the upstream is expected to process, not found in its
    /// cache.
    std::uint64_t uncached_tokens = 0;
    /// Predicted time to the first token, in ms, and the part of it that the
    /// requests running at the upstream cause.
    double predicted_ms = 0;
    double running_ms = 0;
    /// Estimated number of requests at the upstream.
    std::uint32_t running = 0;
    /// Some upstreams are ready, but all of them are full.
    bool all_full = false;
    /// None was chosen, and some would have been but for the limits that they
    /// name.
    bool is_limited = false;
};

/// Time in ms that an upstream in `domain` costs for not being in `own`.
double domain_cost_ms(
    const placement_options& options,
    const placement_request& request,
    const failure_domain& domain,
    const failure_domain& own);

/// Selects one of `upstreams`, which are those of the request's service and
/// version.
placement_choice select_upstream(
    const placement_options& options,
    const std::vector<upstream_view*>& upstreams,
    const placement_request& request,
    const failure_domain& own_domain,
    time_point now);

/// Estimated number of requests of all entries that run or wait at the
/// upstream.
std::uint32_t estimate_running(
    const placement_options& options,
    const upstream_view& view,
    time_point now);

/// Records an answer that is not a stream: `is_failure` if the upstream tells
/// of a failure, `ahead` as estimated when the request was sent.
void record_plain_answer(
    const placement_options& options,
    upstream_view& view,
    double latency_ms,
    std::uint32_t ahead,
    bool is_failure,
    time_point now);

/// Records that the upstream refused a request because it is full.
void record_refusal(
    const placement_options& options, upstream_view& view, time_point now);

/// Records that the connection was lost before an answer to a request that was
/// sent at `sent_at`.
void record_loss(
    const placement_options& options,
    upstream_view& view,
    time_point sent_at,
    time_point now);

/// Records a failure that counts against the upstream.
void record_failure(
    const placement_options& options, upstream_view& view, time_point now);

/// Records that a first token came `late_ms` later than predicted (`is_final`),
/// or has not come although it is already that late.
void record_lateness(
    const placement_options& options,
    upstream_view& view,
    double late_ms,
    bool is_final,
    time_point now);

/// Records that no connection to the upstream could be made.
void record_unreachable(
    const placement_options& options, upstream_view& view, time_point now);

/// Records that another upstream answered at the address of this one.
void record_replaced(
    const placement_options& options, upstream_view& view, time_point now);

/// Records an answer and the load that it reports.
void record_answer(
    const placement_options& options,
    upstream_view& view,
    const std::optional<answer_metadata::load>& load,
    time_point now);

} // namespace bergamotusher::gateway
