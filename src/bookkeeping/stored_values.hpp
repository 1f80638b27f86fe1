// Values of the state service together with the version they were written with.
#pragma once

#include <optional>
#include <string>

#include "bookkeeping/records.hpp"

namespace walkford {

struct StoreEntry {
    std::string key;
    std::optional<Json> value;  // nothing: dropped
    std::uint64_t version = 0;
};

// A value as it stands in the state service.
struct StoredValue {
    Json value;
    std::uint64_t version = 0;
};

struct StoredJob {
    JobRecord record;
    std::uint64_t version = 0;
    std::uint64_t created_version = 0;  // the stamp it was first seen with: its age
};

}  // namespace walkford
