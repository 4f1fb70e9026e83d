// What one process says of itself to operators.
#pragma once

#include "daemon/serving_duty.hpp"
#include "daemon/supervisor.hpp"
#include "settings/settings.hpp"

#include <string>

namespace bergamotusher
{

/// The JSON of `GET /v1/status`.
std::string status_json(
    const settings& values,
    const serving_view& serving,
    const supervisor& tree);

} // namespace bergamotusher
