#include "bookkeeping/controller_records.hpp"

namespace walkford {

namespace {
// Fields of an announcement.
constexpr const char* kFeatureLevel = "l";

// Fields of a relay.
constexpr const char* kFencingToken = "t";
constexpr const char* kZone = "z";

// Fields of the leader's record.
constexpr const char* kController = "node";
constexpr const char* kIncarnation = "incarnation";
}  // namespace

Json encode_announcement(std::uint32_t level) { return Json{{kFeatureLevel, level}}; }

std::optional<std::uint32_t> decode_announcement(const Json& value) {
    try {
        return value.at(kFeatureLevel).get<std::uint32_t>();
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

Json encode_relay(const RelayRecord& relay) {
    return Json{{kFencingToken, relay.fencing_token}, {kZone, relay.zone}};
}

std::optional<RelayRecord> decode_relay(const Json& value) {
    try {
        return RelayRecord{value.at(kFencingToken).get<std::uint64_t>(),
                           value.at(kZone).get<std::string>()};
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

Json encode_leader(const LeaderRecord& leader) {
    return Json{{kController, leader.controller}, {kIncarnation, leader.incarnation}};
}

std::optional<LeaderRecord> decode_leader(const Json& value) {
    try {
        return LeaderRecord{value.at(kController).get<std::string>(),
                            value.at(kIncarnation).get<std::string>()};
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

}  // namespace walkford
