// Thread-safe holder of the replicated site state and of the moment at which it
// was last known to be the newest. The control duty's thread applies commands
// to it and confirms it; other threads read it.
#pragma once

#include "site/site_state.hpp"

#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

namespace bergamotusher::site
{

/// A state, and the latest moment at which it held everything that had been
/// committed; nothing before the first confirmation since it was restored.
struct confirmed_site
{
    std::shared_ptr<const site_state> state;
    std::optional<time_point> confirmed_at;
};

class site_store
{
public:
    /// `on_change` runs on the control duty's thread after each applied
    /// command, restored snapshot and confirmation.
    site_store(configuration_parser parse, std::function<void()> on_change);

    std::string apply(std::uint64_t index, std::string_view command);
    std::string snapshot() const;
    /// The restored state may be older than the one before, so that it is
    /// unconfirmed.
    std::error_code restore(std::string_view bytes);
    /// The present state holds everything that had been committed at `at`.
    void confirm(time_point at);

    /// Reads without a change between them return the same copy.
    confirmed_site read() const;

private:
    configuration_parser parse_;
    std::function<void()> on_change_;
    mutable std::mutex mutex_;
    site_state state_;
    /// The copy of `state_` that readers share; null since the last change.
    mutable std::shared_ptr<const site_state> shared_;
    std::optional<time_point> confirmed_at_;
};

} // namespace bergamotusher::site
