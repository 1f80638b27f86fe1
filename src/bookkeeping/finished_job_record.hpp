// The stored record of a job that is done or cancelled: what its user is still answered.
#pragma once

#include <cstdint>
#include <optional>

#include "bookkeeping/json.hpp"

namespace walkford {

// How a job ended.
struct EndedRecord {
    bool cancelled = false;
    std::uint32_t tasks = 0;
};

// The value that is stored for the end of a job; its id stands in the key.
Json encode_ended(const EndedRecord& ended);
// Nothing where the value is no such record.
std::optional<EndedRecord> decode_ended(const Json& value);

}  // namespace walkford
