#include "admission/retry_budget.hpp"

#include <algorithm>

namespace bergamotusher::admission
{

void earn(retry_budget& budget, std::uint32_t retry_percent)
{
    const double earned = std::min(retry_percent, 100U) / 100.0;
    budget.saved = std::min(budget.saved + earned, most_saved_retries);
}

bool pay(retry_budget& budget)
{
    if (budget.saved < 1)
    {
        ++budget.refused;
        return false;
    }
    budget.saved -= 1;
    return true;
}

} // namespace bergamotusher::admission
