// The files of one replica under its data folder: identity, log segments and
// the newest snapshot.
//
// A record counts as stored only after a sync that succeeded. After the first
// write or sync that fails, the storage stays broken: the operating system may
// have dropped the data although a later sync succeeds. Opening it again reads
// what is there and writes all of it anew, so that nothing rests on pages whose
// sync had failed.
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

/// Where the files are, and whose.
struct storage_options
{
    std::string folder;
    node_id node;
    std::string cluster = "bergamotusher";
    /// Names the folder if it is new; drawn by the caller, never 0.
    std::uint64_t new_storage_id = 1;
    /// A segment that has grown to so many bytes is followed by a new one.
    std::size_t segment_bytes = std::size_t{4} * 1024 * 1024;
    file_functions files = system_files();
};

/// One segment that is not written to any more.
struct old_segment
{
    std::string path;
    log_index max_index = 0;
};

/// An open data folder. Close it with `close_storage`.
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

/// The storage, and what it holds.
struct opened_storage
{
    log_storage storage;
    recovered_state state;
    /// Bytes of a torn tail that were cut off.
    std::size_t cut_bytes = 0;
};

/// One thing to store.
using storage_write = std::variant<persist, persist_snapshot>;

/// Opens the folder, or makes it. Errors: `wrong_data_folder` for another
/// node's, another cluster's or one in use; `storage_corrupt` for a record that
/// was synced and is damaged or missing; `storage_full`; `storage_failed`.
std::variant<opened_storage, failure> open_storage(storage_options options);

/// Writes all of `writes`, then syncs once. If it fails, nothing of the batch
/// may be acknowledged, and each later call fails too.
std::optional<failure>
store(log_storage& storage, const std::vector<storage_write>& writes);

void close_storage(log_storage& storage);

/// Renames the files of a damaged folder, so that the replica can start empty
/// and rejoin from a snapshot.
std::optional<failure> set_aside(const storage_options& options);

} // namespace bergamotusher::consensus
