// The upstreams of a soak, inside its own process: they record what they run.
#pragma once

#include "soak/fleet.hpp"
#include "soak/ledger.hpp"
#include "soak/wire.hpp"

#include <atomic>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace soak
{

inline constexpr unsigned upstream_places = 6;

class upstream_set
{
public:
    upstream_set(fleet& system, ledger& notes, unsigned seed);
    ~upstream_set();

    /// Ends what runs at a place, without a word.
    void crash(unsigned place);
    /// Starts another one there, under a new id.
    void restart(unsigned place);
    /// Says that it leaves until that is acknowledged; returns whether it was.
    bool drain(unsigned place, moment give_up_at);
    link& way(unsigned place);

private:
    struct upstream;

    void start(unsigned place);
    void announce_all();
    bool announce(upstream& one);

    fleet& system_;
    ledger& ledger_;
    std::mt19937 random_;
    std::mutex mutex_;
    unsigned next_id_ = 0;
    std::vector<std::unique_ptr<link>> ways_;
    std::vector<std::shared_ptr<upstream>> places_;
    std::atomic<bool> ending_{false};
    std::thread announcing_;
};

} // namespace soak
