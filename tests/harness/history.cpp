#include "harness/history.hpp"

#include <algorithm>
#include <fstream>
#include <map>
#include <set>

namespace bergamotusher::tests
{

namespace
{

using problems = std::vector<std::string>;

std::vector<operation> of_kind(
    const history& run,
    operation_kind kind,
    operation_outcome outcome = operation_outcome::done)
{
    std::vector<operation> found;
    for (const operation& one : run.operations)
        if (one.kind == kind && one.outcome == outcome)
            found.push_back(one);
    return found;
}

std::string text(const operation& one)
{
    return "[" + std::to_string(one.called) + ", " +
           std::to_string(one.answered) + "] revision " +
           std::to_string(one.revision);
}

// Each of `later` that was called after one of `earlier` was answered must
// not show a lower revision.
void check_real_time(
    const std::vector<operation>& earlier,
    const std::vector<operation>& later,
    const std::string& what,
    problems& wrong)
{
    for (const operation& after : later)
        for (const operation& before : earlier)
            if (before.answered < after.called &&
                before.revision > after.revision)
                wrong.push_back(
                    what + " goes back: " + text(before) + ", then " +
                    text(after));
}

// A put replaced `expected`: no other put that is known to have taken effect
// lies between, and none has the same revision.
void check_replaced(const std::vector<operation>& puts, problems& wrong)
{
    std::set<std::uint64_t> revisions;
    for (const operation& put : puts)
    {
        if (!revisions.insert(put.revision).second)
            wrong.push_back("two puts have " + text(put));
        if (put.revision <= put.expected)
            wrong.push_back("a put did not move on: " + text(put));
        for (const operation& other : puts)
            if (other.revision > put.expected && other.revision < put.revision)
                wrong.push_back(
                    "a put replaced another than it expected: " + text(put) +
                    " over " + text(other));
    }
}

// A refused put must not have taken effect: nothing may show its revision.
// A refusal carries no revision, so it is the expected one that tells: two
// puts that expect the same revision cannot both be done.
void check_races(const std::vector<operation>& puts, problems& wrong)
{
    std::map<std::uint64_t, int> winners;
    for (const operation& put : puts)
        if (++winners[put.expected] == 2)
            wrong.push_back(
                "two puts replaced revision " + std::to_string(put.expected));
}

const char* name_of(operation_kind kind)
{
    switch (kind)
    {
    case operation_kind::put:
        return "put";
    case operation_kind::read:
        return "read";
    case operation_kind::in_force:
        return "in_force";
    case operation_kind::order:
        break;
    }
    return "order";
}

const char* name_of(operation_outcome outcome)
{
    switch (outcome)
    {
    case operation_outcome::done:
        return "done";
    case operation_outcome::refused:
        return "refused";
    case operation_outcome::unknown:
        break;
    }
    return "unknown";
}

} // namespace

void recorder::add(operation one)
{
    const std::lock_guard lock(mutex_);
    history_.operations.push_back(std::move(one));
}

history recorder::take()
{
    const std::lock_guard lock(mutex_);
    return std::move(history_);
}

std::vector<std::string> check_configuration(const history& run)
{
    problems wrong;
    const auto puts = of_kind(run, operation_kind::put);
    const auto reads = of_kind(run, operation_kind::read);
    check_replaced(puts, wrong);
    check_races(puts, wrong);
    check_real_time(puts, puts, "a put after a put", wrong);
    check_real_time(puts, reads, "a read after a put", wrong);
    check_real_time(reads, reads, "a read after a read", wrong);
    check_real_time(reads, puts, "a put after a read", wrong);
    return wrong;
}

std::vector<std::string> check_in_force(const history& run)
{
    problems wrong;
    std::map<std::string, std::vector<operation>> by_entry;
    for (const operation& one : of_kind(run, operation_kind::in_force))
        by_entry[one.name].push_back(one);
    for (const auto& [entry, seen] : by_entry)
        check_real_time(seen, seen, "in force at " + entry, wrong);
    return wrong;
}

std::vector<std::string> check_orders(const history& run)
{
    problems wrong;
    std::map<std::string, int> runs;
    for (const std::string& key : run.runs)
        ++runs[key];
    for (const auto& [key, count] : runs)
        if (count > 1)
            wrong.push_back(key + " ran " + std::to_string(count) + " times");
    std::map<std::string, std::vector<operation>> by_key;
    for (const operation& one : run.operations)
        if (one.kind == operation_kind::order)
            by_key[one.name].push_back(one);
    for (const auto& [key, sendings] : by_key)
    {
        std::set<std::string> answers;
        bool all_refused = true;
        for (const operation& one : sendings)
        {
            if (one.outcome == operation_outcome::done)
                answers.insert(one.answer);
            all_refused =
                all_refused && one.outcome == operation_outcome::refused;
        }
        if (answers.size() > 1)
            wrong.push_back(key + " has different answers");
        if (!answers.empty() && runs[key] == 0)
            wrong.push_back(key + " was answered and did not run");
        if (all_refused && runs[key] > 0)
            wrong.push_back(key + " was refused as not run, and ran");
    }
    return wrong;
}

void write(const history& run, const std::string& file)
{
    std::ofstream out(file);
    for (const operation& one : run.operations)
        out << one.called << ' ' << one.answered << ' ' << name_of(one.kind)
            << ' ' << name_of(one.outcome) << ' ' << one.expected << ' '
            << one.revision << ' ' << one.name << '\n';
    for (const std::string& key : run.runs)
        out << "run " << key << '\n';
}

} // namespace bergamotusher::tests
