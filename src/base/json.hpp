#pragma once
// The value that bodies of requests and stored records are decoded to.

#include <nlohmann/json.hpp>

namespace cottonway {

using Json = nlohmann::json;

}  // namespace cottonway
