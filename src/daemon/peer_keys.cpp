#include "daemon/peer_keys.hpp"

#include <zmq.h>

#include <fstream>

namespace bergamotusher
{

std::variant<peer_keys, failure> parse_peer_keys(const std::string& secret)
{
    char text[z85_key_size + 1] = {};
    if (secret.size() != z85_key_size ||
        zmq_curve_public(text, secret.c_str()) != 0)
        return failure{
            error_kind::invalid_setting,
            "the peer key must be 40 characters of Z85"};
    return peer_keys{text, secret};
}

std::variant<peer_keys, failure> read_peer_keys(const std::string& path)
{
    std::ifstream file(path);
    std::string secret;
    if (!std::getline(file, secret))
        return failure{
            error_kind::invalid_setting, "cannot read the key file " + path};
    return parse_peer_keys(secret);
}

} // namespace bergamotusher
