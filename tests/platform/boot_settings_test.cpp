// The settings file of the platform: a control node learns the failure domains
// of the deployment from it.
#include "boot_settings.hpp"

#include <catch2/catch.hpp>

using namespace bergamotusher;
using namespace bergamotusher::platform;

TEST_CASE("a control node knows the failure domains that its settings name")
{
    const std::string text = R"({
        "nodeName": "core-suva-1", "serves": ["controller", "registry"],
        "ip": "10.1.0.16", "zone": "suva", "region": "viti-levu",
        "zones": {"suva": "viti-levu", "nadi": "viti-levu"},
        "listen": {"controlPlane": "10.1.0.16:8229"},
        "internalPorts": [7600, 7615], "seedNodes": ["10.1.0.16:8229"],
        "dataDir": "/data"})";
    const auto settings = parse_boot_settings(text);
    REQUIRE(std::holds_alternative<boot_settings>(settings));
    CHECK(
        std::get<boot_settings>(settings).control.domains ==
        std::set<failure_domain>{{"nadi"}, {"suva"}});
}
