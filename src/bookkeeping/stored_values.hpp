// Values in the store, each with the version at which it was written.
#pragma once

#include <optional>
#include <string>

#include "bookkeeping/records.hpp"

namespace walkford {

// A key with its value, as the store lists it or reports a change of it.
struct StoreEntry {
    std::string key;
    std::optional<Json> value;  // nullopt: deleted
    std::uint64_t version = 0;
};

// A value with its version in the store.
struct StoredValue {
    Json value;
    std::uint64_t version = 0;
};

// A job record with its versions in the store.
struct StoredJob {
    JobRecord record;
    std::uint64_t version = 0;
    std::uint64_t created_version = 0;  // the first version seen, which orders jobs by age
};

}  // namespace walkford
