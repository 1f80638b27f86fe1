// Entries of the cloud's lists as the protocol's pages show them, and the decoding of such lists.
#pragma once

#include <string>
#include <vector>

#include "protocol/wire.hpp"

namespace walkford {

// An entry of the machine list with every field.
inline Json sample_machine(const std::string& name) {
    return Json{{"uid", name},     {"endpoint", "10.1.0.2:9000"}, {"build", "g8"}, {"yard", "a"},
                {"loaners", true}, {"status", "running"},         {"heldS", 61.5}};
}

// An entry of the list of machine types with every field.
inline Json sample_machine_type(const std::string& name) {
    return Json{{"name", name},       {"vcpus", 96},   {"gpus", 8},       {"ramGb", 768},
                {"cacheGb", 200},     {"price", 12.0}, {"lowPrice", 4.5}, {"readyS", 45},
                {"fetchGbPerS", 1.0}, {"yards", {"a"}}};
}

// Decodes a successful response to that operation.
inline CloudResponse decode_cloud(CloudOperation operation, const Json& body, Names& names) {
    CloudRequest request;
    request.operation = operation;
    return protocol::decode_cloud_response(request, 200, protocol::pack(body), names);
}

// Decodes a machine list that consists of one page with these entries.
inline CloudResponse decode_machine_list(const std::vector<Json>& machines) {
    Names names;
    return decode_cloud(CloudOperation::list, Json{{"walkers", machines}}, names);
}

}  // namespace walkford
