// The frames that controllers send one another: cereal archives with a version and a size limit.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "coordination/messages/inputs.hpp"

namespace walkford::protocol {

// The largest frame that is accepted, without its length.
inline constexpr std::size_t kMaxFrameBytes = 4096;

// The frame behind its length (4 bytes, big endian).
std::string encode_frame(const PeerHeartbeat& heartbeat);
// Decodes a frame without its length. Nothing where it is too large, malformed or of another
// version.
std::optional<PeerHeartbeat> decode_frame(std::string_view frame);

}  // namespace walkford::protocol
