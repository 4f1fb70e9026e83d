#include "site/site.hpp"

#include <algorithm>
#include <set>

namespace bergamotusher::site
{

namespace
{

failure invalid(std::string detail)
{
    return {error_kind::invalid_configuration, std::move(detail)};
}

std::string quoted(std::string_view text)
{
    return "\"" + std::string(text) + "\"";
}

std::string host_name(std::string_view host)
{
    std::string name(host.substr(0, host.find(':')));
    std::transform(
        name.begin(),
        name.end(),
        name.begin(),
        [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return name;
}

std::optional<failure>
check_route(const route& value, const std::set<service_name>& services)
{
    const std::string name = "route " + quoted(value.name);
    if (value.host.empty())
        return invalid(name + " names no host");
    if (value.path_prefix.empty() || value.path_prefix.front() != '/' ||
        value.path_prefix.back() != '/')
        return invalid(
            name + ": path prefix " + quoted(value.path_prefix) +
            " does not begin and end with a slash");
    if (value.timeout <= 0us)
        return invalid(name + " has a timeout of 0");
    if (value.attempts_max == 0)
        return invalid(name + " allows no attempt");
    double weights = 0;
    for (const weighted_service& each : value.services)
    {
        if (services.count(each.service) == 0)
            return invalid(
                name + ": service " + quoted(each.service.value) +
                " does not exist");
        if (each.weight < 0)
            return invalid(
                name + ": service " + quoted(each.service.value) +
                " has a weight below 0");
        weights += each.weight;
    }
    if (weights <= 0)
        return invalid(name + ": the weights of its services add up to 0");
    return std::nullopt;
}

std::optional<failure> check_keys(const std::vector<account>& accounts)
{
    std::map<std::string, account_id> owner_by_key;
    for (const account& each : accounts)
        for (const std::string& key : each.keys)
        {
            const auto [owner, inserted] = owner_by_key.emplace(key, each.name);
            if (!inserted && owner->second != each.name)
                return invalid(
                    "accounts " + quoted(owner->second.value) + " and " +
                    quoted(each.name.value) + " share a key");
        }
    return std::nullopt;
}

} // namespace

std::optional<failure> check(const configuration& value)
{
    std::set<service_name> services;
    for (const service& each : value.services)
        if (each.name.empty() || !services.insert(each.name).second)
            return invalid(
                "service " + quoted(each.name.value) +
                " has no name or stands twice");
    std::set<std::pair<std::string, std::string>> host_prefixes;
    for (const route& each : value.routes)
    {
        if (auto wrong = check_route(each, services))
            return wrong;
        if (!host_prefixes.emplace(host_name(each.host), each.path_prefix)
                 .second)
            return invalid(
                "route " + quoted(each.name) + ": another route has host " +
                quoted(each.host) + " and prefix " + quoted(each.path_prefix));
    }
    return check_keys(value.accounts);
}

std::shared_ptr<const indexed_configuration>
index_configuration(configuration value)
{
    auto indexed = std::make_shared<indexed_configuration>();
    indexed->value = std::move(value);
    const configuration& site = indexed->value;
    for (std::size_t i = 0; i < site.routes.size(); ++i)
        indexed->by_host[host_name(site.routes[i].host)].push_back(i);
    for (auto& [host, indexes] : indexed->by_host)
        std::stable_sort(
            indexes.begin(),
            indexes.end(),
            [&](std::size_t a, std::size_t b)
            {
                return site.routes[a].path_prefix.size() >
                       site.routes[b].path_prefix.size();
            });
    for (std::size_t i = 0; i < site.accounts.size(); ++i)
        for (const std::string& key : site.accounts[i].keys)
            indexed->account_by_key.emplace(key, i);
    for (std::size_t i = 0; i < site.services.size(); ++i)
        indexed->service_by_name.emplace(site.services[i].name, i);
    return indexed;
}

const route* find_route(
    const indexed_configuration& site,
    std::string_view host,
    std::string_view path)
{
    const auto found = site.by_host.find(host_name(host));
    if (found == site.by_host.end())
        return nullptr;
    for (const std::size_t index : found->second)
    {
        const route& each = site.value.routes[index];
        if (path.substr(0, each.path_prefix.size()) == each.path_prefix)
            return &each;
    }
    return nullptr;
}

const account*
find_account(const indexed_configuration& site, std::string_view key)
{
    const auto found = site.account_by_key.find(std::string(key));
    return found == site.account_by_key.end()
               ? nullptr
               : &site.value.accounts[found->second];
}

const service*
find_service(const indexed_configuration& site, const service_name& name)
{
    const auto found = site.service_by_name.find(name);
    return found == site.service_by_name.end()
               ? nullptr
               : &site.value.services[found->second];
}

} // namespace bergamotusher::site
