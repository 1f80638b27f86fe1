// What controllers send one another: cereal frames with a version and a size limit.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "coordination/messages/inputs.hpp"

namespace walkford::protocol {

inline constexpr std::size_t kMostFrame = 4096;

// Length (4 bytes, big endian), then the frame.
std::string encode_frame(const PeerHeartbeat& fact);
std::optional<PeerHeartbeat> decode_frame(std::string_view frame);

}  // namespace walkford::protocol
