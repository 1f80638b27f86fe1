// The durable list of machines: which ones are held, permanent or temporary, and the rental
// requests whose answer is not yet known.
#pragma once

#include "bookkeeping/records.hpp"

namespace walkford {

struct ScaleOutRequest {
    std::string name;
    Id machine_type = kNone;
    Id zone = kNone;
    bool spot = false;
    std::uint32_t count = 0;
    bool permanent = false;
};
struct RegisteredMachine {
    std::string name;
    Id machine_type = kNone;
    Id zone = kNone;
    bool spot = false;
    bool permanent = false;
    bool releasing = false;
};
// The design's one small value, or one part of it where one value does not hold them all. A part
// but the first has machines only.
struct RegistryRecord {
    std::uint64_t next_request_number = 1;
    bool first_scale_out_done = false;  // a first rental has been made: later ones are temporary
    std::vector<ScaleOutRequest> scale_out_requests;
    std::vector<RegisteredMachine> machines;
};
Json encode_registry(const RegistryRecord& registry, const Names& names);
std::optional<RegistryRecord> decode_registry(const Json& value, Names& names);

}  // namespace walkford
