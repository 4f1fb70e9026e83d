#include "site/evacuation.hpp"

namespace bergamotusher::site
{

void set_evacuated(
    evacuations& value, const failure_domain& domain, bool is_evacuated)
{
    const bool has_changed = is_evacuated ? value.domains.insert(domain).second
                                          : value.domains.erase(domain) > 0;
    if (has_changed)
        ++value.revision;
}

bool adopt_newer(evacuations& known, const evacuations& received)
{
    if (received.revision <= known.revision)
        return false;
    known = received;
    return true;
}

} // namespace bergamotusher::site
