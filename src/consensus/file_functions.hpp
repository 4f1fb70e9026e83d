// The few file operations that storage needs, as functions that a test can
// replace to fail any write or sync.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace bergamotusher::consensus
{

/// Each function returns 0 or an `errno`, unless it says otherwise.
struct file_functions
{
    /// Opens for appending, creating the file if `create`; the descriptor, or
    /// minus an `errno`.
    std::function<int(const std::string& path, bool create)> open;
    /// Writes all of the bytes at the end.
    std::function<int(int file, const std::string& bytes)> write;
    std::function<int(int file)> sync;
    std::function<int(int file)> close;
    std::function<int(const std::string& path, std::size_t size)> truncate;
    std::function<int(const std::string& from, const std::string& to)> rename;
    std::function<int(const std::string& path)> remove;
    std::function<int(const std::string& folder)> sync_folder;
    std::function<int(const std::string& path, std::string& bytes)> read;
    /// Names of the regular files in `folder`.
    std::function<int(
        const std::string& folder, std::vector<std::string>& names)>
        list;
    std::function<int(const std::string& folder)> make_folder;
    /// Takes the file for this process alone until it is closed; the
    /// descriptor, or minus an `errno`.
    std::function<int(const std::string& path)> lock;
};

/// The operating system's own.
file_functions system_files();

} // namespace bergamotusher::consensus
