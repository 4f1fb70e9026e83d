// Events on disk: JSON lines in `events.jsonl`, older ones in `events.1.jsonl`
// and so on, a bounded number of bounded files.
#pragma once

#include <bergamotusher/event.hpp>

#include <cstdint>
#include <filesystem>
#include <fstream>
#include <vector>

namespace bergamotusher::observe
{

/// Where events are written, and how much of them is kept.
struct event_file_options
{
    /// Made if it is not there.
    std::filesystem::path folder;
    /// A file of this size in bytes is closed and the next one begun.
    std::uint64_t file_limit = std::uint64_t{16} << 20;
    /// Files that are kept, the open one included.
    unsigned files_kept = 4;
};

/// The open file of one process.
struct event_files
{
    event_file_options options;
    std::ofstream open;
    std::uint64_t written = 0;
    /// Events that could not be written.
    std::uint64_t failed = 0;
};

/// Opens the newest file of `options.folder` for appending.
event_files open_event_files(event_file_options options);

/// Writes one event; a failure is counted, never thrown.
void write_event(event_files& files, const event& value);

/// Hands what was written to the operating system.
void flush(event_files& files);

/// The events in the two newest files, oldest first, at most the last `limit`.
/// Lines that cannot be read, such as a last one cut short, are left out.
std::vector<event>
read_newest_events(const std::filesystem::path& folder, std::size_t limit);

} // namespace bergamotusher::observe
