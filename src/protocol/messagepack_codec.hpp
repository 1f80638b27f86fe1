// Converts MessagePack bodies to and from JSON values, and bounds the memory that a body can claim.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "bookkeeping/records.hpp"

namespace walkford::protocol {

// What to do with text in a body that is not UTF-8.
enum class InvalidText : std::uint8_t {
    reject,   // the body is malformed
    replace,  // such bytes are replaced by U+FFFD
};

// Limits on a body to decode.
struct UnpackLimits {
    std::size_t bytes = std::size_t{64} * 1024;
    std::size_t items = std::size_t{64} * 1024;  // in one list or map
    std::size_t depth = 32;                      // of nesting of lists and maps
    InvalidText invalid_text = InvalidText::reject;
};

// Decodes a body. Returns nothing if it isn't exactly one well-formed value within the limits, or
// if it contains binary data, extensions or map keys that are not strings. All strings and map keys
// in the result are valid UTF-8. Never throws.
std::optional<Json> unpack(std::string_view body, const UnpackLimits& limits = {});
// Encodes a value as a body.
std::string pack(const Json& value);

}  // namespace walkford::protocol
