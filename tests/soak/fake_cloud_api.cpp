#include "soak/fake_cloud_api.hpp"

#include <nlohmann/json.hpp>

namespace soak
{

using nlohmann::json;

fake_cloud_api::fake_cloud_api(const std::string& address, run_history& history)
    : history_(history)
    , server_(
          address,
          [this](const http_request& request, const response_writer& write)
          {
              write(
                  "HTTP/1.1 " + std::to_string(handle_request(request)) +
                  " X\r\nContent-Length: 0\r\n\r\n");
          })
{
}

int fake_cloud_api::handle_request(const http_request& request)
{
    const std::string path(request.target());
    const json body = json::parse(request.body(), nullptr, false);
    if (!body.is_object())
        return 400;
    const std::string holder(request["Bergamotusher-Duty-Holder"]);
    const std::uint64_t fencing_token =
        std::stoull("0" + std::string(request["Bergamotusher-Fencing-Token"]));
    const std::string scope =
        path + body.value("service", "") + body.value("zone", "");
    const std::lock_guard<std::mutex> lock(mutex_);
    duty_scope& latest = scopes_[scope];
    if (fencing_token < latest.fencing_token)
        return 409;
    if (fencing_token == latest.fencing_token && holder != latest.holder)
        history_.record_violation(
            scope + ": fencing token " + std::to_string(fencing_token) +
            " used by two holders, " + latest.holder + " and " + holder);
    latest = {fencing_token, holder};
    if (path == "/usage")
    {
        const auto window = body.value("windowId", std::uint64_t{0});
        const std::string counts = body["counts"].dump();
        const auto [recorded, is_new] = usage_windows_.emplace(window, counts);
        if (!is_new && recorded->second != counts)
            history_.record_violation(
                "usage window " + std::to_string(window) +
                " was reported again with different counts");
    }
    return 200;
}

} // namespace soak
