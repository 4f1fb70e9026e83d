#include "daemon/state_store.hpp"

namespace bergamotusher
{

state_store::state_store(publish_function publish)
    : publish_(std::move(publish))
{
}

std::string state_store::apply(std::uint64_t index, std::string_view command)
{
    std::string result;
    {
        const std::lock_guard lock(mutex_);
        result = state::apply(state_, index, command);
    }
    publish_if_new();
    return result;
}

std::string state_store::snapshot() const
{
    const std::lock_guard lock(mutex_);
    return state::snapshot(state_);
}

std::error_code state_store::restore(std::string_view snapshot)
{
    {
        const std::lock_guard lock(mutex_);
        if (const std::error_code error = state::restore(state_, snapshot))
            return error;
    }
    publish_if_new();
    return {};
}

std::uint64_t state_store::applied() const
{
    const std::lock_guard lock(mutex_);
    return state_.applied;
}

void state_store::publish_if_new()
{
    const auto config =
        read([](const auto& state) { return state::published(state); });
    if (config->revision <= published_revision_)
        return;
    published_revision_ = config->revision;
    publish_(config);
}

} // namespace bergamotusher
