// The stored record of a job that is pending or running.
#pragma once

#include <optional>
#include <string>

#include "bookkeeping/json.hpp"
#include "bookkeeping/types.hpp"

namespace walkford {

// A job as it is stored: the submitted specification, and whether it has been cancelled since.
struct JobRecord {
    JobSpec spec;
    bool cancelled = false;
};

// Returns the value stored for a job. The job's id is part of the key, not of the value.
Json encode_job(const JobRecord& job, const Names& names);
// Returns the value stored for a cancelled job, without the fields that are needed only to start
// tasks. It is for a record that exceeds the store's size limit because the limit has been lowered
// since the record was written.
Json encode_cancelled_job(const JobSpec& spec, const Names& names);
// Returns nullopt if the value is not a job that this version can read. Adds the names in the
// record to `names`.
std::optional<JobRecord> decode_job(const std::string& id, const Json& value, Names& names);

}  // namespace walkford
