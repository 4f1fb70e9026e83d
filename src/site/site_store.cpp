#include "site/site_store.hpp"

namespace bergamotusher::site
{

site_store::site_store(
    configuration_parser parse, std::function<void()> on_change)
    : parse_(parse), on_change_(std::move(on_change))
{
}

std::string site_store::apply(std::uint64_t index, std::string_view command)
{
    std::string result;
    {
        const std::lock_guard lock(mutex_);
        result = site::apply(state_, parse_, index, command);
    }
    on_change_();
    return result;
}

std::string site_store::snapshot() const
{
    const std::lock_guard lock(mutex_);
    return site::snapshot(state_);
}

std::error_code site_store::restore(std::string_view bytes)
{
    {
        const std::lock_guard lock(mutex_);
        confirmed_at_.reset();
        if (bytes.empty())
            state_ = {};
        else if (const auto error = site::restore(state_, parse_, bytes))
            return error;
    }
    on_change_();
    return {};
}

void site_store::confirm(time_point at)
{
    {
        const std::lock_guard lock(mutex_);
        confirmed_at_ = at;
    }
    on_change_();
}

confirmed_site site_store::read() const
{
    const std::lock_guard lock(mutex_);
    return {state_, confirmed_at_};
}

} // namespace bergamotusher::site
