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

// Events can be added to a process's time line this much out of order, so each
// poll reads this span again.
constexpr std::int64_t reorder_window_ms = 2'000;

using event_key = std::pair<hybrid_time, node_id>;

event_key make_key(const event& value)
{
    return {value.at, value.node};
}

/// A process that is polled, and the query for its next events.
struct source
{
    endpoint address;
    observe::timeline_query query;
};

/// Outcome of one poll of all sources.
struct fetch_result
{
    std::vector<std::vector<event>> timelines;
    bool any_answered = false;
    exit_code problem = exit_code::unreachable;
};

std::vector<event> fetch_timeline(
    const source& from,
    const arguments& args,
    const command_context& context,
    fetch_result& fetched)
{
    arguments source_args = args;
    source_args.query = from.query;
    http_request request = request_of(source_args, "");
    request.token = context.token;
    const failover_result result =
        send_with_failover({from.address}, request, 1, context.send_request);
    if (!result.answer || !succeeded(*result.answer))
    {
        const exit_code code = report_failures(result, context.err);
        if (code == exit_code::request_failed)
            fetched.problem = code;
        return {};
    }
    fetched.any_answered = true;
    const auto json =
        nlohmann::json::parse(result.answer->body, nullptr, false);
    auto parsed = observe::parse_timeline(json);
    if (auto* events = std::get_if<std::vector<event>>(&parsed))
        return std::move(*events);
    context.err << "bergamotctl: " << from.address.host << ":"
                << from.address.port << ": " << std::get<failure>(parsed).detail
                << '\n';
    return {};
}

fetch_result fetch_all(
    const std::vector<source>& sources,
    const arguments& args,
    const command_context& context)
{
    fetch_result fetched;
    for (const source& each : sources)
        fetched.timelines.push_back(
            fetch_timeline(each, args, context, fetched));
    return fetched;
}

/// Sets the query of each source to start after its last event. If the answer
/// was not full, the query starts `reorder_window_ms` earlier, to get late
/// events too; if it was full, more events wait and there is no overlap.
void advance_queries(std::vector<source>& sources, const fetch_result& fetched)
{
    for (std::size_t i = 0; i < sources.size(); ++i)
    {
        const auto& events = fetched.timelines[i];
        observe::timeline_query& query = sources[i].query;
        if (events.empty())
            continue;
        hybrid_time since = events.back().at;
        if (events.size() < query.limit)
            since = {since.wall - reorder_window_ms, 0};
        query.since = std::max(query.since.value_or(since), since);
    }
}

void print_events(
    const std::vector<event>& events, const arguments& args, std::ostream& out)
{
    for (const event& value : events)
        if (args.json)
            out << observe::encode_event(value).dump() << '\n';
        else
            out << format_event(value);
    out.flush();
}

/// Removes events that were printed before, and adds the others to `printed`.
void remove_printed(std::vector<event>& events, std::set<event_key>& printed)
{
    const auto is_printed = [&printed](const event& value)
    {
        return !printed.insert(make_key(value)).second;
    };
    events.erase(
        std::remove_if(events.begin(), events.end(), is_printed), events.end());
}

/// Removes the keys of events that are too old to be returned by a later poll.
void prune_printed(
    std::set<event_key>& printed, const std::vector<source>& sources)
{
    hybrid_time oldest =
        printed.empty() ? hybrid_time{} : printed.rbegin()->first;
    for (const source& each : sources)
        oldest = std::min(oldest, each.query.since.value_or(hybrid_time{}));
    while (!printed.empty() && printed.begin()->first <= oldest)
        printed.erase(printed.begin());
}

} // namespace

std::vector<event> merge_timelines(std::vector<std::vector<event>> timelines)
{
    std::vector<event> merged;
    for (auto& timeline : timelines)
        std::move(timeline.begin(), timeline.end(), std::back_inserter(merged));
    std::stable_sort(merged.begin(), merged.end(), observe::sorts_before);
    const auto is_same_event = [](const event& left, const event& right)
    {
        return make_key(left) == make_key(right);
    };
    merged.erase(
        std::unique(merged.begin(), merged.end(), is_same_event), merged.end());
    return merged;
}

exit_code run_timeline(const arguments& args, const command_context& context)
{
    std::vector<source> sources;
    for (const endpoint& address : args.admins)
        sources.push_back({address, args.query});
    std::set<event_key> printed;
    for (;;)
    {
        fetch_result fetched = fetch_all(sources, args, context);
        if (!fetched.any_answered && !args.follow)
            return fetched.problem;
        advance_queries(sources, fetched);
        auto events = merge_timelines(std::move(fetched.timelines));
        remove_printed(events, printed);
        prune_printed(printed, sources);
        print_events(events, args, context.out);
        if (!args.follow || !context.pause(follow_interval))
            return exit_code::success;
    }
}

} // namespace bergamotusher::ctl
