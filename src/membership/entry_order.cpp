#include "membership/entry_order.hpp"

#include "membership/rendezvous.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace bergamotusher::membership
{

namespace
{

void remove_unusable(std::vector<entry_address>& entries)
{
    std::erase_if(entries, [](const auto& entry) { return !entry.alive; });
    const auto draining = [](const auto& entry)
    {
        return entry.draining;
    };
    if (!std::all_of(entries.begin(), entries.end(), draining))
        std::erase_if(entries, draining);
}

/// Moves the first entry in another failure domain than the front to the second
/// place.
void put_other_domain_second(std::vector<entry_address>& entries)
{
    const auto other = std::find_if(
        entries.begin(),
        entries.end(),
        [&entries](const auto& entry)
        { return entry.domain != entries.front().domain; });
    if (other != entries.end())
        std::rotate(entries.begin() + 1, other, other + 1);
}

} // namespace

std::vector<entry_address> order_entries(
    std::vector<entry_address> entries,
    const account_id& account,
    const failure_domain& near)
{
    remove_unusable(entries);
    const auto weight = [&account](const entry_address& entry)
    {
        return rendezvous_weight(account.value, entry.id.value);
    };
    std::sort(
        entries.begin(),
        entries.end(),
        [&weight](const auto& left, const auto& right)
        { return weight(left) > weight(right); });
    put_other_domain_second(entries);
    const auto shared_count = static_cast<std::ptrdiff_t>(
        std::min(entries.size(), entries_per_account));
    std::stable_partition(
        entries.begin(),
        entries.begin() + shared_count,
        [&near](const auto& entry) { return entry.domain == near; });
    return entries;
}

std::string entries_json(const std::vector<entry_address>& ordered)
{
    nlohmann::json body;
    body["entries"] = nlohmann::json::array();
    for (const entry_address& entry : ordered)
        body["entries"].push_back(
            {{"address", entry.address},
             {"failure_domain", entry.domain.value}});
    body["ttl_s"] = entry_ttl.count();
    return body.dump();
}

} // namespace bergamotusher::membership
