// What observing and disseminating cost: time, memory and bytes of the parts,
// one line each. Takes no arguments; starts no process.
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
#include <sys/resource.h>
#include <thread>
#include <unistd.h>

using namespace bergamotusher;

namespace
{

constexpr std::size_t events_recorded = 400'000;
constexpr std::size_t region_entries = 68;
constexpr std::size_t region_upstreams = 833;
constexpr std::size_t domains_per_region = 3;
constexpr std::size_t regions = 6;

void print(const char* what, double value, const char* unit)
{
    std::printf("%-52s %12.3f %s\n", what, value, unit);
}

double wall_us()
{
    using namespace std::chrono;
    return static_cast<double>(duration_cast<nanoseconds>(
                                   steady_clock::now().time_since_epoch())
                                   .count()) /
           1e3;
}

/// Processor time of the whole process, in microseconds.
double process_us()
{
    rusage used{};
    getrusage(RUSAGE_SELF, &used);
    const auto us = [](const timeval& time)
    {
        return static_cast<double>(time.tv_sec) * 1e6 + time.tv_usec;
    };
    return us(used.ru_utime) + us(used.ru_stime);
}

/// Mean microseconds of one call of `work`.
template<class Work>
double time_of(std::size_t times, Work work)
{
    const double begun = wall_us();
    for (std::size_t i = 0; i < times; ++i)
        work(i);
    return (wall_us() - begun) / static_cast<double>(times);
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

/// Records events from a second thread, so that the ring is never full for
/// long, and waits until the duty has taken them all.
void measure_duty(const char* what, std::optional<std::string> folder)
{
    observe::process_clock clock;
    events_options options;
    options.node.value = "entry-17";
    if (folder)
        options.files = observe::event_file_options{*folder};
    events_duty duty(options, clock);
    duty.start();
    events_port& port = duty.port("bench");
    const double begun = process_us();
    std::size_t retried = 0;
    for (std::size_t i = 0; i < events_recorded; ++i)
        while (!port.record(typical_event(i)))
        {
            ++retried;
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
    duty.stop();
    const double spent = process_us() - begun;
    print(what, spent / static_cast<double>(events_recorded), "us CPU");
}

void measure_events()
{
    observe::process_clock clock;
    print(
        "hybrid timestamp",
        time_of(1'000'000, [&](std::size_t) { clock.next(); }),
        "us");
    measure_duty("event, recorded and kept in memory", std::nullopt);
    const auto folder = std::filesystem::temp_directory_path() /
                        ("event_bench_" + std::to_string(getpid()));
    measure_duty("event, recorded and written to disk", folder.string());
    std::filesystem::remove_all(folder);
    event value = typical_event(1);
    value.at = clock.next();
    value.node.value = "entry-17";
    const auto bytes = observe::encode_event(value).dump().size() + 1;
    print("event on disk", static_cast<double>(bytes), "bytes");
}

void measure_ring()
{
    constexpr std::size_t capacity = 16'384;
    const auto before = mallinfo2().uordblks + mallinfo2().hblkhd;
    observe::timeline store(capacity);
    for (std::size_t i = 0; i < capacity; ++i)
        append(store, typical_event(i));
    const auto used = mallinfo2().uordblks + mallinfo2().hblkhd - before;
    print(
        "full ring of 16,384 events",
        static_cast<double>(used) / (1 << 20),
        "MB");
    observe::timeline_query query;
    query.request = typical_event(capacity / 2).request;
    print(
        "query of the full ring by request",
        time_of(100, [&](std::size_t) { select(store, query); }),
        "us");
}

observe::counters busy_counters(std::size_t series)
{
    observe::counters all;
    for (std::size_t i = 0; i < series; ++i)
    {
        observe::request_observed one;
        one.service.value = "assistant-llm";
        one.work_class.value = "class-" + std::to_string(i % 5);
        one.version.value = "version-" + std::to_string(i / 5);
        one.first_token = 300ms;
        one.token_gap = 30ms;
        one.total = 4s;
        count(all, one);
    }
    return all;
}

void measure_counters()
{
    constexpr std::size_t series = 20;
    const auto before = mallinfo2().uordblks + mallinfo2().hblkhd;
    observe::counters all = busy_counters(series);
    const auto used = mallinfo2().uordblks + mallinfo2().hblkhd - before;
    print(
        "counters of one class and version",
        static_cast<double>(used) / series / 1024,
        "KB");
    observe::request_observed one;
    one.service.value = "assistant-llm";
    one.work_class.value = "class-1";
    one.version.value = "version-1";
    one.token_gap = 30ms;
    print(
        "request counted",
        time_of(
            200'000,
            [&](std::size_t i)
            {
                one.first_token = duration(100'000 + (i * 7'919) % 900'000);
                one.total = one.first_token;
                count(all, one);
            }),
        "us");
    std::string text;
    print(
        "metrics of 20 classes and versions",
        time_of(200, [&](std::size_t) { text = prometheus_text(all); }),
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
        time_of(
            20'000,
            [&](std::size_t i) {
                announced_to(
                    upstreams[i % upstreams.size()], upstreams.size(), entries);
            }),
        "us");
    std::size_t total = 0;
    const double spent = time_of(
        entries.size(),
        [&](std::size_t i)
        { total += subset_for(entries[i], entries, upstreams).size(); });
    print("subset of one entry, of 833 upstreams", spent, "us");
    print(
        "  its mean size",
        static_cast<double>(total) / static_cast<double>(entries.size()),
        "upstreams");
}

/// The bytes of the ids that a part of the tree names: what a spread message
/// adds to the change itself.
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
    const double spent =
        time_of(200, [&](std::size_t) { tree = build_tree(root, entries); });
    std::printf("tree over %zu entries:\n", nodes);
    print("  built in", spent, "us");
    print("  height", static_cast<double>(height_of(tree)), "hops");
    print("  sent to by the root", tree.children.size(), "entries");
    print("  bytes of ids the root sends a round", id_bytes(tree), "bytes");
    print(
        "  bytes of ids a region's head gets a round",
        id_bytes(tree.children.front()),
        "bytes");
    dissemination::relay node;
    node.self = tree.children.front().id;
    std::uint64_t round = 0;
    print(
        "  a head takes a round and passes it on",
        time_of(
            2'000,
            [&](std::size_t)
            {
                ++round;
                on_message(
                    node,
                    root,
                    dissemination::spread{
                        {1, round}, round - 1, round, tree.children.front()},
                    time_point{});
            }),
        "us");
}

} // namespace

int main()
{
    measure_events();
    measure_ring();
    measure_counters();
    measure_subsets();
    for (const std::size_t nodes : {4, 64, 128, 256, 410})
        measure_tree(nodes);
    return 0;
}
