#include "bookkeeping/controller_records.hpp"

#include "bookkeeping/record_field.hpp"
#include "bookkeeping/unreadable_log.hpp"

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

std::optional<std::uint32_t> decode_announcement(const Json& value, const std::string& controller) {
    try {
        return record_field<std::uint32_t>(value, kFeatureLevel);
    } catch (const RecordError& error) {
        log_unreadable("announcements in the store", controller, error.what());
        return std::nullopt;
    }
}

Json encode_relay(const RelayRecord& relay) {
    return Json{{kFencingToken, relay.fencing_token}, {kZone, relay.zone}};
}

std::optional<RelayRecord> decode_relay(const Json& value, const std::string& controller) {
    try {
        return RelayRecord{record_field<std::uint64_t>(value, kFencingToken),
                           record_field<std::string>(value, kZone)};
    } catch (const RecordError& error) {
        log_unreadable("relays in the store", controller, error.what());
        return std::nullopt;
    }
}

Json encode_leader(const LeaderRecord& leader) {
    return Json{{kController, leader.controller}, {kIncarnation, leader.incarnation}};
}

std::optional<LeaderRecord> decode_leader(const Json& value) {
    try {
        return LeaderRecord{record_field<std::string>(value, kController),
                            record_field<std::string>(value, kIncarnation)};
    } catch (const RecordError& error) {
        log_unreadable("records in the store", "leader", error.what());
        return std::nullopt;
    }
}

}  // namespace walkford
