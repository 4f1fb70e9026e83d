#include "consensus/log.hpp"

namespace bergamotusher::consensus
{

log_index last_index(const log& log)
{
    return log.base_index + log.entries.size();
}

term_number last_term(const log& log)
{
    return log.entries.empty() ? log.base_term : log.entries.back().term;
}

std::optional<term_number> term_at(const log& log, log_index index)
{
    if (index == log.base_index)
        return log.base_term;
    if (index < log.base_index || index > last_index(log))
        return std::nullopt;
    return entry_at(log, index).term;
}

const entry& entry_at(const log& log, log_index index)
{
    return log.entries.at(index - log.base_index - 1);
}

std::vector<entry>
entries_from(const log& log, log_index first, std::size_t max_bytes)
{
    std::vector<entry> result;
    std::size_t bytes = 0;
    for (log_index i = first; i <= last_index(log) && bytes < max_bytes; ++i)
    {
        result.push_back(entry_at(log, i));
        bytes += result.back().command.size() + sizeof(entry);
    }
    return result;
}

void truncate_from(log& log, log_index first)
{
    while (last_index(log) >= first && !log.entries.empty())
        log.entries.pop_back();
}

void compact_to(log& log, log_index index)
{
    log.base_term = *term_at(log, index);
    while (log.base_index < index)
    {
        log.entries.pop_front();
        ++log.base_index;
    }
}

} // namespace bergamotusher::consensus
