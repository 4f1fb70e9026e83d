#include "observe/ctl/timeline_command.hpp"

#include "observe/ctl/table.hpp"
#include "observe/event_json.hpp"
#include "observe/timeline_query.hpp"

#include <algorithm>
#include <iterator>
#include <ostream>
#include <set>
#include <utility>

namespace bergamotusher::ctl
{

namespace
{

constexpr duration follow_interval = 500ms;

// A process's events can reach its time line this much out of order.
constexpr std::int64_t overlap_ms = 2'000;

using event_key = std::pair<hybrid_time, node_id>;

event_key key_of(const event& value)
{
    return {value.at, value.node};
}

/// One process that is asked again and again.
struct source
{
    endpoint address;
    observe::timeline_query query;
};

/// What one reading of all sources gave.
struct reading
{
    std::vector<std::vector<event>> timelines;
    bool any_answered = false;
    exit_code problem = exit_code::unreachable;
};

std::vector<event> read_source(
    const source& from,
    const arguments& asked,
    const surroundings& world,
    reading& all)
{
    arguments one = asked;
    one.query = from.query;
    http_request request = request_of(one, "");
    request.token = world.token;
    const ask_result result = ask({from.address}, request, 1, world.attempt);
    if (!result.answer || !succeeded(*result.answer))
    {
        const exit_code code = report_failures(result, world.err);
        if (code == exit_code::refused)
            all.problem = code;
        return {};
    }
    all.any_answered = true;
    const auto json =
        nlohmann::json::parse(result.answer->body, nullptr, false);
    auto parsed = observe::parse_timeline(json);
    if (auto* events = std::get_if<std::vector<event>>(&parsed))
        return std::move(*events);
    world.err << "bergamotctl: " << from.address.host << ":"
              << from.address.port << ": " << std::get<failure>(parsed).detail
              << '\n';
    return {};
}

reading read_all(
    const std::vector<source>& sources,
    const arguments& asked,
    const surroundings& world)
{
    reading all;
    for (const source& each : sources)
        all.timelines.push_back(read_source(each, asked, world, all));
    return all;
}

/// Moves each source on to what is newer than its last event, with some
/// overlap unless there is more to read at once.
void advance(std::vector<source>& sources, const reading& read)
{
    for (std::size_t i = 0; i < sources.size(); ++i)
    {
        const auto& events = read.timelines[i];
        observe::timeline_query& query = sources[i].query;
        if (events.empty())
            continue;
        hybrid_time since = events.back().at;
        if (events.size() < query.limit)
            since = {since.wall - overlap_ms, 0};
        query.since = std::max(query.since.value_or(since), since);
    }
}

void print(
    const std::vector<event>& events, const arguments& asked, std::ostream& out)
{
    for (const event& value : events)
        if (asked.json)
            out << observe::encode_event(value).dump() << '\n';
        else
            out << format_event(value);
    out.flush();
}

/// Leaves out what was printed before.
void remove_seen(std::vector<event>& events, std::set<event_key>& seen)
{
    const auto known = [&seen](const event& value)
    {
        return !seen.insert(key_of(value)).second;
    };
    events.erase(
        std::remove_if(events.begin(), events.end(), known), events.end());
}

/// Forgets what no later reading can bring again.
void forget_old(std::set<event_key>& seen, const std::vector<source>& sources)
{
    hybrid_time oldest = seen.empty() ? hybrid_time{} : seen.rbegin()->first;
    for (const source& each : sources)
        oldest = std::min(oldest, each.query.since.value_or(hybrid_time{}));
    while (!seen.empty() && seen.begin()->first <= oldest)
        seen.erase(seen.begin());
}

} // namespace

std::vector<event> merge_timelines(std::vector<std::vector<event>> timelines)
{
    std::vector<event> merged;
    for (auto& timeline : timelines)
        std::move(timeline.begin(), timeline.end(), std::back_inserter(merged));
    std::stable_sort(merged.begin(), merged.end(), observe::sorts_before);
    const auto same = [](const event& left, const event& right)
    {
        return key_of(left) == key_of(right);
    };
    merged.erase(std::unique(merged.begin(), merged.end(), same), merged.end());
    return merged;
}

exit_code run_timeline(const arguments& asked, const surroundings& world)
{
    std::vector<source> sources;
    for (const endpoint& address : asked.admins)
        sources.push_back({address, asked.query});
    std::set<event_key> seen;
    for (;;)
    {
        reading read = read_all(sources, asked, world);
        if (!read.any_answered && !asked.follow)
            return read.problem;
        advance(sources, read);
        auto events = merge_timelines(std::move(read.timelines));
        remove_seen(events, seen);
        forget_old(seen, sources);
        print(events, asked, world.out);
        if (!asked.follow || !world.pause(follow_interval))
            return exit_code::done;
    }
}

} // namespace bergamotusher::ctl
