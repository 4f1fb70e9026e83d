// The wire shapes of the cloud API: reclaim notices. Nothing here decides or
// does I/O.
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

/// One instance, or one failure domain, is about to be reclaimed.
struct notice
{
    /// Empty: every reclaimable instance of the failure domain.
    std::string instance;
    failure_domain domain;
    /// Until the instance is taken.
    duration time_left{};

    bool operator==(const notice&) const = default;
};

/// Reads the answer of `GET /v1/notices`:
/// {"notices":[{"instance","failure_domain","time_left_s"}]}.
std::variant<std::vector<notice>, failure>
parse_notices(const std::string& body);

} // namespace bergamotusher::cloud
