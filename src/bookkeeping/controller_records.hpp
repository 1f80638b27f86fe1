// The records that controllers store about themselves: which one is the leader, the feature level
// that each supports, and which ones answer workers on the leader's behalf. Every decoder returns
// nullopt if the value is not a record of its type.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "bookkeeping/json.hpp"

namespace walkford {

// Returns the value stored for the feature level that a controller's version supports.
Json encode_announcement(std::uint32_t level);
// Returns the announced feature level, or nullopt if the value is not such a record; then logs the
// field. `controller`: for the log line.
std::optional<std::uint32_t> decode_announcement(const Json& value,
                                                 const std::string& controller = "");

// States that a controller answers the workers of a zone on behalf of the leader that holds this
// fencing token.
struct RelayRecord {
    std::uint64_t fencing_token = 0;
    std::string zone;
};
// Returns the value stored for a relay. The controller's name is part of the key, not of the value.
Json encode_relay(const RelayRecord& relay);
// Returns the stored relay, or nullopt if the value is not such a record; then logs the field.
// `controller`: for the log line.
std::optional<RelayRecord> decode_relay(const Json& value, const std::string& controller = "");

// Identifies the leader. The record is attached to the leader's lease: the store deletes it when
// the lease expires.
struct LeaderRecord {
    std::string controller;
    std::string incarnation;  // of the controller's process
};
// Returns the value stored for the leader.
Json encode_leader(const LeaderRecord& leader);
// Returns the stored leader, or nullopt if the value is not such a record; then logs the field.
std::optional<LeaderRecord> decode_leader(const Json& value);

}  // namespace walkford
