// Tests that an acknowledged departure of an upstream holds when every control
// node restarts: the control service on a real replica with real files.
#include "base/clock.hpp"
#include "control/local_cluster.hpp"
#include "site/control_service.hpp"

#include <catch2/catch.hpp>

using namespace bergamotusher;

namespace
{

std::variant<site::configuration, failure> parse_nothing(std::string_view)
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

site::upstream sample_upstream(std::uint64_t sequence)
{
    site::upstream value;
    value.id = {"u1"};
    value.service = {"desk"};
    value.address = "127.0.0.1:1";
    value.started_ms = 1000;
    value.sequence = sequence;
    return value;
}

} // namespace

// Guards against an upstream that is used again after an acknowledged
// departure, because a late announcement arrives after all nodes restarted.
TEST_CASE("an acknowledged departure holds when every control node restarts")
{
    const local_cluster::temporary_folder folder;
    const std::string address = local_cluster::free_address();
    auto node = std::make_unique<control_node>(folder.path, address);
    node->run_until_leading();
    const site::upstream late = sample_upstream(3);
    REQUIRE(node->announce(sample_upstream(2)));
    REQUIRE(node->ready_upstreams() == "1");
    const auto restart = [&]
    {
        node.reset();
        node = std::make_unique<control_node>(folder.path, address);
    };

    SECTION("of an upstream that is gone")
    {
        REQUIRE(node->withdraw({"u1"}, 1000, 4));
        CHECK(node->ready_upstreams() == "0");
        restart();

        SECTION("and the late announcement arrives at once")
        {
            node->announce(late);
            node->run_until_ready();
            CHECK(node->ready_upstreams() == "0");
        }
        SECTION("and the late announcement arrives afterwards")
        {
            node->run_until_ready();
            node->announce(late);
            CHECK(node->ready_upstreams() == "0");
        }
        SECTION("and a new incarnation is used")
        {
            node->run_until_ready();
            site::upstream started = sample_upstream(1);
            started.started_ms = 2000;
            node->announce(started);
            CHECK(node->ready_upstreams() == "1");
        }
    }
    SECTION("of an upstream whose notice does not name the incarnation")
    {
        REQUIRE(node->withdraw({"u1"}, 0, 0));
        restart();
        node->run_until_ready();
        node->announce(late);
        CHECK(node->ready_upstreams() == "0");

        SECTION("and a notice of an unknown upstream is not accepted")
        {
            CHECK_FALSE(node->withdraw({"u2"}, 0, 0));
        }
    }
    SECTION("of an upstream that drains")
    {
        site::upstream draining = sample_upstream(4);
        draining.state = site::upstream_state::draining;
        REQUIRE(node->announce(draining));
        CHECK(node->ready_upstreams() == "0");
        restart();
        node->run_until_ready();
        node->announce(late);
        CHECK(node->ready_upstreams() == "0");
        draining.sequence = 5;
        CHECK(node->announce(draining));
        CHECK(node->ready_upstreams() == "0");
    }
}
