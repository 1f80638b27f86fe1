// The stored machine registry: which machines we have, permanent or temporary, and the requests for
// more machines whose response is not yet known.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "bookkeeping/json.hpp"
#include "bookkeeping/types.hpp"

namespace walkford {

// A request to the cloud for machines, written before it is sent.
struct ScaleOutRequest {
    std::string name;  // makes a repeated request idempotent
    Id machine_type = kNone;
    Id zone = kNone;
    bool spot = false;
    std::uint32_t count = 0;
    bool permanent = false;  // asks for permanent machines
};

// A machine that the cloud has given us.
struct RegisteredMachine {
    std::string name;
    Id machine_type = kNone;
    Id zone = kNone;
    bool spot = false;
    bool permanent = false;
    bool releasing = false;  // its release has been decided
};

// The registry as one small value, or one part of it where one value does not hold all machines. A
// part but the first has machines only.
struct RegistryRecord {
    std::uint64_t next_request_number = 1;
    bool first_scale_out_done = false;  // later requests are for temporary machines
    std::vector<ScaleOutRequest> scale_out_requests;
    std::vector<RegisteredMachine> machines;
};

// The value that is stored for a part of the registry.
Json encode_registry(const RegistryRecord& registry, const Names& names);
// Reads what this version and all before it have written. Nothing where the value is no such
// record. Adds machine types and zones to `names`.
std::optional<RegistryRecord> decode_registry(const Json& value, Names& names);

}  // namespace walkford
