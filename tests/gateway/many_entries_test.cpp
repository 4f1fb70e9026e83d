// Many entries send short requests to three upstreams, played without a
// network: each entry hears of an upstream only by its own answers.
#include "base/hash.hpp"
#include "gateway/placement.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <vector>

using namespace bergamotusher;
using namespace bergamotusher::gateway;

namespace
{

constexpr time_point start{1000s};
constexpr std::uint32_t slots = 6;
constexpr std::size_t upstream_count = 3;
constexpr duration target = 150ms;
constexpr duration timeout = 800ms;
constexpr duration one_way = 2ms;
constexpr duration tick = 100ms;

struct played_request
{
    std::size_t entry = 0;
    std::size_t upstream = 0;
    time_point began;
    time_point sent;
    duration work{};
    std::uint32_t ahead = 0;
    bool fails = false;
    answer_metadata::load load;
};

struct entry
{
    std::vector<std::unique_ptr<upstream_view>> views;
    std::vector<upstream_view*> all;
    std::deque<played_request> waiting;
};

struct server
{
    std::uint32_t running = 0;
    std::deque<played_request> queue;
    std::uint32_t served = 0;
};

enum class step
{
    arrives,
    reaches_upstream,
    is_done,
    is_answered,
    tick
};

struct event
{
    time_point at;
    std::uint64_t number;
    step what;
    played_request request;
    bool operator>(const event& other) const
    {
        return std::tie(at, number) > std::tie(other.at, other.number);
    }
};

/// `entries` entries and the upstreams. Arrivals come in clumps.
class played_day
{
public:
    explicit played_day(std::size_t entries) : entries_(entries)
    {
        for (entry& each : entries_)
            for (std::size_t i = 0; i < upstream_count; ++i)
            {
                auto view = std::make_unique<upstream_view>();
                view->value.id = {"u" + std::to_string(i)};
                view->value.slots = slots;
                view->id_hash = hash_of(view->value.id.value);
                each.all.push_back(view.get());
                each.views.push_back(std::move(view));
            }
        for (std::size_t i = 0; i < entries; ++i)
        {
            played_request of_entry;
            of_entry.entry = i;
            add(start + tick * i / entries, step::tick, of_entry);
        }
    }

    void play(double per_s, double failing_share, duration length)
    {
        std::exponential_distribution<double> gap(per_s / clump);
        time_point at = start;
        while (at < start + length)
        {
            at += from_seconds(gap(random_));
            for (int i = 0; i < clump; ++i)
            {
                played_request request;
                request.entry = random_() % entries_.size();
                request.began = at;
                request.work = from_seconds(
                    std::lognormal_distribution<double>(-3.6, 0.45)(random_));
                request.fails = std::uniform_real_distribution<double>()(
                                    random_) < failing_share;
                add(at, step::arrives, request);
                ++asked;
            }
        }
        while (!events_.empty() && events_.top().at < start + length + 1s)
        {
            event next = events_.top();
            events_.pop();
            now_ = next.at;
            take(next);
        }
    }

    double in_target() const
    {
        return asked > 0 ? double(in_time) / asked : 0;
    }
    double busiest_share() const
    {
        double most = 0;
        double all = 0;
        for (const server& each : servers_)
        {
            most = std::max<double>(most, each.served);
            all += each.served;
        }
        return most / all * upstream_count;
    }

    std::uint32_t asked = 0;
    std::uint32_t in_time = 0;

private:
    static constexpr int clump = 3;

    void add(time_point at, step what, const played_request& request)
    {
        events_.push({at, number_++, what, request});
    }

    void take(event& next)
    {
        played_request& request = next.request;
        entry& at = entries_[request.entry];
        server& server = servers_[request.upstream];
        switch (next.what)
        {
        case step::arrives:
            if (!send(request))
                at.waiting.push_back(request);
            return;
        case step::reaches_upstream:
            server.queue.push_back(request);
            return run_next(server);
        case step::is_done:
            --server.running;
            ++server.served;
            request.load = {
                server.running,
                static_cast<std::uint32_t>(server.queue.size()),
                slots};
            add(now_ + one_way, step::is_answered, request);
            return run_next(server);
        case step::is_answered:
            answered(at, request);
            return send_waiting(at);
        case step::tick:
            send_waiting(at);
            return add(now_ + tick, step::tick, request);
        }
    }

    void run_next(server& server)
    {
        while (server.running < slots && !server.queue.empty())
        {
            ++server.running;
            const played_request request = server.queue.front();
            server.queue.pop_front();
            add(now_ + request.work, step::is_done, request);
        }
    }

    void answered(entry& at, const played_request& request)
    {
        upstream_view& view = *at.views[request.upstream];
        const double latency_ms = to_seconds(now_ - request.sent) * 1'000;
        record_answer(options_, view, request.load, now_);
        record_plain_answer(
            options_, view, latency_ms, request.ahead, request.fails, now_);
        --view.own_running;
        in_time += now_ - request.began <= target ? 1 : 0;
    }

    void send_waiting(entry& at)
    {
        while (!at.waiting.empty())
        {
            const bool is_over = now_ - at.waiting.front().began >= timeout;
            if (!is_over && !send(at.waiting.front()))
                return;
            at.waiting.pop_front();
        }
    }

    bool send(played_request request)
    {
        const std::set<upstream_id> tried;
        entry& at = entries_[request.entry];
        placement_request placement;
        placement.tried = &tried;
        placement.target_latency = target;
        placement.limits.seat = {
            static_cast<std::uint32_t>(request.entry),
            static_cast<std::uint32_t>(entries_.size())};
        const placement_choice choice =
            select_upstream(options_, at.all, placement, {}, now_);
        if (choice.upstream == nullptr)
            return false;
        request.upstream = static_cast<std::size_t>(
            std::find(at.all.begin(), at.all.end(), choice.upstream) -
            at.all.begin());
        request.sent = now_;
        request.ahead = choice.running;
        ++choice.upstream->own_running;
        add(now_ + one_way, step::reaches_upstream, request);
        return true;
    }

    placement_options options_;
    std::vector<entry> entries_;
    std::vector<server> servers_{upstream_count};
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::mt19937 random_{7};
    std::uint64_t number_ = 0;
    time_point now_ = start;
};

} // namespace

TEST_CASE("short requests of many entries spread over few upstreams in time")
{
    const std::size_t entries = GENERATE(4, 30, 100);
    CAPTURE(entries);
    played_day day(entries);

    SECTION("at half of what the upstreams can do")
    {
        day.play(300, 0, 10s);
        CHECK(day.in_target() > 0.97);
        CHECK(day.busiest_share() < 1.2);
    }
    SECTION("near all that they can do")
    {
        day.play(430, 0, 10s);
        CHECK(day.in_target() > 0.85);
        CHECK(day.busiest_share() < 1.2);
    }
    SECTION("if some requests fail wherever they run")
    {
        day.play(300, 0.14, 10s);
        CHECK(day.in_target() > 0.97);
        CHECK(day.busiest_share() < 1.2);
    }
}

TEST_CASE("an upstream that loses each request is left out for a while")
{
    placement_options options;
    upstream_view bad;
    bad.value.slots = slots;
    upstream_view full = bad;
    full.own_running = slots;
    const std::vector<upstream_view*> both{&bad, &full};
    const std::set<upstream_id> tried;
    placement_request request;
    request.tried = &tried;
    record_loss(options, bad, start, start + 5ms);

    SECTION("one event that takes several requests counts once")
    {
        record_loss(options, bad, start + 1ms, start + 6ms);
        CHECK(
            select_upstream(options, both, request, {}, start + 7ms).upstream ==
            &bad);
    }
    SECTION("after a second loss requests wait for the one that is full")
    {
        record_loss(options, bad, start + 6ms, start + 8ms);
        const auto choice =
            select_upstream(options, both, request, {}, start + 9ms);
        CHECK(choice.upstream == nullptr);
        CHECK(choice.all_full);
    }
}
