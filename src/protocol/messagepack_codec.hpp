// Converts MessagePack bodies to and from JSON values, and bounds the memory that a body can claim.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "bookkeeping/records.hpp"

namespace walkford::protocol {

// Limits on a body to decode.
struct UnpackLimits {
    std::size_t bytes = std::size_t{64} * 1024;
    std::size_t items = std::size_t{64} * 1024;  // in one list or map
    std::size_t depth = 32;                      // of nesting of lists and maps
};

// Decodes a body. Returns nothing if it isn't exactly one well-formed value within the limits, or
// if it contains binary data, extensions or map keys that are not strings. Never throws.
std::optional<Json> unpack(std::string_view body, const UnpackLimits& limits = {});
// Encodes a value as a body.
std::string pack(const Json& value);

}  // namespace walkford::protocol
