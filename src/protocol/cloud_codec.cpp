// Encodes requests to the cloud and decodes its responses.
#include "bookkeeping/unreadable_log.hpp"
#include "protocol/field_names.hpp"
#include "protocol/json_fields.hpp"
#include "protocol/utf8.hpp"
#include "protocol/wire.hpp"

namespace walkford::protocol {

namespace fields = cloud_fields;

namespace {

// Large enough for a page of the machine list, which holds up to 500 machines. Text that is not
// UTF-8 is replaced, so that it costs only the entry that contains it.
constexpr UnpackLimits kCloudLimits{std::size_t{1024} * 1024, std::size_t{64} * 1024, 16,
                                    InvalidText::replace};

constexpr const char* kMachineTypeList = "machine type list of the cloud";
constexpr const char* kMachineList = "machine list of the cloud";
constexpr const char* kScaleOutResponse = "scale-out response of the cloud";

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

bool is_readable_name(const Json& value) {
    return value.is_string() && !value.get_ref<const std::string&>().empty() &&
           value.get_ref<const std::string&>().find(kReplacementCharacter) == std::string::npos;
}

// Reads a name that must be the one that the cloud uses, so it must not contain replaced text.
std::string name_field(const Json& map, const char* field) {
    if (!is_readable_name(required_field(map, field))) {
        throw DecodeError::invalid(field);
    }
    return string_field(map, field);
}

// Calls `read` for each entry of a list. An entry that can't be read costs only itself: it is
// logged, and what is known of it goes into the response.
template <typename Read>
void read_entries(const Json& list, const char* source, const char* name_of_entry,
                  CloudResponse& response, Read read) {
    for (std::size_t position = 0; position < list.size(); ++position) {
        const Json& entry = list[position];
        bool named = entry.is_object() && entry.contains(name_of_entry) &&
                     is_readable_name(entry[name_of_entry]);
        std::string name = named ? entry[name_of_entry].get<std::string>() : "";
        try {
            read(entry);
        } catch (const DecodeError& error) {
            log_unreadable(source, named ? name : "#" + std::to_string(position), error.what());
            if (named) {
                response.unreadable_names.push_back(name);
            }
            response.all_names_known = response.all_names_known && named;
        }
        if (named) {
            response.last_name = std::move(name);
        }
    }
}

MachineType decode_machine_type(const Json& entry, Names& names) {
    MachineType machine_type;
    std::string name = name_field(entry, fields::kMachineTypeName);
    machine_type.size = {number_field(entry, fields::kCpus), number_field(entry, fields::kGpus),
                         number_field(entry, fields::kMemoryGb)};
    machine_type.cache_gb = number_field(entry, fields::kImageCacheGb);
    machine_type.fetch_gb_per_s = number_field(entry, fields::kImageFetchGbPerS);
    machine_type.price = number_field(entry, fields::kPrice);
    machine_type.spot_price =
        absent_or_null(entry, fields::kSpotPrice) ? 0 : number_field(entry, fields::kSpotPrice);
    machine_type.boot_s = number_field(entry, fields::kBootS);
    for (const Json& zone : list_field(entry, fields::kZones)) {
        if (!is_readable_name(zone)) {
            throw DecodeError::invalid(fields::kZones);
        }
        machine_type.zones.push_back(names.zones.intern(zone.get<std::string>()));
    }
    machine_type.id = names.machine_types.intern(name);
    return machine_type;
}

CloudMachineState decode_machine_state(const std::string& state) {
    if (state == fields::kMachineBooting) {
        return CloudMachineState::booting;
    }
    if (state == fields::kMachineFailed) {
        return CloudMachineState::failed;
    }
    if (state == fields::kMachineRunning) {
        return CloudMachineState::running;
    }
    throw DecodeError::invalid(fields::kMachineState);
}

// Reads a field without which the machine can be used all the same.
template <typename Value, typename Read>
Value read_or(const std::string& machine, Value fallback, Read read) {
    try {
        return read();
    } catch (const DecodeError& error) {
        log_unreadable(kMachineList, machine, error.what());
        return fallback;
    }
}

CloudMachine decode_machine(const Json& entry) {
    CloudMachine machine;
    machine.name = name_field(entry, fields::kMachineName);
    machine.machine_type = name_field(entry, fields::kMachineType);
    machine.zone = name_field(entry, fields::kZone);
    machine.spot = bool_field(entry, fields::kSpot);
    if (!absent_or_null(entry, fields::kAddress)) {
        machine.address = read_or(machine.name, std::string(),
                                  [&] { return name_field(entry, fields::kAddress); });
    }
    if (!absent_or_null(entry, fields::kAgeS)) {
        machine.age_s =
            read_or(machine.name, 0.0, [&] { return number_field(entry, fields::kAgeS); });
    }
    machine.status = read_or(machine.name, CloudMachineState::running, [&] {
        return decode_machine_state(string_field(entry, fields::kMachineState));
    });
    return machine;
}

// A machine whose name can't be read is left to the machine list, where it is unknown and released.
void decode_granted_names(const Json& list, CloudResponse& response) {
    for (std::size_t position = 0; position < list.size(); ++position) {
        if (is_readable_name(list[position])) {
            response.names.push_back(list[position].get<std::string>());
        } else {
            log_unreadable(kScaleOutResponse, "#" + std::to_string(position),
                           DecodeError::invalid(fields::kMachines).what());
        }
    }
}

// Decodes the body of a successful response.
void decode_body(const Json& body, CloudOperation operation, Names& names,
                 CloudResponse& response) {
    switch (operation) {
        case CloudOperation::list_machine_types:
            read_entries(list_field(body, fields::kMachineTypes), kMachineTypeList,
                         fields::kMachineTypeName, response, [&](const Json& entry) {
                             response.machine_types.push_back(decode_machine_type(entry, names));
                         });
            break;
        case CloudOperation::scale_out:
            decode_granted_names(list_field(body, fields::kMachines), response);
            break;
        case CloudOperation::list:
            read_entries(
                list_field(body, fields::kMachines), kMachineList, fields::kMachineName, response,
                [&](const Json& entry) { response.machines.push_back(decode_machine(entry)); });
            response.more = optional_flag(body, fields::kTruncated);
            break;
        case CloudOperation::scale_in:
            break;
    }
}

CloudResponse no_response(CallId call) {
    CloudResponse response;
    response.call = call;
    return response;
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
        log_unreadable("responses of the cloud", encode(request).path, error.what());
        return no_response(request.call);
    }
    return response;
}

}  // namespace walkford::protocol
