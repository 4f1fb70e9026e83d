#include "daemon/process_report.hpp"

#include <nlohmann/json.hpp>

namespace bergamotusher
{

std::string status_json(
    const settings& values, const serving_view& serving, const supervisor& tree)
{
    nlohmann::json duties = nlohmann::json::array();
    for (const auto& one : tree.duties())
        duties.push_back(
            {{"name", one->name()}, {"restarts", one->restarts()}});
    return nlohmann::json{
        {"node", values.node.value},
        {"region", values.region},
        {"failure_domain", values.domain.value},
        {"version", BERGAMOTUSHER_VERSION},
        {"revision", serving.revision},
        {"ready", serving.ready},
        {"draining", serving.draining},
        {"open_requests", serving.open_requests},
        {"duties", duties}}
        .dump();
}

} // namespace bergamotusher
