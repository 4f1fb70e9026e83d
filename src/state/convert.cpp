#include "state/convert.hpp"

namespace bergamotusher::state
{

namespace
{

duration from_microseconds(std::int64_t value)
{
    return duration{value};
}

template<class E>
std::string enum_text(E value)
{
    return std::string(to_name(value));
}

/// The enumerator of this name; the one with value 0 if the name is unknown.
template<class E>
E parse_enum(const std::string& name)
{
    return from_name<E>(name).value_or(E{});
}

template<class Ids, class Field>
void write_ids(Field* to, const Ids& from)
{
    for (const auto& id : from)
        to->Add(std::string(id.value));
}

template<class Field>
std::vector<upstream_id> read_ids(const Field& from)
{
    std::vector<upstream_id> ids;
    for (const auto& id : from)
        ids.push_back({id});
    return ids;
}

} // namespace

void write(wire::work_class_value& to, const work_class& from)
{
    to.set_name(from.name.value);
    to.set_first_token_us(from.first_token.count());
    to.set_token_gap_us(from.token_gap.count());
    to.set_deadline_us(from.deadline.count());
    to.set_cost_per_1k_tokens(from.cost_per_1k_tokens);
    to.set_priority(from.priority);
}

work_class read(const wire::work_class_value& from)
{
    work_class to;
    to.name.value = from.name();
    to.first_token = from_microseconds(from.first_token_us());
    to.token_gap = from_microseconds(from.token_gap_us());
    to.deadline = from_microseconds(from.deadline_us());
    to.cost_per_1k_tokens = from.cost_per_1k_tokens();
    to.priority = from.priority();
    return to;
}

void write(wire::service_value& to, const service& from)
{
    to.set_name(from.name.value);
    to.set_kind(enum_text(from.kind));
    to.set_default_class(from.default_class.value);
    to.set_repeatable(from.repeatable);
    for (const route& each : from.routes)
    {
        auto* added = to.add_routes();
        added->set_path_prefix(each.path_prefix);
        added->set_repeatable(each.repeatable);
    }
    to.set_deduplicates(from.deduplicates);
    to.set_retry_percent(from.retry_percent);
    to.set_trial_share(from.trial_share);
}

service read(const wire::service_value& from)
{
    service to;
    to.name.value = from.name();
    to.kind = parse_enum<upstream_kind>(from.kind());
    to.default_class.value = from.default_class();
    to.repeatable = from.repeatable();
    for (const auto& each : from.routes())
        to.routes.push_back({each.path_prefix(), each.repeatable()});
    to.deduplicates = from.deduplicates();
    to.retry_percent = from.retry_percent();
    to.trial_share = from.trial_share();
    return to;
}

void write(wire::account_value& to, const account& from)
{
    to.set_name(from.name.value);
    to.set_key_digest(from.key_digest);
    to.set_requests_per_second(from.requests_per_second);
    to.set_tokens_per_second(from.tokens_per_second);
    to.set_connections(from.connections);
    to.set_weight(from.weight);
}

account read(const wire::account_value& from)
{
    account to;
    to.name.value = from.name();
    to.key_digest = from.key_digest();
    to.requests_per_second = from.requests_per_second();
    to.tokens_per_second = from.tokens_per_second();
    to.connections = from.connections();
    to.weight = from.weight();
    return to;
}

namespace
{

void write(wire::version_share_value& to, const version_share& from)
{
    to.set_version(from.version.value);
    to.set_share(from.share);
    write_ids(to.mutable_only(), from.only);
    to.set_on_trial(from.on_trial);
}

version_share read(const wire::version_share_value& from)
{
    version_share to;
    to.version.value = from.version();
    to.share = from.share();
    to.only = read_ids(from.only());
    to.on_trial = from.on_trial();
    return to;
}

} // namespace

void write(wire::configuration_value& to, const configuration& from)
{
    to.set_revision(from.revision);
    for (const auto& [name, value] : from.classes)
        write(*to.add_classes(), value);
    for (const auto& [name, value] : from.services)
        write(*to.add_services(), value);
    for (const auto& [name, value] : from.accounts)
        write(*to.add_accounts(), value);
    for (const auto& [name, shares] : from.splits)
    {
        auto* split = to.add_splits();
        split->set_service(name.value);
        for (const version_share& share : shares)
            write(*split->add_shares(), share);
    }
    for (const std::string& fingerprint : from.quarantined)
        to.add_quarantined(fingerprint);
}

configuration read(const wire::configuration_value& from)
{
    configuration to;
    to.revision = from.revision();
    for (const auto& each : from.classes())
        to.classes[{each.name()}] = read(each);
    for (const auto& each : from.services())
        to.services[{each.name()}] = read(each);
    for (const auto& each : from.accounts())
        to.accounts[{each.name()}] = read(each);
    for (const auto& split : from.splits())
    {
        auto& shares = to.splits[{split.service()}];
        for (const auto& share : split.shares())
            shares.push_back(read(share));
    }
    to.quarantined.assign(from.quarantined().begin(), from.quarantined().end());
    return to;
}

void write(wire::stored_answer_value& to, const stored_answer& from)
{
    to.set_status(from.status);
    to.set_content_type(from.content_type);
    to.set_body(from.body);
    to.set_truncated(from.truncated);
}

stored_answer read(const wire::stored_answer_value& from)
{
    return {from.status(), from.content_type(), from.body(), from.truncated()};
}

void write(wire::journal_record_value& to, const journal_record& from)
{
    to.set_account(from.key.account.value);
    to.set_key(from.key.key);
    to.set_fingerprint(from.fingerprint);
    to.set_state(enum_text(from.state));
    to.set_owner(from.owner.value);
    to.set_owner_incarnation(from.owner_incarnation);
    to.set_attempt(from.attempt.value);
    to.set_target(from.target.value);
    to.set_begun_ms(from.begun.milliseconds);
    write(*to.mutable_answer(), from.answer);
}

journal_record read(const wire::journal_record_value& from)
{
    journal_record to;
    to.key = {{from.account()}, from.key()};
    to.fingerprint = from.fingerprint();
    to.state = parse_enum<journal_state>(from.state());
    to.owner.value = from.owner();
    to.owner_incarnation = from.owner_incarnation();
    to.attempt.value = from.attempt();
    to.target.value = from.target();
    to.begun.milliseconds = from.begun_ms();
    to.answer = read(from.answer());
    return to;
}

namespace
{

void write(wire::load_order_value& to, const load_order& from)
{
    to.set_upstream(from.target.value);
    to.set_version(from.version.value);
    to.set_sent_ms(from.sent.milliseconds);
    to.set_tries(from.tries);
    to.set_retry_ms(from.retry_at.milliseconds);
}

load_order read(const wire::load_order_value& from)
{
    return {
        {from.upstream()},
        {from.version()},
        {from.sent_ms()},
        from.tries(),
        {from.retry_ms()}};
}

void write(wire::test_stream_value& to, const test_stream& from)
{
    to.set_metric(enum_text(from.metric));
    to.set_route(from.route);
    to.set_band(enum_text(from.band));
    to.set_upstream(from.target.value);
    for (const double score : from.scores)
        to.add_scores(score);
    to.set_observed(from.observed);
}

test_stream read(const wire::test_stream_value& from)
{
    return {
        parse_enum<test_metric>(from.metric()),
        from.route(),
        parse_enum<load_band>(from.band()),
        {from.upstream()},
        {from.scores().begin(), from.scores().end()},
        from.observed()};
}

} // namespace

void write(wire::version_move_value& to, const version_move& from)
{
    to.set_id(from.id.value);
    to.set_service(from.service.value);
    to.set_from(from.from.value);
    to.set_to(from.to.value);
    to.set_started_ms(from.started.milliseconds);
    to.set_deadline_ms(from.deadline.milliseconds);
    to.set_sequence(from.sequence);
    to.set_phase(enum_text(from.phase));
    to.set_phase_started_ms(from.phase_started.milliseconds);
    to.set_stage(from.stage);
    to.set_share(from.share);
    to.set_trial_share(from.trial_share);
    write_ids(to.mutable_trial(), from.trial);
    write_ids(to.mutable_control(), from.control);
    write_ids(to.mutable_suspects(), from.suspects);
    to.set_base(from.base);
    to.set_control_share(from.control_share);
    for (const load_order& order : from.orders)
        write(*to.add_orders(), order);
    for (const test_stream& test : from.tests)
        write(*to.add_tests(), test);
    to.set_stage_observed(from.stage_observed);
    to.set_reason(from.reason);
    to.set_ended_ms(from.ended.milliseconds);
}

version_move read(const wire::version_move_value& from)
{
    version_move to;
    to.id.value = from.id();
    to.service.value = from.service();
    to.from.value = from.from();
    to.to.value = from.to();
    to.started.milliseconds = from.started_ms();
    to.deadline.milliseconds = from.deadline_ms();
    to.sequence = from.sequence();
    to.phase = parse_enum<move_phase>(from.phase());
    to.phase_started.milliseconds = from.phase_started_ms();
    to.stage = from.stage();
    to.share = from.share();
    to.trial_share = from.trial_share();
    to.trial = read_ids(from.trial());
    to.control = read_ids(from.control());
    to.suspects = read_ids(from.suspects());
    to.base = from.base();
    to.control_share = from.control_share();
    for (const auto& order : from.orders())
        to.orders.push_back(read(order));
    for (const auto& test : from.tests())
        to.tests.push_back(read(test));
    to.stage_observed = from.stage_observed();
    to.reason = from.reason();
    to.ended.milliseconds = from.ended_ms();
    return to;
}

void write(wire::command_result& to, const command_outcome& from)
{
    if (from.error)
    {
        to.set_error(std::string(error_answer_for(from.error->kind).name));
        to.set_detail(from.error->detail);
    }
    to.set_revision(from.revision);
    to.set_move(from.move.value);
    if (from.begin)
    {
        to.set_begin_outcome(enum_text(from.begin->outcome));
        write(*to.mutable_record(), from.begin->record);
    }
    to.set_resent(from.resent);
    for (const command_outcome& each : from.batch)
        write(*to.add_batch(), each);
}

namespace
{

error_kind parse_error_kind(const std::string& name)
{
    const int last = static_cast<int>(error_kind::internal);
    for (int value = 1; value < last; ++value)
        if (error_answer_for(static_cast<error_kind>(value)).name == name)
            return static_cast<error_kind>(value);
    return error_kind::internal;
}

} // namespace

command_outcome read(const wire::command_result& from)
{
    command_outcome to;
    if (!from.error().empty())
        to.error = failure{parse_error_kind(from.error()), from.detail()};
    to.revision = from.revision();
    to.move.value = from.move();
    if (!from.begin_outcome().empty())
        to.begin = begin_result{
            from_name<begin_outcome>(from.begin_outcome())
                .value_or(begin_outcome::unknown),
            read(from.record())};
    to.resent = from.resent();
    for (const auto& each : from.batch())
        to.batch.push_back(read(each));
    return to;
}

} // namespace bergamotusher::state
