// Conversions between the plain structs of the replicated state and protobuf.
#pragma once

#include "state/commands.hpp"
#include "wire/command.pb.h"

namespace bergamotusher::state
{

void write(wire::work_class_value& to, const work_class& from);
void write(wire::service_value& to, const service& from);
void write(wire::account_value& to, const account& from);
void write(wire::configuration_value& to, const configuration& from);
void write(wire::stored_answer_value& to, const stored_answer& from);
void write(wire::journal_record_value& to, const journal_record& from);
void write(wire::version_move_value& to, const version_move& from);
void write(wire::command_result& to, const command_outcome& from);

work_class read(const wire::work_class_value& from);
service read(const wire::service_value& from);
account read(const wire::account_value& from);
configuration read(const wire::configuration_value& from);
stored_answer read(const wire::stored_answer_value& from);
journal_record read(const wire::journal_record_value& from);
version_move read(const wire::version_move_value& from);
command_outcome read(const wire::command_result& from);

} // namespace bergamotusher::state
