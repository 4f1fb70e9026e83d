// File names, identity and whole-file operations of a data folder; used by the
// log storage.
#pragma once

#include "consensus/log_storage.hpp"

namespace bergamotusher::consensus
{

/// The file name of a segment and what it states.
struct segment_name
{
    std::uint64_t number = 0;
    /// It replaces all older segments.
    bool is_full = false;
    std::string name;
};

/// The files found in a data folder; segments are sorted by number.
struct folder_content
{
    std::vector<segment_name> segments;
    bool has_identity = false;
    bool has_snapshot = false;
};

/// The content of the identity file.
struct folder_identity
{
    std::string node;
    std::string cluster;
    std::uint64_t storage_id = 0;
};

std::string segment_file_name(std::uint64_t number, bool full);
/// `storage_full` or `storage_failed`, by the `errno` value `error`; `what`
/// says what failed.
failure io_failure(int error, const std::string& what);
folder_content list_folder(const storage_options& options, int& error);

/// Returns the next part of a file's content; empty at its end.
using content_source = std::function<std::string()>;
content_source single_part(std::string bytes);

/// Replaces a file atomically: writes a temporary file, syncs it, renames it
/// and syncs the folder. Returns 0 or an `errno`.
int replace_file(
    const storage_options& options,
    const std::string& name,
    const content_source& next_part);
int replace_file(
    const storage_options& options,
    const std::string& name,
    const std::string& bytes);

std::string encode_identity(const folder_identity& identity);
std::optional<folder_identity> decode_identity(const std::string& bytes);
/// Prepends the checksum of `payload`, as eight hexadecimal digits.
std::string add_checksum(const std::string& payload);
/// The payload without the checksum; nothing if the checksum does not match.
std::optional<std::string> strip_checksum(const std::string& bytes);

/// Checks that the folder belongs to this node and cluster and reads its
/// storage id; writes a new identity if the folder is empty.
std::optional<failure> check_identity(
    const storage_options& options,
    const folder_content& content,
    std::uint64_t& storage_id);

} // namespace bergamotusher::consensus
