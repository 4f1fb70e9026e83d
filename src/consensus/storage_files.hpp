// Names and whole-file operations in a data folder; used by the log storage.
#pragma once

#include "consensus/log_storage.hpp"

namespace bergamotusher::consensus
{

/// A segment found in a folder.
struct segment_name
{
    std::uint64_t number = 0;
    /// It holds the whole log: older segments no longer count.
    bool full = false;
    std::string name;
};

/// What files a folder has.
struct folder_content
{
    std::vector<segment_name> segments;
    bool has_identity = false;
    bool has_snapshot = false;
};

/// What an identity file says.
struct folder_identity
{
    std::string node;
    std::string cluster;
    std::uint64_t storage_id = 0;
};

std::string segment_file_name(std::uint64_t number, bool full);
failure io_failure(int error, const std::string& what);
folder_content list_folder(const storage_options& options, int& error);

/// Replaces a file: writes another, syncs it, renames it, syncs the folder.
int replace_file(
    const storage_options& options,
    const std::string& name,
    const std::string& bytes);

std::string encode_identity(const folder_identity& identity);
std::optional<folder_identity> decode_identity(const std::string& bytes);
std::string seal(const std::string& payload);
/// The payload of a sealed file; nothing if its checksum does not fit.
std::optional<std::string> unseal(const std::string& bytes);

/// Reads the identity, or writes one into an empty folder.
std::optional<failure> check_identity(
    const storage_options& options,
    const folder_content& content,
    std::uint64_t& storage_id);

} // namespace bergamotusher::consensus
