// Calls to the cloud and its answers.
#include <spdlog/spdlog.h>

#include "protocol/wire.hpp"
#include "protocol/wire_fields.hpp"

namespace walkford::protocol {

namespace {
constexpr PackLimits kCloudLimits{std::size_t{1024} * 1024, std::size_t{64} * 1024, 16};
}

HttpCall encode(const CloudRequest& c) {
    HttpCall h;
    switch (c.operation) {
        case CloudOperation::list_machine_types:
            h.path = "/flavors";
            break;
        case CloudOperation::scale_out:
            h.method = Method::post;
            h.path = "/machines";
            h.body = pack(Json{{"hire", c.request_name},
                               {"build", c.machine_type},
                               {"yard", c.zone},
                               {"loaners", c.spot},
                               {"howMany", c.count}});
            break;
        case CloudOperation::scale_in:
            h.method = Method::post;
            h.path = "/machines/return";
            h.body = pack(Json{{"walkers", c.names}});
            break;
        case CloudOperation::list:
            h.path = "/machines?most=500";
            if (!c.after.empty()) {
                h.path += "&after=" + c.after;
            }
            break;
    }
    return h;
}

namespace {
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
}  // namespace

CloudResponse decode_cloud(const CloudRequest& c, int code, std::string_view body, Names& names) {
    CloudResponse r;
    r.call = c.call;
    r.status = status_of(code);
    if (code == 0) {
        return r;
    }
    auto doc = unpack(body, kCloudLimits);
    if (code == 503 && doc && doc->is_object() && !absent(*doc, "error")) {
        // Only this answer says surely that nothing was rented; an outage says nothing.
        const Json& e = (*doc)["error"];
        if (e.is_string() && e.get<std::string>() == "no capacity") {
            r.status = CloudCallStatus::no_capacity;
        }
    }
    if (code != 200) {
        return r;
    }
    if (c.operation == CloudOperation::scale_in) {
        return r;
    }
    try {
        if (!doc || !doc->is_object()) {
            throw BadField{"not a map"};
        }
        const Json& b = *doc;
        if (c.operation == CloudOperation::list_machine_types) {
            for (const Json& k : need(b, "builds")) {
                MachineType machine_type;
                machine_type.id = names.machine_types.intern(text(k, "name"));
                machine_type.size = {decimal(k, "vcpus"), decimal(k, "gpus"), decimal(k, "ramGb")};
                machine_type.cache_gb = decimal(k, "cacheGb");
                machine_type.fetch_gb_per_s = decimal(k, "fetchGbPerS");
                machine_type.price = decimal(k, "price");
                machine_type.spot_price = absent(k, "lowPrice") ? 0 : decimal(k, "lowPrice");
                machine_type.boot_s = decimal(k, "readyS");
                for (const Json& z : need(k, "yards")) {
                    machine_type.zones.push_back(names.zones.intern(z.get<std::string>()));
                }
                r.machine_types.push_back(std::move(machine_type));
            }
        } else if (c.operation == CloudOperation::scale_out) {
            for (const Json& n : need(b, "walkers")) {
                r.names.push_back(n.get<std::string>());
            }
        } else {
            for (const Json& w : need(b, "walkers")) {
                CloudMachine m;
                m.name = text(w, "uid");
                m.address = absent(w, "endpoint") ? "" : text(w, "endpoint");
                m.machine_type = text(w, "build");
                m.zone = text(w, "yard");
                m.spot = truth(w, "loaners");
                m.age_s = absent(w, "heldS") ? 0 : decimal(w, "heldS");
                std::string status = text(w, "status");
                if (status == "booting") {
                    m.status = CloudMachineState::booting;
                } else if (status == "failed") {
                    m.status = CloudMachineState::failed;
                } else {
                    if (status != "running") {
                        spdlog::warn("machine status '{}' not known", status);
                    }
                    m.status = CloudMachineState::running;
                }
                r.machines.push_back(std::move(m));
            }
            r.more = !absent(b, "truncated") && b["truncated"].is_boolean() &&
                     b["truncated"].get<bool>();
        }
    } catch (const BadField& e) {
        spdlog::warn("answer of the cloud not understood: {}", e.what);
        r = CloudResponse{c.call, CloudCallStatus::no_response, {}, {}, {}, false};
    } catch (const Json::exception&) {
        spdlog::warn("answer of the cloud not understood");
        r = CloudResponse{c.call, CloudCallStatus::no_response, {}, {}, {}, false};
    }
    return r;
}

}  // namespace walkford::protocol
