// Simulated cloud API: accepts usage reports and orders to rent upstreams, and
// checks that each fencing token is used by only one duty holder.
#pragma once

#include "soak/http.hpp"
#include "soak/run_history.hpp"

#include <map>
#include <mutex>
#include <string>

namespace soak
{

class fake_cloud_api
{
public:
    fake_cloud_api(const std::string& address, run_history& history);

private:
    /// The highest fencing token seen for one path, service and failure domain,
    /// and the duty holder that used it.
    struct duty_scope
    {
        std::uint64_t fencing_token = 0;
        std::string holder;
    };

    /// Returns the HTTP status of the response: 200, 400 for an invalid body,
    /// or 409 for an outdated fencing token.
    int handle_request(const http_request& request);

    run_history& history_;
    std::mutex mutex_;
    std::map<std::string, duty_scope> scopes_;
    std::map<std::uint64_t, std::string> usage_windows_;
    http_server server_;
};

} // namespace soak
