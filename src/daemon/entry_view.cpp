#include "daemon/entry_view.hpp"

#include "wire/entry.pb.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace bergamotusher
{

namespace
{

constexpr int entries_ttl_seconds = 10;

} // namespace

std::string
encode_report(bool draining, bool ready, std::uint32_t open_requests)
{
    wire::entry_report report;
    report.set_draining(draining);
    report.set_ready(ready);
    report.set_open_requests(open_requests);
    return report.SerializeAsString();
}

bool take_report(
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

std::vector<const peer*> usable_entries(const entry_view& view, time_point now)
{
    std::vector<const peer*> usable;
    for (const peer& one : view.entries)
    {
        const auto found = view.status.find(one.id);
        if (found == view.status.end())
            continue;
        const entry_status& status = found->second;
        const bool fresh = now - status.heard <= entry_report_lifetime;
        if (fresh && status.ready && !status.draining)
            usable.push_back(&one);
    }
    return usable;
}

std::vector<node_id> successors(const entry_view& view, time_point now)
{
    std::vector<std::pair<std::uint32_t, node_id>> found;
    for (const peer* one : usable_entries(view, now))
        if (one->id != view.self)
            found.emplace_back(view.status.at(one->id).open_requests, one->id);
    std::sort(found.begin(), found.end());
    std::vector<node_id> result;
    for (auto& [open, id] : found)
        result.push_back(std::move(id));
    return result;
}

std::string entries_json(
    const std::vector<const peer*>& usable, const account_id& account)
{
    // Callers of one account are sent to the same entries first, so that
    // prefix views and budgets stay together.
    std::vector<std::pair<std::size_t, const peer*>> order;
    for (const peer* one : usable)
        order.emplace_back(
            std::hash<std::string>{}(account.value + '\n' + one->id.value),
            one);
    std::sort(order.begin(), order.end());
    nlohmann::json list = nlohmann::json::array();
    for (const auto& [weight, one] : order)
        list.push_back(
            {{"address", to_string(one->entry)},
             {"node", one->id.value},
             {"failure_domain", one->domain.value}});
    return nlohmann::json{{"entries", list}, {"ttl_s", entries_ttl_seconds}}
        .dump();
}

} // namespace bergamotusher
