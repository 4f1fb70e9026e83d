#include "base/clock.hpp"
#include "daemon/peers_duty.hpp"

namespace bergamotusher
{

peers_options open_membership_options(
    const endpoint& address, const std::optional<endpoint>& bind)
{
    // An unresponsive peer is detected within 1.5 s, well before an operator or
    // an upstream tries another node.
    constexpr duration ping = 700ms;
    constexpr duration ping_timeout = 1500ms;
    constexpr duration connect_timeout = 1000ms;
    constexpr duration handshake_timeout = 1500ms;
    peers_options options;
    options.self.value = to_string(address);
    options.incarnation =
        static_cast<std::uint64_t>(time_of_day().milliseconds);
    options.address = to_string(bind.value_or(address));
    options.open_membership = true;
    options.timing = {ping, ping_timeout, connect_timeout, handshake_timeout};
    return options;
}

} // namespace bergamotusher
