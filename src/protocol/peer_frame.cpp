#include "protocol/peer_frame.hpp"

#include <cereal/archives/portable_binary.hpp>
#include <sstream>
#include <stdexcept>

namespace walkford {

namespace {
// A text whose length is looked at before memory is asked for: a frame may claim any length.
struct ShortText {
    std::string& text;
    static constexpr cereal::size_type kMost = 512;

    template <class Archive>
    void save(Archive& archive) const {
        archive(cereal::make_size_tag(static_cast<cereal::size_type>(text.size())));
        archive(cereal::binary_data(text.data(), text.size()));
    }
    template <class Archive>
    void load(Archive& archive) {
        cereal::size_type size = 0;
        archive(cereal::make_size_tag(size));
        if (size > kMost) {
            throw std::length_error("text too long");
        }
        text.resize(static_cast<std::size_t>(size));
        archive(cereal::binary_data(text.data(), text.size()));
    }
};
}  // namespace

template <class Archive>
void serialize(Archive& archive, PeerHeartbeat& f) {
    ShortText controller{f.controller}, incarnation{f.incarnation}, echo{f.echo_incarnation},
        leader{f.leader};
    archive(controller, incarnation, f.sequence, f.echo, echo, f.fencing_token, leader,
            f.store_quiet_ms, f.up_ms, f.heartbeat_quiet_ms, f.revision);
}

namespace protocol {

namespace {
constexpr std::uint32_t kVersion = 3;
}

std::string encode_frame(const PeerHeartbeat& fact) {
    std::ostringstream s(std::ios::binary);
    {
        cereal::PortableBinaryOutputArchive archive(s);
        PeerHeartbeat copy = fact;
        archive(kVersion, copy);
    }
    std::string body = s.str();
    auto n = static_cast<std::uint32_t>(body.size());
    std::string frame;
    for (int shift = 24; shift >= 0; shift -= 8) {
        frame.push_back(static_cast<char>(n >> shift));
    }
    return frame + body;
}

std::optional<PeerHeartbeat> decode_frame(std::string_view frame) {
    if (frame.size() > kMostFrame) {
        return std::nullopt;
    }
    try {
        std::istringstream s{std::string(frame), std::ios::binary};
        cereal::PortableBinaryInputArchive archive(s);
        std::uint32_t version = 0;
        archive(version);
        if (version != kVersion) {
            return std::nullopt;
        }
        PeerHeartbeat f;
        archive(f);
        return f;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

}  // namespace protocol
}  // namespace walkford
