// Stores the files of one replica in its data folder: identity, log segments
// and the newest snapshot.
//
// A record counts as stored only after a successful sync. After the first write
// or sync that fails, the storage stays broken: the operating system may have
// dropped the unsynced pages, so that a later sync succeeds without writing
// them. Opening the folder again reads what is there and rewrites all of it, so
// that the log does not depend on pages whose sync failed.
#pragma once

#include "consensus/file_functions.hpp"
#include "consensus/replica.hpp"

#include <bergamotusher/error_kind.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bergamotusher::consensus
{

/// Location and owner of a data folder.
struct storage_options
{
    std::string folder;
    node_id node;
    std::string cluster = "bergamotusher";
    /// Random id to give to a new folder; not 0.
    std::uint64_t new_storage_id = 1;
    /// Size in bytes above which a new segment is started.
    std::size_t segment_bytes = std::size_t{4} * 1024 * 1024;
    file_functions files = system_files();
};

/// A closed segment and the highest index of its entries.
struct old_segment
{
    std::string path;
    log_index max_index = 0;
};

/// An open data folder. Close it with `close_storage`. `path`, `file`, `size`,
/// `synced_size` and `max_index` describe the active segment.
struct log_storage
{
    storage_options options;
    std::uint64_t storage_id = 0;
    std::vector<old_segment> old_segments;
    std::uint64_t segment_number = 0;
    std::string path;
    int file = -1;
    int lock = -1;
    std::uint64_t size = 0;
    std::uint64_t synced_size = 0;
    log_index max_index = 0;
    hard_state hard;
    std::uint64_t syncs = 0;
    std::uint64_t written_bytes = 0;
    std::optional<failure> broken;
};

/// An opened storage and the state recovered from it.
struct opened_storage
{
    log_storage storage;
    recovered_state state;
    /// Bytes of a torn tail that were discarded.
    std::size_t truncated_bytes = 0;
};

/// One write of a batch.
using storage_write = std::variant<persist, persist_snapshot>;

/// Opens the data folder and creates it if needed. Errors: `wrong_data_folder`
/// if it belongs to another node or cluster or is in use; `storage_corrupt` if
/// a synced file or record is damaged or missing; `storage_full`;
/// `storage_failed`.
std::variant<opened_storage, failure> open_storage(storage_options options);

/// Writes a batch, then syncs once. If it fails, nothing of the batch may be
/// acknowledged, and every later call returns the same failure.
std::optional<failure>
store(log_storage& storage, const std::vector<storage_write>& writes);

void close_storage(log_storage& storage);

/// Appends ".damaged" to the names of the files of a damaged folder, so that
/// the replica can start empty and rejoin from a snapshot.
std::optional<failure> rename_damaged_files(const storage_options& options);

} // namespace bergamotusher::consensus
