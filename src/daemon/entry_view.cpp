#include "daemon/entry_view.hpp"

#include "wire/entry.pb.h"

#include <algorithm>

namespace bergamotusher
{

std::string
encode_entry_report(bool draining, bool ready, std::uint32_t open_requests)
{
    wire::entry_report report;
    report.set_draining(draining);
    report.set_ready(ready);
    report.set_open_requests(open_requests);
    return report.SerializeAsString();
}

bool apply_entry_report(
    entry_view& view,
    const node_id& from,
    std::string_view bytes,
    time_point now)
{
    wire::entry_report report;
    if (!report.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return false;
    view.status[from] = {
        report.draining(), report.ready(), report.open_requests(), now};
    return true;
}

std::vector<membership::entry_address>
entry_addresses(const entry_view& view, time_point now)
{
    std::vector<membership::entry_address> result;
    result.reserve(view.entries.size());
    for (const peer& member : view.entries)
    {
        membership::entry_address address{
            member.id, to_string(member.entry), member.domain, false, false};
        const auto found = view.status.find(member.id);
        if (found != view.status.end())
        {
            const entry_status& status = found->second;
            address.draining = status.draining;
            address.alive = status.ready &&
                            now - status.reported_at <= entry_report_timeout;
        }
        result.push_back(std::move(address));
    }
    return result;
}

std::vector<node_id> find_live_entries(const entry_view& view, time_point now)
{
    std::vector<node_id> result;
    for (const auto& entry : entry_addresses(view, now))
        if (entry.id != view.self && entry.alive)
            result.push_back(entry.id);
    return result;
}

std::vector<node_id> find_successors(const entry_view& view, time_point now)
{
    std::vector<std::pair<std::uint32_t, node_id>> found;
    for (const auto& entry : entry_addresses(view, now))
        if (entry.id != view.self && entry.alive && !entry.draining)
            found.emplace_back(
                view.status.at(entry.id).open_requests, entry.id);
    std::sort(found.begin(), found.end());
    std::vector<node_id> result;
    result.reserve(found.size());
    for (auto& [open, id] : found)
        result.push_back(std::move(id));
    return result;
}

} // namespace bergamotusher
