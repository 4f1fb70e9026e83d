// Conversions between the messages of src/wire/site.proto and plain structs.
#pragma once

#include "site/site_state.hpp"
#include "site/upstream_directory.hpp"
#include "wire/site.pb.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bergamotusher::site
{

void write(wire::site::move_value& to, const version_move& from);
version_move read(const wire::site::move_value& from);

void write(wire::site::upstream_value& to, const upstream& from);
/// Returns nothing if the state is not a known `upstream_state`.
std::optional<upstream> read(const wire::site::upstream_value& from);

std::string encode_directory(const std::vector<upstream>& upstreams);
/// Returns nothing if the message cannot be parsed. Leaves out upstreams with
/// an unknown state.
std::optional<std::vector<upstream>> decode_directory(std::string_view bytes);

} // namespace bergamotusher::site
