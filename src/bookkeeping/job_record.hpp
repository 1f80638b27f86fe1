// The stored record of a job that is pending or running.
#pragma once

#include <optional>
#include <string>

#include "bookkeeping/json.hpp"
#include "bookkeeping/types.hpp"

namespace walkford {

// A job as it is stored: what was submitted, and whether it has been cancelled since.
struct JobRecord {
    JobSpec spec;
    bool cancelled = false;
};

// The value that is stored for a job; its id stands in the key.
Json encode_job(const JobRecord& job, const Names& names);
// A cancelled job without what only a start would need: for a record that has grown too large to be
// written again under lower limits of the state service.
Json encode_cancelled_job(const JobSpec& spec, const Names& names);
// Nothing where the value is no job that this version can read. Adds its names to `names`.
std::optional<JobRecord> decode_job(const std::string& id, const Json& value, Names& names);

}  // namespace walkford
