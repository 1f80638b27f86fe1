// Frames that controllers send to each other: cereal archives with a version and a size limit.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "coordination/messages/inputs.hpp"

namespace walkford::protocol {

// The largest accepted frame, not counting its length prefix.
inline constexpr std::size_t kMaxFrameBytes = 4096;

// Encodes a frame, preceded by its length (4 bytes, big endian).
std::string encode_frame(const PeerHeartbeat& heartbeat);
// Decodes a frame without its length prefix. Returns nothing if the frame is too large, malformed
// or of another version.
std::optional<PeerHeartbeat> decode_frame(std::string_view frame);

}  // namespace walkford::protocol
