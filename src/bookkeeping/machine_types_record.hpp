// The stored list of the cloud's machine types, by which a new leader starts before the cloud has
// answered it.
#pragma once

#include <vector>

#include "bookkeeping/json.hpp"
#include "bookkeeping/types.hpp"

namespace walkford {

// The value that is stored for the machine types.
Json encode_machine_types(const std::vector<MachineType>& machine_types, const Names& names);
// Empty where the value is no such list. Adds machine types and zones to `names`.
std::vector<MachineType> decode_machine_types(const Json& value, Names& names);

}  // namespace walkford
