// This process's copy of the replicated state. The control duty's thread
// applies commands to it; other threads read it.
#pragma once

#include "state/replicated_state.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <system_error>

namespace bergamotusher
{

/// The replicated state, guarded by a mutex that is held for one command or one
/// read.
class state_store
{
public:
    using publish_function =
        std::function<void(std::shared_ptr<const configuration>)>;

    /// `publish` is called after each `apply` or `restore` that raised the
    /// configuration's revision, on the same thread and without the lock.
    explicit state_store(publish_function publish);

    /// Applies a committed command; returns its encoded result.
    std::string apply(std::uint64_t index, std::string_view command);
    std::string snapshot() const;
    /// Replaces the state by a snapshot.
    std::error_code restore(std::string_view snapshot);

    /// Calls `read` with the state under the lock and returns its result.
    template<class Read>
    auto read(Read&& read) const
    {
        const std::lock_guard lock(mutex_);
        return read(state_);
    }

    /// Log index of the last command applied.
    std::uint64_t applied() const;

private:
    void publish_if_new();

    publish_function publish_;
    mutable std::mutex mutex_;
    state::replicated_state state_;
    std::uint64_t published_revision_ = 0;
};

} // namespace bergamotusher
