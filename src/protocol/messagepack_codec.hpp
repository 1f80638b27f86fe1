// MessagePack bodies to and from plain values, with bounds on what a body may make us hold.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "bookkeeping/records.hpp"

namespace walkford::protocol {

struct PackLimits {
    std::size_t bytes = std::size_t{64} * 1024;
    std::size_t items = std::size_t{64} * 1024;
    std::size_t depth = 32;
};

// Nothing when it isn't exactly one well-formed value without binary, within the limits.
std::optional<Json> unpack(std::string_view body, const PackLimits& limits = {});
std::string pack(const Json& value);

}  // namespace walkford::protocol
