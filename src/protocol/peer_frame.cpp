#include "protocol/peer_frame.hpp"

#include <cereal/archives/portable_binary.hpp>
#include <sstream>
#include <stdexcept>

#include "protocol/utf8.hpp"

namespace walkford {

namespace {
// A string whose length is checked before memory is allocated, because a malformed frame may claim
// any length. Its text must be UTF-8.
struct BoundedString {
    std::string& text;
    static constexpr cereal::size_type kMaxBytes = protocol::kMaxFrameBytes;

    template <class Archive>
    void save(Archive& archive) const {
        archive(cereal::make_size_tag(static_cast<cereal::size_type>(text.size())));
        archive(cereal::binary_data(text.data(), text.size()));
    }
    template <class Archive>
    void load(Archive& archive) {
        cereal::size_type size = 0;
        archive(cereal::make_size_tag(size));
        if (size > kMaxBytes) {
            throw std::length_error("string longer than a frame");
        }
        text.resize(static_cast<std::size_t>(size));
        archive(cereal::binary_data(text.data(), text.size()));
        if (!protocol::is_valid_utf8(text)) {
            throw std::invalid_argument("text that is not UTF-8");
        }
    }
};
}  // namespace

template <class Archive>
void serialize(Archive& archive, PeerHeartbeat& heartbeat) {
    BoundedString controller{heartbeat.controller}, incarnation{heartbeat.incarnation},
        echo{heartbeat.echo_incarnation}, leader{heartbeat.leader};
    archive(controller, incarnation, heartbeat.sequence, heartbeat.echo, echo,
            heartbeat.fencing_token, leader, heartbeat.ms_since_store_response, heartbeat.uptime_ms,
            heartbeat.ms_since_worker_heartbeat, heartbeat.revision);
}

namespace protocol {

namespace {
constexpr std::uint32_t kFrameVersion = 3;
}

std::string encode_frame(const PeerHeartbeat& heartbeat) {
    std::ostringstream stream(std::ios::binary);
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        PeerHeartbeat copy = heartbeat;  // serialize() takes a non-const reference
        archive(kFrameVersion, copy);
    }
    std::string body = stream.str();
    auto size = static_cast<std::uint32_t>(body.size());
    std::string frame;
    for (int shift = 24; shift >= 0; shift -= 8) {
        frame.push_back(static_cast<char>(size >> shift));
    }
    return frame + body;
}

std::optional<PeerHeartbeat> decode_frame(std::string_view frame) {
    if (frame.size() > kMaxFrameBytes) {
        return std::nullopt;
    }
    try {
        std::istringstream stream{std::string(frame), std::ios::binary};
        cereal::PortableBinaryInputArchive archive(stream);
        std::uint32_t version = 0;
        archive(version);
        if (version != kFrameVersion) {
            return std::nullopt;
        }
        PeerHeartbeat heartbeat;
        archive(heartbeat);
        return heartbeat;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

}  // namespace protocol
}  // namespace walkford
