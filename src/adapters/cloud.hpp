// Parser of the cloud API's reclaim notices. Pure functions without I/O.
#pragma once

#include <bergamotusher/error_kind.hpp>
#include <bergamotusher/ids.hpp>
#include <bergamotusher/time.hpp>

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bergamotusher::cloud
{

/// Notice that an instance, or a failure domain, will be reclaimed.
struct notice
{
    /// Empty for all reclaimable instances of the failure domain.
    std::string instance;
    failure_domain domain;
    /// Time until the instance is reclaimed.
    duration time_left{};

    bool operator==(const notice&) const = default;
};

/// Parses the answer to `GET /v1/notices`:
/// {"notices":[{"instance","failure_domain","time_left_s"}]}.
std::variant<std::vector<notice>, failure>
parse_notices(const std::string& body);

} // namespace bergamotusher::cloud
