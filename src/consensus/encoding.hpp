// Converts consensus messages, log records and snapshots to and from protobuf,
// for the network and for the disk.
#pragma once

#include "consensus/types.hpp"

#include <optional>
#include <string>

namespace bergamotusher::consensus
{

/// Serializes `content` as the body of an envelope of kind `consensus`.
std::string encode(const message& content);

/// Parses a message; nothing if `bytes` are malformed or hold no known message.
std::optional<message> decode_message(const std::string& bytes);

/// One record of a log segment: the hard state and the entries of one write.
struct stored_record
{
    hard_state hard;
    std::vector<entry> entries;
};

std::string encode(const stored_record& record);
/// Parses a log record; nothing if `bytes` are malformed.
std::optional<stored_record> decode_record(const std::string& bytes);

std::string encode(const snapshot& value);
/// Parses a stored snapshot; nothing if `bytes` are malformed.
std::optional<snapshot> decode_snapshot(const std::string& bytes);

} // namespace bergamotusher::consensus
