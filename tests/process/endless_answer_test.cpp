// Guards against an upstream that sends bytes without end: the entry kept all
// of them until it ran out of memory, and the requests of other callers ended
// with it.
#include "base/digest.hpp"
#include "common/endless_answer.hpp"
#include "harness/cluster.hpp"
#include "harness/memory.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <mutex>
#include <thread>

using namespace bergamotusher::tests;

namespace
{

constexpr unsigned callers_per_kind = 10;
constexpr unsigned sound_callers = 6;
constexpr int sound_requests_per_s = 1'000'000;

client_response
get(const cluster& system, const std::string& key, const std::string& path)
{
    client_request request;
    request.address = system.entry(0);
    request.path = path;
    request.key = key;
    request.seconds = 60;
    return send_request(request);
}

} // namespace

TEST_CASE("upstreams that send bytes without end do not end an entry or the "
          "requests of other callers")
{
    cluster system(1);
    system.put(
        "/v1/config/classes/brief",
        R"({"first_token_ms":1600,"deadline_ms":5000})");
    system.put(
        "/v1/config/services/endless-desk",
        R"({"kind":"plain","default_class":"brief"})");
    // Sound callers send without a pause, and must not meet their own limit.
    system.put(
        "/v1/config/accounts/binder",
        nlohmann::json{
            {"key_digest", bergamotusher::sha256_hex(cluster::key)},
            {"requests_per_second", sound_requests_per_s},
            {"tokens_per_second", 10'000'000}}
            .dump());
    system.start_desk("desk-1");
    system.start_desk("endless-1", {"--service=endless-desk"});
    system.start_desk("endless-2", {"--service=endless-desk"});
    limit_memory(system.node(0).id());

    std::mutex mutex;
    std::vector<std::string> faults;
    std::atomic<unsigned> endless_open{0};
    std::atomic<unsigned> sound_answers{0};
    std::vector<std::thread> callers;
    for (const auto& kind : bergamotusher::fakes::endless_answers(""))
        for (unsigned i = 0; i < callers_per_kind; ++i)
        {
            ++endless_open;
            callers.emplace_back(
                [&, name = kind.name]
                {
                    const auto answer =
                        get(system,
                            cluster::other_key,
                            "/v1/services/endless-desk/endless/" + name);
                    --endless_open;
                    const std::lock_guard lock(mutex);
                    if (answer.status < 500)
                        faults.push_back(
                            name + " answered " +
                            std::to_string(answer.status));
                });
        }
    for (unsigned i = 0; i < sound_callers; ++i)
        callers.emplace_back(
            [&]
            {
                while (endless_open > 0)
                {
                    const auto answer = get(
                        system, cluster::key, "/v1/services/order-desk/status");
                    ++sound_answers;
                    const std::lock_guard lock(mutex);
                    if (answer.status != 200 || !answer.complete)
                        faults.push_back(
                            "a sound request answered " +
                            std::to_string(answer.status) + " " + answer.error);
                }
            });
    for (std::thread& each : callers)
        each.join();
    for (const std::string& fault : faults)
        UNSCOPED_INFO(fault);
    CHECK(faults.empty());
    CHECK(sound_answers > 0);
    REQUIRE(system.node(0).running());
    CHECK(peak_memory(system.node(0).id()) < entry_memory);
}
