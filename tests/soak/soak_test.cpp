// Runs the real programs under random faults and checks the guarantees that
// callers, operators and upstreams can observe.
//
// By default, the regression seeds below are run.
// BERGAMOTUSHER_SOAK_SEEDS=FROM-TO (or one seed) selects others, and
// BERGAMOTUSHER_SOAK_SECONDS sets the duration of fault injection for each
// seed, in seconds. Logs are kept for runs with violations, and for all runs if
// BERGAMOTUSHER_KEEP_LOGS is set.
#include "soak/soak_run.hpp"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <unistd.h>

namespace
{

/// Seeds that once showed a violation, or that detect a deliberately introduced
/// fault:
/// 43: an order is retried although it may have been executed;
/// 44: a fault of the soak test itself, which counted requests whose key was
/// being revoked.
const std::vector<unsigned> regression_seeds{43, 44};

std::vector<unsigned> selected_seeds()
{
    const char* value = std::getenv("BERGAMOTUSHER_SOAK_SEEDS");
    if (value == nullptr)
        return regression_seeds;
    const std::string text = value;
    const auto dash = text.find('-');
    const auto from = static_cast<unsigned>(std::stoul(text));
    const auto to =
        dash == std::string::npos
            ? from
            : static_cast<unsigned>(std::stoul(text.substr(dash + 1)));
    std::vector<unsigned> all;
    for (unsigned seed = from; seed <= to; ++seed)
        all.push_back(seed);
    return all;
}

double fault_seconds()
{
    const char* value = std::getenv("BERGAMOTUSHER_SOAK_SECONDS");
    return value == nullptr ? 8 : std::atof(value);
}

} // namespace

TEST_CASE("the programs keep their guarantees under random faults")
{
    for (const unsigned seed : selected_seeds())
    {
        DYNAMIC_SECTION("seed " << seed)
        {
            soak::run_options options;
            options.seed = seed;
            options.fault_seconds = fault_seconds();
            options.folder = std::filesystem::temp_directory_path() /
                             ("soak-" + std::to_string(::getpid()) + "-" +
                              std::to_string(seed));
            const soak::run_result result = soak::run_soak(options);
            for (const std::string& fault : result.faults)
                UNSCOPED_INFO("fault: " << fault);
            UNSCOPED_INFO("logs: " << options.folder);
            for (const std::string& violation : result.violations)
                UNSCOPED_INFO("violation: " << violation);
            CHECK(result.violations.empty());
            CHECK(result.executions > 100);
            std::cout << "seed " << seed << ": " << result.executions
                      << " executions, " << result.faults.size() << " faults, "
                      << result.violations.size() << " violations\n";
            if (result.violations.empty() &&
                std::getenv("BERGAMOTUSHER_KEEP_LOGS") == nullptr)
                std::filesystem::remove_all(options.folder);
        }
    }
}
