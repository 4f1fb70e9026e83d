// How many retries a service's upstreams are asked to bear.
//
// Each first attempt earns a part of one retry, and each retry costs a whole
// one, so that in a brown-out the work offered grows by that part at most.
#pragma once

#include <cstdint>

namespace bergamotusher::admission
{

/// Most retries that may be saved up.
inline constexpr double most_saved_retries = 10;

/// The budget of one service at one entry.
struct retry_budget
{
    double saved = 1;
    std::uint64_t refused = 0;
};

/// A first attempt was sent; `retry_percent` is the service's setting.
void earn(retry_budget& budget, std::uint32_t retry_percent);

/// Whether one retry may be sent, which is then paid for.
bool pay(retry_budget& budget);

} // namespace bergamotusher::admission
