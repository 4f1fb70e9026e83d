#include "site/evacuation_log.hpp"

#include <string>

namespace bergamotusher::site
{

void log_evacuations(
    observe::decision_log& log,
    const evacuations& now_evacuated,
    const evacuations& before,
    std::string_view from,
    time_point now)
{
    std::string names;
    for (const failure_domain& each : now_evacuated.domains)
        names += (names.empty() ? "" : ",") + each.value;
    log.write(
        observe::log_line(observe::decision::evacuation_changed)
            .with("domains", names)
            .with("revision", now_evacuated.revision)
            .with("before", before.revision)
            .with("from", from),
        now);
}

} // namespace bergamotusher::site
