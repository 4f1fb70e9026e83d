#include "observe/event_files.hpp"

#include "observe/event_json.hpp"

#include <string>
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

void read_file(const fs::path& path, std::vector<event>& events)
{
    std::ifstream file(path);
    for (std::string line; std::getline(file, line);)
    {
        const auto json = nlohmann::json::parse(line, nullptr, false);
        const auto parsed = parse_event(json);
        if (const auto* value = std::get_if<event>(&parsed))
            events.push_back(*value);
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
    for (const unsigned age : {1U, 0U})
        read_file(file_path(folder, age), events);
    if (events.size() > limit)
        events.erase(
            events.begin(), events.end() - static_cast<std::ptrdiff_t>(limit));
    return events;
}

} // namespace bergamotusher::observe
