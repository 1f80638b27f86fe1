// Encodes requests to the cloud and decodes its responses.
#include <spdlog/spdlog.h>

#include "protocol/field_names.hpp"
#include "protocol/json_fields.hpp"
#include "protocol/wire.hpp"

namespace walkford::protocol {

namespace fields = cloud_fields;

namespace {

// Large enough for a page of the machine list, which holds up to 500 machines.
constexpr UnpackLimits kCloudLimits{std::size_t{1024} * 1024, std::size_t{64} * 1024, 16};

CloudCallStatus status_of(int code) {
    switch (code) {
        case 0:
            return CloudCallStatus::no_response;
        case 200:
            return CloudCallStatus::ok;
        case 400:
            return CloudCallStatus::malformed;
        case 429:
            return CloudCallStatus::rate_limited;
        case 503:
            return CloudCallStatus::unavailable;
        default:
            return CloudCallStatus::unexpected;
    }
}

// Only this error guarantees that no machine was started. After any other 503 response, machines
// may have been started.
bool is_no_capacity_error(const std::optional<Json>& document) {
    if (!document || !document->is_object() || absent_or_null(*document, fields::kError)) {
        return false;
    }
    const Json& error = (*document)[fields::kError];
    return error.is_string() && error.get<std::string>() == fields::kErrorNoCapacity;
}

MachineType decode_machine_type(const Json& entry, Names& names) {
    MachineType machine_type;
    machine_type.id = names.machine_types.intern(string_field(entry, fields::kMachineTypeName));
    machine_type.size = {number_field(entry, fields::kCpus), number_field(entry, fields::kGpus),
                         number_field(entry, fields::kMemoryGb)};
    machine_type.cache_gb = number_field(entry, fields::kImageCacheGb);
    machine_type.fetch_gb_per_s = number_field(entry, fields::kImageFetchGbPerS);
    machine_type.price = number_field(entry, fields::kPrice);
    machine_type.spot_price =
        absent_or_null(entry, fields::kSpotPrice) ? 0 : number_field(entry, fields::kSpotPrice);
    machine_type.boot_s = number_field(entry, fields::kBootS);
    for (const Json& zone : required_field(entry, fields::kZones)) {
        machine_type.zones.push_back(names.zones.intern(zone.get<std::string>()));
    }
    return machine_type;
}

CloudMachineState decode_machine_state(const std::string& state) {
    if (state == fields::kMachineBooting) {
        return CloudMachineState::booting;
    }
    if (state == fields::kMachineFailed) {
        return CloudMachineState::failed;
    }
    if (state != fields::kMachineRunning) {
        spdlog::warn(
            "cloud reported an unknown machine status '{}'; treating the machine as running",
            state);
    }
    return CloudMachineState::running;
}

CloudMachine decode_machine(const Json& entry) {
    CloudMachine machine;
    machine.name = string_field(entry, fields::kMachineName);
    machine.address =
        absent_or_null(entry, fields::kAddress) ? "" : string_field(entry, fields::kAddress);
    machine.machine_type = string_field(entry, fields::kMachineType);
    machine.zone = string_field(entry, fields::kZone);
    machine.spot = bool_field(entry, fields::kSpot);
    machine.age_s = absent_or_null(entry, fields::kAgeS) ? 0 : number_field(entry, fields::kAgeS);
    machine.status = decode_machine_state(string_field(entry, fields::kMachineState));
    return machine;
}

// Decodes the body of a successful response.
void decode_body(const Json& body, CloudOperation operation, Names& names,
                 CloudResponse& response) {
    switch (operation) {
        case CloudOperation::list_machine_types:
            for (const Json& entry : required_field(body, fields::kMachineTypes)) {
                response.machine_types.push_back(decode_machine_type(entry, names));
            }
            break;
        case CloudOperation::scale_out:
            for (const Json& name : required_field(body, fields::kMachines)) {
                response.names.push_back(name.get<std::string>());
            }
            break;
        case CloudOperation::list:
            for (const Json& entry : required_field(body, fields::kMachines)) {
                response.machines.push_back(decode_machine(entry));
            }
            response.more = optional_flag(body, fields::kTruncated);
            break;
        case CloudOperation::scale_in:
            break;
    }
}

CloudResponse no_response(CallId call) {
    return {call, CloudCallStatus::no_response, {}, {}, {}, false};
}

}  // namespace

HttpRequest encode(const CloudRequest& request) {
    HttpRequest http;
    switch (request.operation) {
        case CloudOperation::list_machine_types:
            http.path = fields::kMachineTypesPath;
            break;
        case CloudOperation::scale_out:
            http.method = Method::post;
            http.path = fields::kScaleOutPath;
            http.body = pack(Json{{fields::kRequestName, request.request_name},
                                  {fields::kMachineType, request.machine_type},
                                  {fields::kZone, request.zone},
                                  {fields::kSpot, request.spot},
                                  {fields::kCount, request.count}});
            break;
        case CloudOperation::scale_in:
            http.method = Method::post;
            http.path = fields::kScaleInPath;
            http.body = pack(Json{{fields::kMachines, request.names}});
            break;
        case CloudOperation::list:
            http.path = fields::kListPath;
            if (!request.after.empty()) {
                http.path += fields::kAfterParameter + request.after;
            }
            break;
    }
    return http;
}

CloudResponse decode_cloud_response(const CloudRequest& request, int code, std::string_view body,
                                    Names& names) {
    CloudResponse response;
    response.call = request.call;
    response.status = status_of(code);
    if (code == 0) {
        return response;
    }
    auto document = unpack(body, kCloudLimits);
    if (response.status == CloudCallStatus::unavailable && is_no_capacity_error(document)) {
        response.status = CloudCallStatus::no_capacity;
    }
    if (code != 200 || request.operation == CloudOperation::scale_in) {
        return response;
    }
    try {
        if (!document || !document->is_object()) {
            throw DecodeError::not_a_map();
        }
        decode_body(*document, request.operation, names, response);
    } catch (const DecodeError& error) {
        spdlog::warn("cannot decode a response of the cloud: {}; treating it as no response",
                     error.what());
        return no_response(request.call);
    } catch (const Json::exception&) {
        spdlog::warn(
            "cannot decode a response of the cloud: a value has an unexpected type; treating it as "
            "no response");
        return no_response(request.call);
    }
    return response;
}

}  // namespace walkford::protocol
