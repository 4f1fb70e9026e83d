// A message to or from another of the system's own processes, as the duties
// hand it to each other.
#pragma once

#include "wire/envelope.pb.h"

#include <bergamotusher/ids.hpp>

#include <string>

namespace bergamotusher
{

/// One message; `peer` is its sender or its receiver.
struct peer_message
{
    node_id peer;
    wire::message_kind kind = wire::unspecified;
    /// Encoded as `kind` says.
    std::string body;
};

} // namespace bergamotusher
