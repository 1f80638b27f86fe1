// The stored machine registry: the machines obtained from the cloud, permanent or temporary, and
// the scale-out requests whose response is not known yet.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "bookkeeping/json.hpp"
#include "bookkeeping/types.hpp"

namespace walkford {

// A request to the cloud for machines, which is stored before it is sent.
struct ScaleOutRequest {
    std::string name;  // makes a repeated request idempotent
    Id machine_type = kNone;
    Id zone = kNone;
    bool spot = false;
    std::uint32_t count = 0;
    bool permanent = false;  // asks for permanent machines
};

// A machine that the cloud has provided.
struct RegisteredMachine {
    std::string name;
    Id machine_type = kNone;
    Id zone = kNone;
    bool spot = false;
    bool permanent = false;
    bool releasing = false;  // its release has been decided
};

// The whole registry, or one part of it if a single stored value can't hold all machines. Parts
// other than the first contain machines only.
struct RegistryRecord {
    std::uint64_t next_request_number = 1;
    bool first_scale_out_done = false;  // later requests are for temporary machines
    std::vector<ScaleOutRequest> scale_out_requests;
    std::vector<RegisteredMachine> machines;
};

// Returns the value stored for a part of the registry.
Json encode_registry(const RegistryRecord& registry, const Names& names);
// Reads records written by this version and by all earlier ones. Returns nullopt if the value is
// not such a record, and logs the field. Adds the names of machine types and zones to `names`.
// `key`: of the record, for the log line.
std::optional<RegistryRecord> decode_registry(const Json& value, Names& names,
                                              const std::string& key = "");

}  // namespace walkford
