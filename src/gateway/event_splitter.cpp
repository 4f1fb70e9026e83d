#include "gateway/event_splitter.hpp"

#include "gateway/http_message.hpp"

#include <algorithm>

namespace bergamotusher::gateway
{

namespace
{

/// Position after the blank line that ends the first event; npos if the event
/// is not complete.
std::size_t end_of_event(std::string_view text, std::size_t searched)
{
    // The blank line may have been received in part.
    constexpr std::size_t blank_line_bytes = 2;
    for (std::size_t newline =
             text.find('\n', searched - std::min(searched, blank_line_bytes));
         newline != std::string_view::npos;
         newline = text.find('\n', newline + 1))
    {
        if (text.substr(newline + 1, 1) == "\n")
            return newline + 2;
        if (text.substr(newline + 1, 2) == "\r\n")
            return newline + 3;
    }
    return std::string_view::npos;
}

std::optional<std::uint64_t> id_of(std::string_view event)
{
    while (!event.empty())
    {
        const auto end = event.find('\n');
        std::string_view line = event.substr(0, end);
        if (!line.empty() && line.back() == '\r')
            line.remove_suffix(1);
        if (line.substr(0, 3) == "id:")
        {
            line.remove_prefix(3);
            if (!line.empty() && line.front() == ' ')
                line.remove_prefix(1);
            return parse_number(line);
        }
        if (end == std::string_view::npos)
            break;
        event.remove_prefix(end + 1);
    }
    return std::nullopt;
}

/// Whether the event has a line of data. Clients ignore blocks without one, as
/// comments that keep a connection alive.
bool has_data(std::string_view event)
{
    constexpr std::string_view name = "data";
    return event.substr(0, name.size()) == name ||
           event.find("\ndata") != std::string_view::npos;
}

} // namespace

std::string split_events(event_splitter& splitter, std::string_view bytes)
{
    splitter.partial.append(bytes);
    std::string_view rest = splitter.partial;
    for (std::size_t end = end_of_event(rest, splitter.searched);
         end != std::string_view::npos;
         end = end_of_event(rest, 0))
    {
        const std::string_view event = rest.substr(0, end);
        if (const auto id = id_of(event))
        {
            splitter.went_back = splitter.went_back ||
                                 (splitter.last_id && *id <= *splitter.last_id);
            splitter.last_id = id;
            splitter.ends_without_id = false;
        }
        else if (has_data(event))
            splitter.ends_without_id = true;
        ++splitter.events;
        rest.remove_prefix(end);
    }
    std::string complete =
        splitter.partial.substr(0, splitter.partial.size() - rest.size());
    splitter.searched = rest.size();
    splitter.partial.erase(0, complete.size());
    return complete;
}

} // namespace bergamotusher::gateway
