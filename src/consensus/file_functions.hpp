// The file operations that the log storage uses, as replaceable functions, so
// that tests can make any write or sync fail.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace bergamotusher::consensus
{

/// Each function returns 0 or an `errno` value, unless stated otherwise.
struct file_functions
{
    /// Opens a file for appending and creates it if `create` is set. Returns
    /// the file descriptor or a negated `errno`.
    std::function<int(const std::string& path, bool create)> open;
    /// Appends all of `bytes`.
    std::function<int(int file, const std::string& bytes)> write;
    std::function<int(int file)> sync;
    std::function<int(int file)> close;
    std::function<int(const std::string& path, std::size_t size)> truncate;
    std::function<int(const std::string& from, const std::string& to)> rename;
    std::function<int(const std::string& path)> remove;
    std::function<int(const std::string& folder)> sync_folder;
    std::function<int(const std::string& path, std::string& bytes)> read;
    /// Appends the names of the regular files in `folder` to `names`.
    std::function<int(
        const std::string& folder, std::vector<std::string>& names)>
        list;
    std::function<int(const std::string& folder)> make_folder;
    /// Locks the file exclusively until it is closed, without waiting. Returns
    /// the file descriptor or a negated `errno`; `-EWOULDBLOCK` if another
    /// process holds the lock.
    std::function<int(const std::string& path)> lock;
};

/// Functions that use the operating system.
file_functions system_files();

} // namespace bergamotusher::consensus
