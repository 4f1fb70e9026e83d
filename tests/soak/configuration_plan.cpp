#include "soak/configuration_plan.hpp"

#include "soak/test_cluster.hpp"

#include <nlohmann/json.hpp>

#include <iterator>

namespace soak
{

using nlohmann::json;

namespace
{

constexpr unsigned max_routes = 8;
constexpr unsigned prefix_count = 16;
constexpr unsigned key_count = 12;

const std::array services{"desk", "llm"};

std::string drawn_key(std::mt19937& random)
{
    return std::string(random() % 2 == 0 ? "acme-" : "zeta-") +
           std::to_string(20 + random() % key_count);
}

json make_accounts(const std::set<std::string>& keys)
{
    json accounts = json::array();
    for (const std::string name : {"acme", "zeta"})
    {
        json held = json::array();
        for (const std::string& key : keys)
            if (key.compare(0, name.size(), name) == 0)
                held.push_back(key);
        accounts.push_back({{"name", name}, {"apiKeys", held}});
    }
    return accounts;
}

void add_defect(json& configuration, const configuration_spec& spec)
{
    json& route = configuration["routes"].back();
    const json weights = {
        {{"service", "desk"}, {"weight", 1}},
        {{"service", "llm"}, {"weight", 1}}};
    switch (spec.defect)
    {
    case configuration_defect::none:
    case configuration_defect::truncated:
        return;
    case configuration_defect::unknown_service:
        route["service"] = "nowhere";
        return;
    case configuration_defect::unknown_service_beside_weights:
        route["service"] = "nowhere";
        route["weightedServices"] = weights;
        return;
    case configuration_defect::repeated_prefix:
        configuration["routes"].push_back(route);
        configuration["routes"].back()["name"] = "again";
        return;
    case configuration_defect::zero_weights:
        route.erase("service");
        route["weightedServices"] = weights;
        for (json& each : route["weightedServices"])
            each["weight"] = 0;
        return;
    case configuration_defect::zero_timeout:
        route["timeoutMs"] = 0;
        return;
    case configuration_defect::shared_key:
        for (json& account : configuration["tenants"])
            account["apiKeys"].push_back("shared-1");
        return;
    }
}

} // namespace

std::string defective_prefix(std::uint64_t version)
{
    return "/defective-" + std::to_string(version) + "/";
}

configuration_spec first_configuration()
{
    configuration_spec spec;
    spec.version = 1;
    spec.routes[stable_prefix] = "desk";
    for (const std::string& key : initial_api_keys())
        spec.keys.insert(key);
    return spec;
}

configuration_spec draw_change(
    const configuration_spec& base, std::uint64_t version, std::mt19937& random)
{
    configuration_spec next = base;
    next.version = version;
    const std::string prefix =
        "/p" + std::to_string(random() % prefix_count) + "/";
    switch (random() % 6)
    {
    case 0:
    case 1:
    {
        const auto found = next.routes.find(prefix);
        if (found != next.routes.end())
            found->second = found->second == "desk" ? "llm" : "desk";
        else
            next.routes[prefix] = services[random() % services.size()];
        break;
    }
    case 2:
        next.routes.erase(prefix);
        break;
    case 3:
        next.keys.insert(drawn_key(random));
        break;
    case 4:
        next.keys.erase(drawn_key(random));
        break;
    default:
        next.slow_timeout_ms = 500 + static_cast<int>(random() % 5) * 100;
    }
    if (next.routes.size() > max_routes)
        next.routes.erase(std::next(next.routes.begin()));
    next.routes[stable_prefix] = "desk";
    return next;
}

std::string to_json(const configuration_spec& spec)
{
    json configuration = json::parse(make_configuration(spec.version, {}));
    json& routes = configuration["routes"];
    std::map<std::string, std::string> prefixes = spec.routes;
    if (spec.defect != configuration_defect::none)
        prefixes[defective_prefix(spec.version)] = "desk";
    for (const auto& [prefix, service] : prefixes)
    {
        routes.push_back(make_route(prefix, "safe", service, 2));
        routes.back()["name"] = "r" + prefix;
    }
    for (unsigned i = 0; i < spec.unprobed_routes; ++i)
    {
        const std::string prefix = "/unprobed-" + std::to_string(i) + "/";
        routes.push_back(make_route(prefix, "safe", "desk", 2));
        routes.back()["name"] = "r" + prefix;
    }
    routes.push_back(make_route(slow_prefix, "safe", "desk", 1));
    routes.back()["name"] = "slow";
    routes.back()["timeoutMs"] = spec.slow_timeout_ms;
    configuration["tenants"] = make_accounts(spec.keys);
    if (spec.defect != configuration_defect::none)
        add_defect(configuration, spec);
    const std::string body = configuration.dump();
    return spec.defect == configuration_defect::truncated
               ? body.substr(0, body.size() * 3 / 4)
               : body;
}

} // namespace soak
