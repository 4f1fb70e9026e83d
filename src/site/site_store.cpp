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
    // Only this thread changes the state, so that its version can be read
    // without the lock. Parsing under the lock would block the readers.
    const prepared_command prepared = prepare(parse_, state_.version, command);
    std::string result;
    {
        const std::lock_guard lock(mutex_);
        shared_.reset();
        result = site::apply(state_, index, prepared);
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
    site_state restored;
    const std::error_code error = bytes.empty()
                                      ? std::error_code()
                                      : site::restore(restored, parse_, bytes);
    {
        const std::lock_guard lock(mutex_);
        confirmed_at_.reset();
        shared_.reset();
        if (!error)
            state_ = std::move(restored);
    }
    if (error)
        return error;
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
    if (!shared_)
        shared_ = std::make_shared<const site_state>(state_);
    return {shared_, confirmed_at_};
}

} // namespace bergamotusher::site
