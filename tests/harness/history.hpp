// Histories of concurrent runs, and checks of what must hold in each.
//
// A run notes every operation with the time of its call and of its answer.
// The checks know only these, not the system: so they hold for any
// implementation, and are themselves tested on bad histories.
#pragma once

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace bergamotusher::tests
{

/// What an operation was.
enum class operation_kind
{
    /// Compare-and-set of the configuration.
    put,
    /// A read that must be linearizable.
    read,
    /// What an entry says that it has in force.
    in_force,
    /// One sending of a request that must run at most once.
    order
};

/// What its caller was told.
enum class operation_outcome
{
    done,
    /// It certainly had no effect.
    refused,
    /// Nobody can tell.
    unknown
};

/// One operation.
struct operation
{
    operation_kind kind = operation_kind::read;
    operation_outcome outcome = operation_outcome::unknown;
    /// Seconds since the start of the run.
    double called = 0;
    double answered = 0;
    /// Of a put: the revision it was to replace.
    std::uint64_t expected = 0;
    /// The revision that was set, read, or in force.
    std::uint64_t revision = 0;
    /// The entry of `in_force`; the key of an order.
    std::string name;
    /// The answer's body, of an order.
    std::string answer;
};

/// A whole run.
struct history
{
    std::vector<operation> operations;
    /// A line for each run of an order: its key.
    std::vector<std::string> runs;
};

/// Adds operations from several threads.
class recorder
{
public:
    void add(operation one);
    history take();

private:
    std::mutex mutex_;
    history history_;
};

/// Puts and reads of the configuration are linearizable: revisions follow
/// real time, and each put replaced just the revision that it expected.
/// Returns what is wrong, one line each.
std::vector<std::string> check_configuration(const history& run);

/// No entry's revision in force goes back, over restarts too.
std::vector<std::string> check_in_force(const history& run);

/// Each order ran at most once; an answered one ran once; one whose every
/// sending was refused did not run; all answers to one key are the same.
std::vector<std::string> check_orders(const history& run);

/// Writes the run to `file`, one operation a line.
void write(const history& run, const std::string& file);

} // namespace bergamotusher::tests
