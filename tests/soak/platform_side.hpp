// The platform's own interface in a soak: takes usage reports and orders to
// rent, and checks fences and holders.
#pragma once

#include "soak/ledger.hpp"
#include "soak/wire.hpp"

#include <map>
#include <mutex>
#include <string>

namespace soak
{

class platform_side
{
public:
    platform_side(const std::string& address, ledger& notes);

private:
    struct subject
    {
        std::uint64_t fence = 0;
        std::string holder;
    };

    int take(const http_request& request);

    ledger& ledger_;
    std::mutex mutex_;
    std::map<std::string, subject> subjects_;
    std::map<std::uint64_t, std::string> windows_;
    host server_;
};

} // namespace soak
