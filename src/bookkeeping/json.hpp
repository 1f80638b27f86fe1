// The JSON type in which records are stored and messages decoded.
#pragma once

#include <nlohmann/json.hpp>

namespace walkford {

// A JSON value; its objects are sorted by key, so that equal values have equal bytes.
using Json = nlohmann::json;

}  // namespace walkford
