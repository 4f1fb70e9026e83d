// A value that one thread replaces and other threads read.
#pragma once

#include <memory>
#include <mutex>
#include <utility>

namespace bergamotusher
{

/// Holds the newest published value. Readers share ownership of the value that
/// they loaded, so a later `store` does not change it.
template<class T>
class published
{
public:
    /// Replaces the newest value.
    void store(T value)
    {
        auto next = std::make_shared<const T>(std::move(value));
        const std::lock_guard lock(mutex_);
        newest_.swap(next);
    }

    /// The newest value; never null.
    std::shared_ptr<const T> load() const
    {
        const std::lock_guard lock(mutex_);
        return newest_;
    }

private:
    mutable std::mutex mutex_;
    std::shared_ptr<const T> newest_ = std::make_shared<const T>();
};

} // namespace bergamotusher
