#include "consensus/file_functions.hpp"

#include <cerrno>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sys/file.h>
#include <unistd.h>

namespace bergamotusher::consensus
{

namespace
{

namespace fs = std::filesystem;

constexpr int file_mode = 0600;

int open_file(const std::string& path, bool create)
{
    const int flags = O_WRONLY | O_APPEND | O_CLOEXEC | (create ? O_CREAT : 0);
    const int file = ::open(path.c_str(), flags, file_mode);
    return file < 0 ? -errno : file;
}

int write_all(int file, const std::string& bytes)
{
    std::size_t done = 0;
    while (done < bytes.size())
    {
        const ssize_t written =
            ::write(file, bytes.data() + done, bytes.size() - done);
        if (written < 0 && errno == EINTR)
            continue;
        if (written < 0)
            return errno;
        done += static_cast<std::size_t>(written);
    }
    return 0;
}

int sync_folder(const std::string& folder)
{
    const int file = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (file < 0)
        return errno;
    const int result = ::fsync(file) == 0 ? 0 : errno;
    ::close(file);
    return result;
}

int read_file(const std::string& path, std::string& bytes)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return ENOENT;
    bytes.assign(
        std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
    return file.bad() ? EIO : 0;
}

int list_files(const std::string& folder, std::vector<std::string>& names)
{
    std::error_code error;
    for (const auto& item : fs::directory_iterator(folder, error))
        if (item.is_regular_file())
            names.push_back(item.path().filename().string());
    return error.value();
}

int lock_file(const std::string& path)
{
    const int file = open_file(path, true);
    if (file < 0 || ::flock(file, LOCK_EX | LOCK_NB) == 0)
        return file;
    const int error = errno;
    ::close(file);
    return -error;
}

} // namespace

file_functions system_files()
{
    file_functions files;
    files.open = open_file;
    files.write = write_all;
    files.sync = [](int file)
    {
        return ::fdatasync(file) == 0 ? 0 : errno;
    };
    files.close = [](int file)
    {
        return ::close(file) == 0 ? 0 : errno;
    };
    files.truncate = [](const std::string& path, std::size_t size)
    {
        return ::truncate(path.c_str(), static_cast<off_t>(size)) == 0 ? 0
                                                                       : errno;
    };
    files.rename = [](const std::string& from, const std::string& to)
    {
        return ::rename(from.c_str(), to.c_str()) == 0 ? 0 : errno;
    };
    files.remove = [](const std::string& path)
    {
        return ::unlink(path.c_str()) == 0 ? 0 : errno;
    };
    files.sync_folder = sync_folder;
    files.read = read_file;
    files.list = list_files;
    files.lock = lock_file;
    files.make_folder = [](const std::string& folder)
    {
        std::error_code error;
        fs::create_directories(folder, error);
        return error.value();
    };
    return files;
}

} // namespace bergamotusher::consensus
