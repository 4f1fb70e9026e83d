#include "consensus/log.hpp"

namespace bergamotusher::consensus
{

std::size_t size_of(const entry& value)
{
    std::size_t bytes = sizeof(entry) + value.command.size();
    for (const auto* ids : {&value.members.voters, &value.members.learners})
        for (const node_id& id : *ids)
            bytes += sizeof(node_id) + id.value.size();
    return bytes;
}

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
        bytes += size_of(result.back());
    }
    return result;
}

void append(log& log, entry value)
{
    log.bytes += size_of(value);
    log.entries.push_back(std::move(value));
}

void truncate_from(log& log, log_index first)
{
    while (last_index(log) >= first && !log.entries.empty())
    {
        log.bytes -= size_of(log.entries.back());
        log.entries.pop_back();
    }
}

void compact_to(log& log, log_index index)
{
    log.base_term = *term_at(log, index);
    while (log.base_index < index)
    {
        log.bytes -= size_of(log.entries.front());
        log.entries.pop_front();
        ++log.base_index;
    }
}

} // namespace bergamotusher::consensus
