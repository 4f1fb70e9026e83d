// Converts the values of a replica to and from their wire and disk formats.
#pragma once

#include "consensus/types.hpp"

#include <optional>
#include <string>

namespace bergamotusher::consensus
{

/// The body of an envelope of kind `consensus`.
std::string encode(const message& content);

/// The message in `bytes`; nothing if they cannot be read.
std::optional<message> decode_message(const std::string& bytes);

/// One record of a log segment.
struct stored_record
{
    hard_state hard;
    std::vector<entry> entries;
};

std::string encode(const stored_record& record);
std::optional<stored_record> decode_record(const std::string& bytes);

std::string encode(const snapshot& value);
std::optional<snapshot> decode_snapshot(const std::string& bytes);

} // namespace bergamotusher::consensus
