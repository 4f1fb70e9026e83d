// The format of a log segment: a sequence of records. Each has a magic number,
// its length, a checksum, and the size of the file that was synced when the
// record was written.
#pragma once

#include "consensus/encoding.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace bergamotusher::consensus
{

/// CRC-32 of `bytes`.
std::uint32_t checksum(const std::string& bytes);

/// Encodes a record; `synced_size` is the number of bytes of the segment that
/// are synced.
std::string frame_record(const std::string& payload, std::uint64_t synced_size);

/// A parsed segment.
struct segment_content
{
    std::vector<stored_record> records;
    /// Length in bytes of the intact records at the start of the segment.
    std::size_t valid_size = 0;
    /// A record that had been synced is damaged.
    bool corrupt = false;
};

/// Parses a segment up to the first bad record. That record is corruption if a
/// later record states that it had been synced; otherwise it is a torn tail, as
/// a crash leaves.
segment_content parse_segment(const std::string& bytes);

} // namespace bergamotusher::consensus
