// Measures the cost of event recording, metrics and dissemination: time, memory
// and bytes of each part, one line each. Takes no arguments and starts no
// processes.
#include "base/clock.hpp"
#include "daemon/events_duty.hpp"
#include "dissemination/relay.hpp"
#include "dissemination/subset.hpp"
#include "dissemination/tree.hpp"
#include "observe/event_json.hpp"

#include <chrono>
#include <cstdio>
#include <filesystem>
#include <malloc.h>
#include <string>
#include <thread>
#include <unistd.h>

using namespace bergamotusher;

namespace
{

constexpr std::size_t recorded_event_count = 400'000;
constexpr std::size_t region_entries = 68;
constexpr std::size_t region_upstreams = 833;
constexpr std::size_t domains_per_region = 3;
constexpr std::size_t regions = 6;

void print(const char* label, double value, const char* unit)
{
    std::printf("%-52s %12.3f %s\n", label, value, unit);
}

double wall_clock_us()
{
    using namespace std::chrono;
    return static_cast<double>(duration_cast<nanoseconds>(
                                   steady_clock::now().time_since_epoch())
                                   .count()) /
           1e3;
}

double processor_time_us()
{
    return static_cast<double>(process_processor_time().count());
}

/// Returns the mean duration of one call of `work`, in microseconds.
template<class Work>
double mean_microseconds(std::size_t repetitions, Work work)
{
    const double start_us = wall_clock_us();
    for (std::size_t i = 0; i < repetitions; ++i)
        work(i);
    return (wall_clock_us() - start_us) / static_cast<double>(repetitions);
}

event typical_event(std::size_t number)
{
    event value;
    value.kind = event_kind::attempt_dispatched;
    value.request.value = "entry-17-0000018c5f-" + std::to_string(number);
    value.attempt.value = value.request.value + "-1";
    value.target.value = "assistant-llm-instance-0421";
    return value;
}

/// Measures the processor time per event. Records events on this thread while
/// the worker thread of the duty takes them from the queue, waits when the
/// queue is full, and stops after the duty has taken all of them.
void measure_duty(const char* label, std::optional<std::string> directory)
{
    observe::process_clock clock;
    events_options options;
    options.node.value = "entry-17";
    if (directory)
        options.files = observe::event_file_options{*directory};
    events_duty duty(options, clock);
    duty.start();
    events_port& port = duty.port("bench");
    const double start_us = processor_time_us();
    std::size_t retry_count = 0;
    for (std::size_t i = 0; i < recorded_event_count; ++i)
        while (!port.record(typical_event(i)))
        {
            ++retry_count;
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
    duty.stop();
    const double elapsed_us = processor_time_us() - start_us;
    print(
        label,
        elapsed_us / static_cast<double>(recorded_event_count),
        "us CPU");
}

void measure_events()
{
    observe::process_clock clock;
    print(
        "hybrid timestamp",
        mean_microseconds(1'000'000, [&](std::size_t) { clock.next(); }),
        "us");
    measure_duty("event, recorded and kept in memory", std::nullopt);
    const auto directory = std::filesystem::temp_directory_path() /
                           ("event_bench_" + std::to_string(getpid()));
    measure_duty("event, recorded and written to disk", directory.string());
    std::filesystem::remove_all(directory);
    event value = typical_event(1);
    value.at = clock.next();
    value.node.value = "entry-17";
    const auto bytes = observe::encode_event(value).dump().size() + 1;
    print("event on disk", static_cast<double>(bytes), "bytes");
}

void measure_timeline()
{
    constexpr std::size_t capacity = 16'384;
    const auto bytes_before = mallinfo2().uordblks + mallinfo2().hblkhd;
    observe::timeline store(capacity);
    for (std::size_t i = 0; i < capacity; ++i)
        append(store, typical_event(i));
    const auto used_bytes =
        mallinfo2().uordblks + mallinfo2().hblkhd - bytes_before;
    print(
        "full ring of 16,384 events",
        static_cast<double>(used_bytes) / (1 << 20),
        "MB");
    observe::timeline_query query;
    query.request = typical_event(capacity / 2).request;
    print(
        "query of the full ring by request",
        mean_microseconds(100, [&](std::size_t) { select(store, query); }),
        "us");
}

observe::counters make_counters(std::size_t series)
{
    observe::counters totals;
    for (std::size_t i = 0; i < series; ++i)
    {
        observe::request_observed observation;
        observation.service.value = "assistant-llm";
        observation.work_class.value = "class-" + std::to_string(i % 5);
        observation.version.value = "version-" + std::to_string(i / 5);
        observation.first_token = 300ms;
        observation.token_gap = 30ms;
        observation.total = 4s;
        count(totals, observation);
    }
    return totals;
}

void measure_counters()
{
    constexpr std::size_t series = 20;
    const auto bytes_before = mallinfo2().uordblks + mallinfo2().hblkhd;
    observe::counters totals = make_counters(series);
    const auto used_bytes =
        mallinfo2().uordblks + mallinfo2().hblkhd - bytes_before;
    print(
        "counters of one class and version",
        static_cast<double>(used_bytes) / series / 1024,
        "KB");
    observe::request_observed observation;
    observation.service.value = "assistant-llm";
    observation.work_class.value = "class-1";
    observation.version.value = "version-1";
    observation.token_gap = 30ms;
    print(
        "request counted",
        mean_microseconds(
            200'000,
            [&](std::size_t i)
            {
                observation.first_token =
                    duration(100'000 + (i * 7'919) % 900'000);
                observation.total = observation.first_token;
                count(totals, observation);
            }),
        "us");
    std::string text;
    print(
        "metrics of 20 classes and versions",
        mean_microseconds(
            200, [&](std::size_t) { text = prometheus_text(totals); }),
        "us");
    print("  their text", static_cast<double>(text.size()) / 1024, "KB");
}

std::vector<dissemination::entry_member>
make_entries(std::size_t count, std::size_t region_count)
{
    std::vector<dissemination::entry_member> entries;
    for (std::size_t i = 0; i < count; ++i)
    {
        const std::string region = "region-" + std::to_string(i % region_count);
        const std::string domain =
            region + "-" +
            std::to_string(i / region_count % domains_per_region);
        entries.push_back(
            {{"entry-" + std::to_string(i)}, {{region}, {domain}}});
    }
    return entries;
}

void measure_subsets()
{
    const auto entries = make_entries(region_entries, 1);
    std::vector<dissemination::upstream_member> upstreams;
    for (std::size_t i = 0; i < region_upstreams; ++i)
        upstreams.push_back(
            {{"worker-" + std::to_string(i)},
             entries[i % domains_per_region].at});
    print(
        "entries that an upstream announces to, chosen of 68",
        mean_microseconds(
            20'000,
            [&](std::size_t i)
            {
                choose_announcement_targets(
                    upstreams[i % upstreams.size()], upstreams.size(), entries);
            }),
        "us");
    std::size_t total = 0;
    const double elapsed_us = mean_microseconds(
        entries.size(),
        [&](std::size_t i)
        { total += subset_for(entries[i], entries, upstreams).size(); });
    print("subset of one entry, of 833 upstreams", elapsed_us, "us");
    print(
        "  its mean size",
        static_cast<double>(total) / static_cast<double>(entries.size()),
        "upstreams");
}

/// Returns the bytes of the node ids in a subtree, which a message that is
/// relayed along the tree has in addition to the update itself.
std::size_t id_bytes(const dissemination::tree_node& node)
{
    constexpr std::size_t framing = 4;
    std::size_t bytes = node.id.value.size() + framing;
    for (const auto& child : node.children)
        bytes += id_bytes(child);
    return bytes;
}

void measure_tree(std::size_t nodes)
{
    const auto entries = make_entries(nodes, nodes <= 8 ? 1 : regions);
    const node_id root = entries.front().id;
    dissemination::tree_node tree;
    const double elapsed_us = mean_microseconds(
        200, [&](std::size_t) { tree = build_tree(root, entries); });
    std::printf("tree over %zu entries:\n", nodes);
    print("  built in", elapsed_us, "us");
    print("  height", static_cast<double>(height_of(tree)), "hops");
    print("  sent to by the root", tree.children.size(), "entries");
    print("  bytes of ids the root sends a round", id_bytes(tree), "bytes");
    print(
        "  bytes of ids a region's head gets a round",
        id_bytes(tree.children.front()),
        "bytes");
    dissemination::relay_state node;
    node.self = tree.children.front().id;
    std::uint64_t round = 0;
    print(
        "  a head takes a round and passes it on",
        mean_microseconds(
            2'000,
            [&](std::size_t)
            {
                ++round;
                on_message(
                    node,
                    root,
                    dissemination::round_message{
                        {1, round}, round - 1, round, tree.children.front()},
                    time_point{});
            }),
        "us");
}

} // namespace

int main()
{
    measure_events();
    measure_timeline();
    measure_counters();
    measure_subsets();
    for (const std::size_t nodes : {4, 64, 128, 256, 410})
        measure_tree(nodes);
    return 0;
}
