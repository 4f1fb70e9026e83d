#include "observe/event_files.hpp"

#include "observe/event_json.hpp"

#include <algorithm>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>

namespace bergamotusher::observe
{

namespace
{

namespace fs = std::filesystem;

fs::path file_path(const fs::path& folder, unsigned age)
{
    const std::string age_suffix = age == 0 ? "" : "." + std::to_string(age);
    return folder / ("events" + age_suffix + ".jsonl");
}

void open_newest(event_files& files)
{
    const fs::path path = file_path(files.options.folder, 0);
    std::error_code error;
    const auto size = fs::file_size(path, error);
    files.written = error ? 0 : size;
    files.open.clear();
    files.open.open(path, std::ios::app);
}

void rotate(event_files& files)
{
    files.open.close();
    const fs::path& folder = files.options.folder;
    std::error_code ignored;
    for (unsigned age = files.options.max_files; age-- > 1;)
        fs::rename(file_path(folder, age - 1), file_path(folder, age), ignored);
    if (files.options.max_files <= 1)
        fs::remove(file_path(folder, 0), ignored);
    open_newest(files);
}

std::string read_text(const fs::path& path)
{
    std::error_code error;
    const auto size = fs::file_size(path, error);
    if (error)
        return {};
    std::string text(size, '\0');
    std::ifstream file(path, std::ios::binary);
    file.read(text.data(), static_cast<std::streamsize>(size));
    text.resize(static_cast<std::size_t>(file.gcount()));
    return text;
}

/// Appends a file's events, newest first, until there are `limit`. Only their
/// lines are parsed: a process reads its events before it does anything else.
void read_backwards(
    const fs::path& path, std::size_t limit, std::vector<event>& newest_first)
{
    const std::string text = read_text(path);
    std::string_view rest = text;
    while (!rest.empty() && newest_first.size() < limit)
    {
        // `npos` plus one is 0, the begin of the first line.
        const std::size_t begin = rest.rfind('\n') + 1;
        const auto json =
            nlohmann::json::parse(rest.substr(begin), nullptr, false);
        auto parsed = parse_event(json);
        if (auto* value = std::get_if<event>(&parsed))
            newest_first.push_back(std::move(*value));
        rest = rest.substr(0, begin == 0 ? 0 : begin - 1);
    }
}

} // namespace

event_files open_event_files(event_file_options options)
{
    event_files files;
    files.options = std::move(options);
    std::error_code ignored;
    fs::create_directories(files.options.folder, ignored);
    open_newest(files);
    return files;
}

void write_event(event_files& files, const event& value)
{
    const std::string line = encode_event(value).dump(
        -1, ' ', false, nlohmann::json::error_handler_t::replace);
    if (files.written + line.size() >= files.options.max_file_bytes)
        rotate(files);
    else if (!files.open.is_open() || files.open.fail())
    {
        files.open.close();
        open_newest(files);
    }
    files.open << line << '\n';
    if (files.open.fail())
        ++files.failed;
    else
        files.written += line.size() + 1;
}

void flush(event_files& files)
{
    files.open.flush();
}

std::vector<event>
read_newest_events(const std::filesystem::path& folder, std::size_t limit)
{
    std::vector<event> events;
    for (const unsigned age : {0U, 1U})
        read_backwards(file_path(folder, age), limit, events);
    std::reverse(events.begin(), events.end());
    return events;
}

} // namespace bergamotusher::observe
