#include "consensus/log_storage.hpp"

#include "consensus/recovery.hpp"
#include "consensus/segment.hpp"
#include "consensus/storage_files.hpp"

#include <algorithm>
#include <cerrno>

namespace bergamotusher::consensus
{

namespace
{

/// Entries and bytes in one record when the whole log is rewritten, at least
/// one entry.
constexpr std::size_t entries_per_record = 256;
constexpr std::size_t bytes_per_record = std::size_t{256} * 1024;

std::string path_of(const log_storage& storage, const std::string& name)
{
    return storage.options.folder + "/" + name;
}

failure corruption(const std::string& path, const std::string& what)
{
    return {error_kind::storage_corrupt, path + ": " + what};
}

std::optional<failure> read_snapshot(
    const log_storage& storage, const folder_content& content, snapshot& base)
{
    if (!content.has_snapshot)
        return std::nullopt;
    std::string bytes;
    const std::string path = path_of(storage, "snapshot");
    const int error = storage.options.files.read(path, bytes);
    if (error != 0)
        return io_failure(error, "cannot read " + path);
    const auto payload = strip_checksum(bytes);
    auto value = payload ? decode_snapshot(*payload) : std::nullopt;
    if (!value)
        return corruption(path, "the checksum does not fit");
    base = std::move(*value);
    return std::nullopt;
}

/// The newest full segment and those after it; older ones are obsolete.
std::vector<segment_name> segments_to_read(std::vector<segment_name> all)
{
    const auto newest_full = std::find_if(
        all.rbegin(),
        all.rend(),
        [](const segment_name& segment) { return segment.is_full; });
    if (newest_full != all.rend())
        all.erase(all.begin(), newest_full.base() - 1);
    return all;
}

/// Replays `segments` into `recovered`; cuts off a torn tail of the newest one.
std::optional<failure> read_segments(
    const log_storage& storage,
    const std::vector<segment_name>& segments,
    opened_storage& opened,
    recovery& recovered)
{
    for (const segment_name& segment : segments)
    {
        std::string bytes;
        const std::string path = path_of(storage, segment.name);
        const int error = storage.options.files.read(path, bytes);
        if (error != 0)
            return io_failure(error, "cannot read " + path);
        segment_content content = parse_segment(bytes);
        const bool torn = content.valid_size < bytes.size();
        // Only the newest segment can hold unsynced writes.
        const bool newest = &segment == &segments.back();
        if (content.corrupt || (torn && !newest))
            return corruption(
                path,
                "bad record at offset " + std::to_string(content.valid_size));
        opened.truncated_bytes += bytes.size() - content.valid_size;
        for (stored_record& record : content.records)
            replay_record(recovered, std::move(record));
        if (recovered.has_gap)
            return corruption(path, "an entry is missing");
    }
    finish_recovery(recovered);
    return std::nullopt;
}

/// Source of the records of a segment that holds the hard state and all
/// entries, one record at a time.
content_source whole_log(const recovered_state& state)
{
    return [&state, next = std::size_t{0}, size = std::size_t{0}]() mutable
    {
        if (size > 0 && next == state.entries.size())
            return std::string();
        stored_record record{state.hard, {}};
        for (std::size_t bytes = 0;
             next < state.entries.size() &&
             record.entries.size() < entries_per_record &&
             bytes < bytes_per_record;
             ++next)
        {
            record.entries.push_back(state.entries[next]);
            bytes += size_of(record.entries.back());
        }
        std::string framed = frame_record(encode(record), size);
        size += framed.size();
        return framed;
    };
}

content_source only_hard_state(const log_storage& storage)
{
    return single_part(
        frame_record(encode(stored_record{storage.hard, {}}), 0));
}

/// Closes the active segment and starts another that holds `content`, which is
/// synced. With `full`, it replaces all older segments. Returns 0 or an
/// `errno`.
int start_segment(
    log_storage& storage, const content_source& content, bool full)
{
    const file_functions& files = storage.options.files;
    if (storage.file >= 0)
    {
        storage.old_segments.push_back({storage.path, storage.max_index});
        files.close(storage.file);
        storage.file = -1;
    }
    ++storage.segment_number;
    const std::string name = segment_file_name(storage.segment_number, full);
    storage.path = path_of(storage, name);
    std::uint64_t size = 0;
    const int error = replace_file(
        storage.options,
        name,
        [&]
        {
            std::string part = content();
            size += part.size();
            return part;
        });
    if (error != 0)
        return error;
    storage.file = files.open(storage.path, false);
    storage.size = size;
    storage.synced_size = size;
    storage.max_index = 0;
    return storage.file < 0 ? -storage.file : 0;
}

/// Removes old segments, oldest first; stops at the first that holds an entry
/// above `index`.
void remove_segments(log_storage& storage, log_index index)
{
    auto& old = storage.old_segments;
    while (!old.empty() && old.front().max_index <= index)
    {
        storage.options.files.remove(old.front().path);
        old.erase(old.begin());
    }
}

/// Appends a record without a sync. Returns 0 or an `errno`.
int append_record(log_storage& storage, const persist& write)
{
    storage.hard = write.hard;
    const std::string bytes = frame_record(
        encode(stored_record{write.hard, write.entries}), storage.synced_size);
    if (!write.entries.empty())
        storage.max_index =
            std::max(storage.max_index, write.entries.back().index);
    storage.size += bytes.size();
    storage.written_bytes += bytes.size();
    return storage.options.files.write(storage.file, bytes);
}

/// Syncs the active segment if it has unsynced bytes. Returns 0 or an `errno`.
int sync_segment(log_storage& storage)
{
    if (storage.synced_size == storage.size)
        return 0;
    const int error = storage.options.files.sync(storage.file);
    ++storage.syncs;
    if (error == 0)
        storage.synced_size = storage.size;
    return error;
}

/// Replaces the stored snapshot, starts a segment and removes those that the
/// snapshot covers. Returns 0 or an `errno`.
int store_snapshot(log_storage& storage, const persist_snapshot& write)
{
    const std::string bytes = add_checksum(encode(*write.value));
    storage.written_bytes += bytes.size();
    int error = sync_segment(storage);
    if (error == 0)
        error = replace_file(storage.options, "snapshot", bytes);
    if (error != 0)
        return error;
    error = start_segment(storage, only_hard_state(storage), write.reset);
    if (error != 0)
        return error;
    const log_index end = write.reset ? ~log_index{0} : write.value->index;
    remove_segments(storage, end);
    return 0;
}

int store_write(log_storage& storage, const storage_write& write)
{
    if (const auto* value = std::get_if<persist_snapshot>(&write))
        return store_snapshot(storage, *value);
    return append_record(storage, std::get<persist>(write));
}

/// Rewrites the whole log into a new segment and removes the old ones: pages
/// whose sync had failed may read back correctly and still be lost.
std::optional<failure> rewrite_log(
    log_storage& storage,
    const folder_content& content,
    const recovered_state& state)
{
    if (!content.segments.empty())
        storage.segment_number = content.segments.back().number;
    const int error = start_segment(storage, whole_log(state), true);
    if (error != 0)
        return io_failure(error, "cannot write the log");
    storage.hard = state.hard;
    storage.max_index = state.base.index + state.entries.size();
    for (const segment_name& segment : content.segments)
        storage.options.files.remove(path_of(storage, segment.name));
    return std::nullopt;
}

/// Checks the identity, recovers the state and rewrites the log.
std::optional<failure> read_folder(opened_storage& opened)
{
    log_storage& storage = opened.storage;
    int error = 0;
    const folder_content content = list_folder(storage.options, error);
    if (error != 0)
        return io_failure(error, "cannot list " + storage.options.folder);
    if (auto bad = check_identity(storage.options, content, storage.storage_id))
        return bad;
    recovery recovered;
    if (auto bad = read_snapshot(storage, content, recovered.state.base))
        return bad;
    if (auto bad = read_segments(
            storage, segments_to_read(content.segments), opened, recovered))
        return bad;
    opened.state = std::move(recovered.state);
    return rewrite_log(storage, content, opened.state);
}

} // namespace

std::variant<opened_storage, failure> open_storage(storage_options options)
{
    opened_storage opened;
    opened.storage.options = std::move(options);
    log_storage& storage = opened.storage;
    const file_functions& files = storage.options.files;
    const int error = files.make_folder(storage.options.folder);
    if (error != 0)
        return io_failure(error, "cannot make " + storage.options.folder);
    storage.lock = files.lock(path_of(storage, "lock"));
    if (storage.lock == -EWOULDBLOCK)
        return failure{
            error_kind::wrong_data_folder,
            storage.options.folder + " is in use by another process"};
    if (storage.lock < 0)
        return io_failure(-storage.lock, "cannot lock the data folder");
    if (auto bad = read_folder(opened))
    {
        close_storage(storage);
        return *bad;
    }
    return opened;
}

std::optional<failure>
store(log_storage& storage, const std::vector<storage_write>& writes)
{
    if (storage.broken)
        return storage.broken;
    int error = 0;
    for (const storage_write& write : writes)
        if (error == 0)
            error = store_write(storage, write);
    if (error == 0)
        error = sync_segment(storage);
    if (error == 0 && storage.size > storage.options.segment_bytes)
        error = start_segment(storage, only_hard_state(storage), false);
    if (error != 0)
        storage.broken = io_failure(error, "cannot store in " + storage.path);
    return storage.broken;
}

void close_storage(log_storage& storage)
{
    for (int* file : {&storage.file, &storage.lock})
    {
        if (*file >= 0)
            storage.options.files.close(*file);
        *file = -1;
    }
}

std::optional<failure> rename_damaged_files(const storage_options& options)
{
    int error = 0;
    const folder_content content = list_folder(options, error);
    std::vector<std::string> names;
    if (content.has_identity)
        names.emplace_back("identity");
    if (content.has_snapshot)
        names.emplace_back("snapshot");
    for (const segment_name& segment : content.segments)
        names.push_back(segment.name);
    for (const std::string& name : names)
        if (error == 0)
            error = options.files.rename(
                options.folder + "/" + name,
                options.folder + "/" + name + ".damaged");
    if (error == 0)
        error = options.files.sync_folder(options.folder);
    if (error != 0)
        return io_failure(error, "cannot set the damaged files aside");
    return std::nullopt;
}

} // namespace bergamotusher::consensus
