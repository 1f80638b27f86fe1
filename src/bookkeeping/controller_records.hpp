// The stored records that controllers write of themselves: the leader, the feature level that each
// supports, and the relays of a leader's lease. All decoders give nothing for a value that is no
// such record.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "bookkeeping/json.hpp"

namespace walkford {

// The feature level that a controller's version supports.
Json encode_announcement(std::uint32_t level);
// The announced feature level.
std::optional<std::uint32_t> decode_announcement(const Json& value);

// A controller answers the workers of a zone for the leader with that fencing token.
struct RelayRecord {
    std::uint64_t fencing_token = 0;
    std::string zone;
};
// The value that is stored for a relay; the controller's name stands in the key.
Json encode_relay(const RelayRecord& relay);
// The stored relay.
std::optional<RelayRecord> decode_relay(const Json& value);

// Who leads. The record is bound to the leader's lease: it goes when that expires.
struct LeaderRecord {
    std::string controller;
    std::string incarnation;  // of the controller's process
};
// The value that is stored for the leader.
Json encode_leader(const LeaderRecord& leader);
// The stored leader.
std::optional<LeaderRecord> decode_leader(const Json& value);

}  // namespace walkford
