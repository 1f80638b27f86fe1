// Requests to the cloud and its responses.
#include <spdlog/spdlog.h>

#include "protocol/field_names.hpp"
#include "protocol/json_fields.hpp"
#include "protocol/wire.hpp"

namespace walkford::protocol {

namespace fields = cloud_fields;

namespace {

// A page of the list holds up to 500 machines.
constexpr PackLimits kCloudLimits{std::size_t{1024} * 1024, std::size_t{64} * 1024, 16};

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

// Only this error says for certain that no machine was started; an outage says nothing.
bool says_no_capacity(const std::optional<Json>& document) {
    if (!document || !document->is_object() || absent(*document, fields::kError)) {
        return false;
    }
    const Json& error = (*document)[fields::kError];
    return error.is_string() && error.get<std::string>() == fields::kErrorNoCapacity;
}

MachineType decode_machine_type(const Json& entry, Names& names) {
    MachineType machine_type;
    machine_type.id = names.machine_types.intern(text_field(entry, fields::kMachineTypeName));
    machine_type.size = {decimal_field(entry, fields::kCpus), decimal_field(entry, fields::kGpus),
                         decimal_field(entry, fields::kMemoryGb)};
    machine_type.cache_gb = decimal_field(entry, fields::kImageCacheGb);
    machine_type.fetch_gb_per_s = decimal_field(entry, fields::kImageFetchGbPerS);
    machine_type.price = decimal_field(entry, fields::kPrice);
    machine_type.spot_price =
        absent(entry, fields::kSpotPrice) ? 0 : decimal_field(entry, fields::kSpotPrice);
    machine_type.boot_s = decimal_field(entry, fields::kBootS);
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
        spdlog::warn("machine status '{}' not known", state);
    }
    return CloudMachineState::running;
}

CloudMachine decode_machine(const Json& entry) {
    CloudMachine machine;
    machine.name = text_field(entry, fields::kMachineName);
    machine.address = absent(entry, fields::kAddress) ? "" : text_field(entry, fields::kAddress);
    machine.machine_type = text_field(entry, fields::kMachineType);
    machine.zone = text_field(entry, fields::kZone);
    machine.spot = bool_field(entry, fields::kSpot);
    machine.age_s = absent(entry, fields::kAgeS) ? 0 : decimal_field(entry, fields::kAgeS);
    machine.status = decode_machine_state(text_field(entry, fields::kMachineState));
    return machine;
}

// The body of a response to a request that was executed.
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
    if (response.status == CloudCallStatus::unavailable && says_no_capacity(document)) {
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
        spdlog::warn("answer of the cloud not understood: {}", error.what());
        return no_response(request.call);
    } catch (const Json::exception&) {
        spdlog::warn("answer of the cloud not understood");
        return no_response(request.call);
    }
    return response;
}

}  // namespace walkford::protocol
