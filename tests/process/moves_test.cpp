// Version moves with real daemons and fake engines: a move to a good version
// completes, a move to a failing version is rolled back, also when the leader
// of the control nodes is killed during the move.
#include "harness/cluster.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <csignal>
#include <mutex>
#include <thread>

using namespace bergamotusher::tests;
using nlohmann::json;

namespace
{

constexpr unsigned engine_count = 6;

// Clients that send short requests without a pause, each first to one entry,
// from construction until `stop`.
class background_load
{
public:
    explicit background_load(cluster& system)
    {
        for (unsigned i = 0; i < client_count; ++i)
            threads_.emplace_back([this, &system, i] { run(system, i); });
    }
    ~background_load()
    {
        stop();
    }
    background_load(const background_load&) = delete;
    background_load& operator=(const background_load&) = delete;

    void stop()
    {
        stopping_ = true;
        for (std::thread& thread : threads_)
            if (thread.joinable())
                thread.join();
    }

    std::atomic<unsigned> succeeded{0};
    std::atomic<unsigned> failed{0};

    /// What the requests that failed got, a line each.
    std::string failures() const
    {
        const std::lock_guard lock(failures_mutex_);
        return failures_;
    }

private:
    void note_failure(const std::string& question, const client_response& got)
    {
        const std::lock_guard lock(failures_mutex_);
        failures_ += question + ": " + std::to_string(got.status) + ", \"" +
                     joined_text(got) + "\", " + got.error + '\n';
    }

    void run(cluster& system, unsigned client_index)
    {
        for (unsigned question_number = 0; !stopping_; ++question_number)
        {
            const std::string question = "q " + std::to_string(client_index) +
                                         " " + std::to_string(question_number);
            const auto answer = stream_completion(
                system.entries(1 + client_index % 3),
                cluster::key,
                question,
                6);
            const bool complete =
                answer.done && joined_text(answer) == expected_text(6);
            ++(complete ? succeeded : failed);
            if (!complete)
                note_failure(question, answer);
        }
    }

    static constexpr unsigned client_count = 12;
    std::atomic<bool> stopping_{false};
    mutable std::mutex failures_mutex_;
    std::string failures_;
    std::vector<std::thread> threads_;
};

// Returns the newest version move that the node knows; an empty object if there
// is none.
json latest_move(cluster& system, unsigned node)
{
    const json response = json::parse(
        system.send_admin_request(node, "GET", "/v1/moves").body,
        nullptr,
        false);
    if (!response.is_object() || response.value("moves", json::array()).empty())
        return json::object();
    return response["moves"].back();
}

bool has_ended(const json& move)
{
    const std::string phase = move.value("state", "");
    return phase == "completed" || phase == "taken_back";
}

void start_move(
    cluster& system, const std::string& version, int deadline_seconds)
{
    const auto answer = system.send_admin_request(
        1,
        "POST",
        "/v1/moves",
        json{
            {"service", "assistant-llm"},
            {"version", version},
            {"within_s", deadline_seconds}}
            .dump(),
        {{"Idempotency-Key", "move-" + version}});
    INFO(answer.body);
    REQUIRE(answer.status < 300);
}

} // namespace

TEST_CASE("a version move completes or is rolled back without failed requests")
{
    cluster system;
    for (unsigned i = 0; i < engine_count; ++i)
        system.start_engine(
            "engine-" + std::to_string(i + 1),
            {std::string("--domain=") + (i % 3 == 0   ? "suva"
                                         : i % 3 == 1 ? "nadi"
                                                      : "lautoka"),
             "--fail-version=bad"});
    background_load load(system);

    SECTION("a move to a good version completes within its deadline")
    {
        start_move(system, "good", 120);
        CHECK(cluster::wait_until(
            [&] { return has_ended(latest_move(system, 1)); }, 125));
        CHECK(latest_move(system, 1).value("state", "") == "completed");
    }
    SECTION("a move to a version that fails every request is rolled back")
    {
        start_move(system, "bad", 60);
        CHECK(cluster::wait_until(
            [&] { return has_ended(latest_move(system, 1)); }, 70));
        CHECK(latest_move(system, 1).value("state", "") == "taken_back");
    }
    SECTION(
        "a move to a failing version is rolled back after the leader is killed")
    {
        start_move(system, "bad", 60);
        system.node(0).kill();
        CHECK(cluster::wait_until(
            [&] { return has_ended(latest_move(system, 1)); }, 70));
        CHECK(latest_move(system, 1).value("state", "") == "taken_back");
    }
    load.stop();
    CHECK(load.succeeded > 100);
    INFO(load.failures());
    CHECK(load.failed == 0);
}
