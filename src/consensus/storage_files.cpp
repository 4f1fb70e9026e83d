#include "consensus/storage_files.hpp"

#include "consensus/segment.hpp"
#include "wire/consensus.pb.h"

#include <algorithm>
#include <cerrno>
#include <cinttypes>
#include <cstdio>
#include <cstring>
#include <utility>

namespace bergamotusher::consensus
{

namespace
{

constexpr std::size_t crc_digits = 8;

std::string hex_checksum(const std::string& bytes)
{
    char text[crc_digits + 1];
    std::snprintf(text, sizeof(text), "%08" PRIx32, checksum(bytes));
    return text;
}

std::optional<segment_name> parse_segment_name(const std::string& name)
{
    segment_name parsed;
    parsed.name = name;
    char end = 0;
    if (std::sscanf(
            name.c_str(), "full-%16" SCNx64 ".se%c", &parsed.number, &end) ==
            2 &&
        name == segment_file_name(parsed.number, true))
    {
        parsed.is_full = true;
        return parsed;
    }
    if (std::sscanf(
            name.c_str(), "log-%16" SCNx64 ".se%c", &parsed.number, &end) ==
            2 &&
        name == segment_file_name(parsed.number, false))
        return parsed;
    return std::nullopt;
}

/// Writes all parts to the file and syncs it. Returns 0 or an `errno`.
int write_synced(
    const file_functions& files,
    const std::string& path,
    const content_source& next_part)
{
    const int file = files.open(path, true);
    if (file < 0)
        return -file;
    int error = 0;
    for (std::string part = next_part(); error == 0 && !part.empty();
         part = next_part())
        error = files.write(file, part);
    if (error == 0)
        error = files.sync(file);
    const int close_error = files.close(file);
    return error != 0 ? error : close_error;
}

std::optional<failure>
write_identity(const storage_options& options, std::uint64_t& storage_id)
{
    storage_id = options.new_storage_id;
    const int error = replace_file(
        options,
        "identity",
        encode_identity({options.node.value, options.cluster, storage_id}));
    if (error != 0)
        return io_failure(error, "cannot write identity");
    return std::nullopt;
}

} // namespace

std::string segment_file_name(std::uint64_t number, bool full)
{
    char text[32];
    std::snprintf(
        text,
        sizeof(text),
        "%s-%016" PRIx64 ".seg",
        full ? "full" : "log",
        number);
    return text;
}

failure io_failure(int error, const std::string& what)
{
    const bool full = error == ENOSPC || error == EDQUOT;
    return {
        full ? error_kind::storage_full : error_kind::storage_failed,
        what + ": " + std::generic_category().message(error)};
}

folder_content list_folder(const storage_options& options, int& error)
{
    folder_content content;
    std::vector<std::string> names;
    error = options.files.list(options.folder, names);
    for (const std::string& name : names)
    {
        if (auto segment = parse_segment_name(name))
            content.segments.push_back(std::move(*segment));
        content.has_identity |= name == "identity";
        content.has_snapshot |= name == "snapshot";
    }
    std::sort(
        content.segments.begin(),
        content.segments.end(),
        [](const segment_name& a, const segment_name& b)
        { return a.number < b.number; });
    return content;
}

content_source single_part(std::string bytes)
{
    return [bytes = std::move(bytes)]() mutable
    {
        return std::exchange(bytes, {});
    };
}

int replace_file(
    const storage_options& options,
    const std::string& name,
    const std::string& bytes)
{
    return replace_file(options, name, single_part(bytes));
}

int replace_file(
    const storage_options& options,
    const std::string& name,
    const content_source& next_part)
{
    const file_functions& files = options.files;
    const std::string path = options.folder + "/" + name;
    const std::string temporary_path = path + ".tmp";
    files.remove(temporary_path);
    int error = write_synced(files, temporary_path, next_part);
    if (error == 0)
        error = files.rename(temporary_path, path);
    if (error == 0)
        error = files.sync_folder(options.folder);
    return error;
}

std::string add_checksum(const std::string& payload)
{
    return hex_checksum(payload) + payload;
}

std::optional<std::string> strip_checksum(const std::string& bytes)
{
    if (bytes.size() < crc_digits)
        return std::nullopt;
    std::string payload = bytes.substr(crc_digits);
    if (bytes.compare(0, crc_digits, hex_checksum(payload)) != 0)
        return std::nullopt;
    return payload;
}

std::string encode_identity(const folder_identity& identity)
{
    wire::replica::folder_identity to;
    to.set_node_id(identity.node);
    to.set_cluster_id(identity.cluster);
    to.set_storage_id(identity.storage_id);
    return add_checksum(to.SerializeAsString());
}

std::optional<folder_identity> decode_identity(const std::string& bytes)
{
    wire::replica::folder_identity from;
    const auto payload = strip_checksum(bytes);
    if (!payload || !from.ParseFromString(*payload))
        return std::nullopt;
    return folder_identity{
        from.node_id(), from.cluster_id(), from.storage_id()};
}

std::optional<failure> check_identity(
    const storage_options& options,
    const folder_content& content,
    std::uint64_t& storage_id)
{
    if (!content.has_identity)
    {
        if (content.has_snapshot || !content.segments.empty())
            return failure{
                error_kind::storage_corrupt,
                options.folder + " has a log but no identity"};
        return write_identity(options, storage_id);
    }
    std::string bytes;
    const int error = options.files.read(options.folder + "/identity", bytes);
    if (error != 0)
        return io_failure(error, "cannot read identity");
    const auto identity = decode_identity(bytes);
    if (!identity)
        return failure{
            error_kind::storage_corrupt,
            options.folder + "/identity is damaged"};
    if (identity->node != options.node.value ||
        identity->cluster != options.cluster)
        return failure{
            error_kind::wrong_data_folder,
            options.folder + " belongs to node " + identity->node +
                " of cluster " + identity->cluster};
    storage_id = identity->storage_id;
    return std::nullopt;
}

} // namespace bergamotusher::consensus
