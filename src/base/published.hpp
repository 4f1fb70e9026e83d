// A value that one duty replaces and other threads read.
#pragma once

#include <memory>
#include <mutex>
#include <utility>

namespace bergamotusher
{

/// Holds the newest published value; readers keep the one they took.
template<class T>
class published
{
public:
    /// Makes `value` the newest.
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
