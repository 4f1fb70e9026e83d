// Fixture: a control node of a shared site in the test's process, on a real
// replica with real files. It is the only voter.
#pragma once

#include "base/clock.hpp"
#include "control/local_cluster.hpp"
#include "site/control_service.hpp"

#include <catch2/catch.hpp>

namespace control_tests
{

using namespace bergamotusher;

inline std::variant<site::configuration, failure>
parse_nothing(std::string_view)
{
    return site::configuration{};
}

/// A control node that is the only voter of its site.
class control_node
{
public:
    control_node(const std::string& folder, const std::string& address)
        : log_("n0", "control", {})
        , peers_(make_peers_duty(
              open_membership_options(parse_endpoint(address).value(), {})))
        , service_(loop_, service_options(address), parse_nothing, log_)
    {
        control_options options;
        options.self = {address};
        options.nodes = {{{address}, address, {}}};
        options.data_dir = folder;
        options.limits.every_member_votes = true;
        options.limits.wanted_voters = 1;
        control_ =
            make_control(options, service_.replicated_state_machine(), *peers_);
        service_.connect(*control_, *peers_);
        REQUIRE_FALSE(bergamotusher::start(*control_));
        REQUIRE_FALSE(bergamotusher::start(*peers_));
        service_.start();
    }

    ~control_node()
    {
        stop(*peers_);
        stop(*control_);
    }

    /// Opens the replica again in the running process, as after a disk that was
    /// full.
    void restart_replica()
    {
        stop(*control_);
        REQUIRE_FALSE(bergamotusher::start(*control_));
    }

    /// Whether the operator's change was acknowledged.
    bool replace(std::uint64_t version, const std::string& content)
    {
        return await(
            [&](const auto& done)
            {
                service_.replace(
                    version,
                    content,
                    [done](const std::optional<site::command_outcome>& outcome)
                    { done(outcome && !outcome->wrong); });
            });
    }

    /// The version that a reader gets; nothing if the node refuses to answer.
    std::optional<std::uint64_t> read_version() const
    {
        const auto state = service_.read();
        return state ? std::optional(state->version) : std::nullopt;
    }

    /// Entries that the replica has applied, whatever the service knows.
    std::uint64_t applied() const
    {
        return status_of(*control_).applied;
    }

    /// Runs the handlers that are due, and returns their number.
    std::size_t run_due_handlers()
    {
        loop_.restart();
        return loop_.poll();
    }

    void run_for(duration span)
    {
        loop_.restart();
        loop_.run_for(span);
    }

    void run_until_ready()
    {
        for (int i = 0; i < 500 && !service_.ready(); ++i)
            run_for(20ms);
        REQUIRE(service_.ready());
    }

    void run_until_leading()
    {
        for (int i = 0; i < 500 && metric("control_leads") != "1"; ++i)
            run_for(20ms);
        REQUIRE(metric("control_leads") == "1");
    }

    bool announce(const site::upstream& announcement)
    {
        return await([&](const auto& done)
                     { service_.announce(announcement, done); });
    }

    bool withdraw(
        const upstream_id& id, std::int64_t started_ms, std::uint64_t number)
    {
        return await([&](const auto& done)
                     { service_.withdraw(id, started_ms, number, done); });
    }

    /// Announces that each of the upstreams is gone, in one step of the loop.
    void withdraw_each(
        const std::vector<upstream_id>& ids,
        const site::control_service::acknowledgement& done)
    {
        for (const upstream_id& id : ids)
            service_.withdraw(id, 1000, 1, done);
    }

    /// The same; returns how many notices were acknowledged.
    std::size_t withdraw_all(const std::vector<upstream_id>& ids)
    {
        std::size_t answered = 0;
        std::size_t acknowledged = 0;
        withdraw_each(
            ids,
            [&](bool accepted)
            {
                ++answered;
                acknowledged += accepted ? 1 : 0;
            });
        for (int i = 0; i < 200 && answered < ids.size(); ++i)
            run_for(10ms);
        REQUIRE(answered == ids.size());
        return acknowledged;
    }

    std::string ready_upstreams()
    {
        run_for(300ms);
        return metric("upstreams_ready");
    }

private:
    static site::control_service_options
    service_options(const std::string& address)
    {
        site::control_service_options options;
        options.self = {address};
        options.seeds = {{address}};
        return options;
    }

    std::string metric(const std::string& name) const
    {
        const std::string metrics = service_.metrics();
        const std::string line = "\nbergamotusher_" + name + " ";
        const std::size_t at = metrics.find(line) + line.size();
        return metrics.substr(at, metrics.find('\n', at) - at);
    }

    template<class Call>
    bool await(const Call& call)
    {
        std::optional<bool> accepted;
        call([&](bool value) { accepted = value; });
        for (int i = 0; i < 200 && !accepted; ++i)
            run_for(10ms);
        REQUIRE(accepted);
        return *accepted;
    }

    boost::asio::io_context loop_{1};
    observe::decision_log log_;
    peers_duty_ptr peers_;
    site::control_service service_;
    control_handle control_;
};

} // namespace control_tests
