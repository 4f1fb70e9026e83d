#include "soak/platform_side.hpp"

#include <nlohmann/json.hpp>

namespace soak
{

using nlohmann::json;

platform_side::platform_side(const std::string& address, ledger& notes)
    : ledger_(notes)
    , server_(
          address,
          [this](const http_request& request, const piece_writer& write)
          {
              write(
                  "HTTP/1.1 " + std::to_string(take(request)) +
                  " X\r\nContent-Length: 0\r\n\r\n");
          })
{
}

int platform_side::take(const http_request& request)
{
    const std::string path(request.target());
    const json body = json::parse(request.body(), nullptr, false);
    if (!body.is_object())
        return 400;
    const std::string holder(request["Bergamotusher-Duty-Holder"]);
    const std::uint64_t fence =
        std::stoull("0" + std::string(request["Bergamotusher-Fencing-Token"]));
    const std::string about =
        path + body.value("service", "") + body.value("zone", "");
    const std::lock_guard<std::mutex> lock(mutex_);
    subject& known = subjects_[about];
    if (fence < known.fence)
        return 409;
    if (fence == known.fence && holder != known.holder)
        ledger_.note_wrong(
            about + ": fence " + std::to_string(fence) + " of two holders, " +
            known.holder + " and " + holder);
    known = {fence, holder};
    if (path == "/usage")
    {
        const auto window = body.value("windowId", std::uint64_t{0});
        const std::string counts = body["counts"].dump();
        const auto [at, is_new] = windows_.emplace(window, counts);
        if (!is_new && at->second != counts)
            ledger_.note_wrong(
                "usage window " + std::to_string(window) +
                " was reported twice, with other counts");
    }
    return 200;
}

} // namespace soak
