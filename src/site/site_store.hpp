// The replicated site of this process. The control duty's thread applies
// commands to it; other threads read it.
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
    /// `changed` runs on the control thread after each command that held, and
    /// after each restored snapshot.
    site_store(parse_function parse, std::function<void()> changed);

    std::string apply(std::uint64_t index, std::string_view command);
    std::string snapshot() const;
    std::error_code restore(std::string_view bytes);

    /// A copy; the large parts are shared.
    site_state read() const;

private:
    parse_function parse_;
    std::function<void()> changed_;
    mutable std::mutex mutex_;
    site_state state_;
};

} // namespace bergamotusher::site
