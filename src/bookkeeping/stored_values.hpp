// Values of the state service together with the version they were written with.
#pragma once

#include <optional>
#include <string>

#include "bookkeeping/records.hpp"

namespace walkford {

// A key with its value, as the state service lists it or reports its change.
struct StoreEntry {
    std::string key;
    std::optional<Json> value;  // nothing: deleted
    std::uint64_t version = 0;
};

// A value as it stands in the state service.
struct StoredValue {
    Json value;
    std::uint64_t version = 0;
};

// A job's record as it stands in the state service.
struct StoredJob {
    JobRecord record;
    std::uint64_t version = 0;
    std::uint64_t created_version = 0;  // the first version seen: the age of the job
};

}  // namespace walkford
