// The keys that the processes of one cluster share to encrypt and authenticate
// their connections.
#pragma once

#include <bergamotusher/error_kind.hpp>

#include <cstddef>
#include <string>
#include <variant>

namespace bergamotusher
{

/// Length of a key as Z85 text.
inline constexpr std::size_t z85_key_size = 40;

/// The cluster's CURVE key pair, Z85 text of 40 characters each.
struct peer_keys
{
    std::string public_key;
    std::string secret_key;
};

/// Reads a key file: the secret key in Z85, alone on the first line. Error:
/// `invalid_setting`.
std::variant<peer_keys, failure> read_peer_keys(const std::string& path);

/// The key pair whose secret key is `secret`. Error: `invalid_setting`.
std::variant<peer_keys, failure> parse_peer_keys(const std::string& secret);

} // namespace bergamotusher
