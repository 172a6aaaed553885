#pragma once
// The type of decoded request bodies and stored records.

#include <nlohmann/json.hpp>

namespace cottonway {

using Json = nlohmann::json;

}  // namespace cottonway
