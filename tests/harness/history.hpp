// Histories of concurrent operations, and checks of the consistency guarantees
// that every history must satisfy.
//
// A history has each operation with its start and end time. The checks use only
// the history, so they do not depend on the implementation of the system and
// are tested with histories that violate the guarantees.
#pragma once

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace bergamotusher::tests
{

/// The kind of an operation.
enum class operation_kind
{
    /// Compare-and-set of the configuration.
    put,
    /// Linearizable read of the configuration.
    read,
    /// Read of the revision that an entry has in force; may be stale, but must
    /// not decrease.
    in_force,
    /// One send of a request that must be executed at most once.
    order
};

/// The outcome of an operation as its client learned it.
enum class operation_outcome
{
    done,
    /// The operation had no effect.
    refused,
    /// No answer, or one that does not tell whether the operation took effect.
    unknown
};

/// One operation of a client.
struct operation
{
    operation_kind kind = operation_kind::read;
    operation_outcome outcome = operation_outcome::unknown;
    /// Seconds since the start of the run.
    double start_seconds = 0;
    double end_seconds = 0;
    /// Of a put: the revision that it replaces.
    std::uint64_t expected_revision = 0;
    /// The revision that was written, read, or in force.
    std::uint64_t revision = 0;
    /// Of `in_force`, the entry; of an order, its idempotency key.
    std::string subject;
    /// Of an order: the body of the answer.
    std::string response_body;
};

/// The operations of one run, with the orders that were executed in it.
struct history
{
    std::vector<operation> operations;
    /// The idempotency key of each execution of an order.
    std::vector<std::string> executed_orders;
};

/// Collects the operations of several threads; thread-safe.
class recorder
{
public:
    void add(operation added);
    /// Moves the collected history out.
    history take_history();

private:
    std::mutex mutex_;
    history history_;
};

/// Checks that puts and reads of the configuration are linearizable: an
/// operation that starts after another ended sees no lower revision, and each
/// put replaced exactly the revision that it expected. Returns a description
/// of each violation.
std::vector<std::string> check_configuration(const history& run);

/// Checks that the revision in force at an entry never decreases, also over
/// restarts. Returns a description of each violation.
std::vector<std::string> check_in_force(const history& run);

/// Checks that each order was executed at most once, that an order with a
/// successful answer was executed, that an order refused at every send was
/// not, and that all successful answers to one key are equal. Returns a
/// description of each violation.
std::vector<std::string> check_orders(const history& run);

/// Writes the history to `file`, one operation per line, then one line for each
/// executed order.
void write_history(const history& run, const std::string& file);

} // namespace bergamotusher::tests
