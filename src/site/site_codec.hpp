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
/// Nothing if the state is not one that is known.
std::optional<upstream> read(const wire::site::upstream_value& from);

std::string encode_directory(const std::vector<upstream>& upstreams);
/// Nothing if the message cannot be read.
std::optional<std::vector<upstream>> decode_directory(std::string_view bytes);

} // namespace bergamotusher::site
