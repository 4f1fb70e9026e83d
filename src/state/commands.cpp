#include "state/commands.hpp"

#include "state/convert.hpp"

namespace bergamotusher::state
{

namespace
{

template<class Message>
std::optional<Message> parse_message(std::string_view encoded)
{
    Message message;
    if (!message.ParseFromArray(
            encoded.data(), static_cast<int>(encoded.size())))
        return std::nullopt;
    return message;
}

void write_body(wire::put_entry_command& to, const work_class& value)
{
    write(*to.mutable_work_class(), value);
}

void write_body(wire::put_entry_command& to, const service& value)
{
    write(*to.mutable_service(), value);
}

void write_body(wire::put_entry_command& to, const account& value)
{
    write(*to.mutable_account(), value);
}

void write_body(wire::command& to, const put_entry& from)
{
    auto* body = to.mutable_put_entry();
    body->set_expected_revision(from.expected_revision);
    body->set_operator_key(from.operator_key);
    std::visit(
        [&](const auto& value) { write_body(*body, value); }, from.value);
}

void write_body(wire::command& to, const begin_request& from)
{
    write(*to.mutable_begin()->mutable_record(), from.record);
}

template<class Body, class Request>
void write_attempt(Body* to, const Request& from)
{
    to->set_account(from.key.account.value);
    to->set_key(from.key.key);
    to->set_owner(from.owner.value);
    to->set_owner_incarnation(from.owner_incarnation);
    to->set_attempt(from.attempt.value);
}

void write_body(wire::command& to, const finish_request& from)
{
    write_attempt(to.mutable_finish(), from);
    write(*to.mutable_finish()->mutable_answer(), from.answer);
}

void write_body(wire::command& to, const release_request& from)
{
    write_attempt(to.mutable_release(), from);
}

void write_body(wire::command& to, const mark_owner_lost& from)
{
    to.mutable_owner_lost()->set_owner(from.owner.value);
    to.mutable_owner_lost()->set_incarnation(from.incarnation);
}

void write_body(wire::command& to, const start_move& from)
{
    auto* body = to.mutable_start_move();
    body->set_service(from.service.value);
    body->set_from(from.from.value);
    body->set_to(from.to.value);
    body->set_deadline_ms(from.deadline.milliseconds);
    body->set_within_ms(from.within_ms);
    body->set_operator_key(from.operator_key);
}

void write_body(wire::command& to, const advance_move& from)
{
    write(*to.mutable_advance_move()->mutable_move(), from.move);
}

void write_body(wire::command& to, const quarantine_fingerprint& from)
{
    to.mutable_quarantine()->set_fingerprint(from.fingerprint);
}

} // namespace

std::string encode(const command& value, wall_time now)
{
    wire::command message;
    message.set_wall_ms(now.milliseconds);
    std::visit([&](const auto& body) { write_body(message, body); }, value);
    return message.SerializeAsString();
}

std::string
encode_batch(const std::vector<std::string>& commands, wall_time now)
{
    wire::command message;
    message.set_wall_ms(now.milliseconds);
    auto* batch = message.mutable_batch();
    for (const std::string& each : commands)
        batch->add_commands(each);
    return message.SerializeAsString();
}

std::optional<command_outcome> parse_result(std::string_view encoded)
{
    const auto message = parse_message<wire::command_result>(encoded);
    if (!message)
        return std::nullopt;
    return read(*message);
}

std::string encode(const configuration& value)
{
    wire::configuration_value message;
    write(message, value);
    return message.SerializeAsString();
}

std::optional<configuration> parse_configuration(std::string_view encoded)
{
    const auto message = parse_message<wire::configuration_value>(encoded);
    if (!message)
        return std::nullopt;
    return read(*message);
}

} // namespace bergamotusher::state
