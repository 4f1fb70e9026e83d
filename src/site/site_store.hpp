// Thread-safe holder of the replicated site state. The control duty's thread
// applies commands to it; other threads read it.
#pragma once

#include "site/site_state.hpp"

#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <system_error>

namespace bergamotusher::site
{

class site_store
{
public:
    /// `on_change` runs on the control duty's thread after each applied command
    /// and after each restored snapshot.
    site_store(configuration_parser parse, std::function<void()> on_change);

    std::string apply(std::uint64_t index, std::string_view command);
    std::string snapshot() const;
    std::error_code restore(std::string_view bytes);

    /// Returns a copy; the configuration is shared, not copied.
    site_state read() const;

private:
    configuration_parser parse_;
    std::function<void()> on_change_;
    mutable std::mutex mutex_;
    site_state state_;
};

} // namespace bergamotusher::site
