#include "coordination/cloud/cloud_manager.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace walkford {

CloudManager::CloudManager(LeaderContext& context, TaskLifecycle& lifecycle)
    : context_(context),
      registry_(context),
      releaser_(context, lifecycle, registry_, backoff_, unregistered_),
      scale_out_(context, registry_, releaser_, backoff_, unregistered_),
      machine_list_(context, registry_, releaser_),
      health_watch_(context, registry_, releaser_, unregistered_),
      machine_types_(context) {}

void CloudManager::load(Ms now) {
    if (context_.controller.replica.registry_parts.empty()) {
        return;
    }
    if (!registry_.load()) {
        spdlog::error(
            "the stored machine registry can't be read; no machines are requested or released in "
            "this leader term");
        return;
    }
    for (const RegisteredMachine& registered : registry_.machines()) {
        load_machine(now, registered);
    }
    scale_out_.resume(now);
}

void CloudManager::load_machine(Ms now, const RegisteredMachine& registered) {
    ClusterState& cluster = context_.cluster;
    Id machine_id = cluster.add_machine(registered.name, registered.machine_type, registered.zone,
                                        registered.spot, now);
    Machine& machine = cluster.machines[machine_id];
    machine.registered = true;
    machine.registration_durable = true;
    machine.permanent = registered.permanent;
    machine.releasing = registered.releasing;
    if (registered.releasing) {
        releaser_.resume_release(registered.name);
    }
}

void CloudManager::tick(Ms now) {
    if (!context_.holds_lease) {
        return;
    }
    registry_.write(now);
    machine_types_.tick(now);
    machine_list_.tick(now);
    scale_out_.retry_due(now);
    releaser_.send_due(now);
    health_watch_.tick(now, scale_out_.retries_pending());
}

bool CloudManager::request_machines(Ms now, Id machine_type, Id zone, bool spot,
                                    std::uint32_t count, bool permanent,
                                    const std::string& reason) {
    return scale_out_.request(now, {machine_type, zone, spot}, count, permanent, reason);
}

bool CloudManager::can_request(Id machine_type, Id zone, bool spot, Ms now) const {
    return scale_out_.can_request({machine_type, zone, spot}, now);
}

bool CloudManager::first_scale_out_done() const {
    const auto& requests = registry_.scale_out_requests();
    return registry_.first_scale_out_done() ||
           std::any_of(requests.begin(), requests.end(),
                       [](const ScaleOutRequest& request) { return request.permanent; });
}

}  // namespace walkford
