// The stored record of a job that is done or cancelled, from which requests for the job's status
// are still answered.
#pragma once

#include <cstdint>
#include <optional>

#include "bookkeeping/json.hpp"

namespace walkford {

// How a job ended.
struct FinishedJobRecord {
    bool cancelled = false;
    std::uint32_t tasks = 0;
};

// Returns the value stored for a finished job. The job's id is part of the key, not of the value.
Json encode_finished_job(const FinishedJobRecord& ended);
// Returns nullopt if the value is not such a record, and logs the field. `id`: the job's, for the
// log line.
std::optional<FinishedJobRecord> decode_finished_job(const Json& value, const std::string& id = "");

}  // namespace walkford
