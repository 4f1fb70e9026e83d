// Stores events on disk as JSON lines in rotated files: the newest in
// `events.jsonl`, older ones in `events.1.jsonl`, `events.2.jsonl` and so on.
// The number and the size of the files are limited.
#pragma once

#include <bergamotusher/event.hpp>

#include <cstdint>
#include <filesystem>
#include <fstream>
#include <vector>

namespace bergamotusher::observe
{

/// Folder of the event files and limits on their size and number.
struct event_file_options
{
    /// Created if it does not exist.
    std::filesystem::path folder;
    /// A line that would make a file exceed this size starts a new file.
    std::uint64_t max_file_bytes = std::uint64_t{16} << 20;
    /// Number of files that are kept, including the open one.
    unsigned max_files = 4;
};

/// The event file that a process writes to.
struct event_files
{
    event_file_options options;
    std::ofstream open;
    /// Size of the open file in bytes.
    std::uint64_t written = 0;
    /// Events that could not be written.
    std::uint64_t failed = 0;
};

/// Opens `events.jsonl` in `options.folder` for appending. Does not fail: a
/// file that cannot be opened makes `write_event` count failures.
event_files open_event_files(event_file_options options);

/// Writes one event, after a rotation if the file is full. Counts a failure in
/// `failed` and does not throw; the next call opens the file again.
void write_event(event_files& files, const event& value);

/// Passes buffered events to the operating system; does not sync the disk.
void flush(event_files& files);

/// The last `limit` events of the two newest files, oldest first. Skips lines
/// that cannot be parsed, such as a last line truncated by a crash.
std::vector<event>
read_newest_events(const std::filesystem::path& folder, std::size_t limit);

} // namespace bergamotusher::observe
