// The format of a log segment: records, each with a magic number, its length,
// a checksum, and how much of the file was synced when it was written.
#pragma once

#include "consensus/encoding.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace bergamotusher::consensus
{

/// CRC-32 of `bytes`.
std::uint32_t checksum(const std::string& bytes);

/// The bytes of a record; `synced_size` is the length of the segment that is
/// known to be on the disk.
std::string frame_record(const std::string& payload, std::uint64_t synced_size);

/// What a segment holds.
struct segment_content
{
    std::vector<stored_record> records;
    /// Length of the part that can be read; the rest is a torn tail.
    std::size_t valid_size = 0;
    /// A record that was synced cannot be read.
    bool corrupt = false;
};

/// Reads a segment. A bad record is a torn tail if no later record says that
/// it had been synced, and damage otherwise.
segment_content parse_segment(const std::string& bytes);

} // namespace bergamotusher::consensus
