// The JSON type in which records are stored and messages decoded.
#pragma once

#include <nlohmann/json.hpp>

namespace walkford {

// A JSON value. Its objects are sorted by key, so that equal values are serialised to equal bytes.
using Json = nlohmann::json;

}  // namespace walkford
