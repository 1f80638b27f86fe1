// MessagePack bodies to and from JSON values, with bounds on the memory that a body can claim.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "bookkeeping/records.hpp"

namespace walkford::protocol {

// What a body may hold at most.
struct PackLimits {
    std::size_t bytes = std::size_t{64} * 1024;
    std::size_t items = std::size_t{64} * 1024;  // of one list or map
    std::size_t depth = 32;                      // of nested lists and maps
};

// Decodes a body. Nothing where it isn't exactly one well-formed value within the limits, or holds
// binary data or extensions. Never throws.
std::optional<Json> unpack(std::string_view body, const PackLimits& limits = {});
// Encodes a value as a body.
std::string pack(const Json& value);

}  // namespace walkford::protocol
