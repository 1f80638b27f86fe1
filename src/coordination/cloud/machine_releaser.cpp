#include "coordination/cloud/machine_releaser.hpp"

#include <spdlog/spdlog.h>

#include <iterator>
#include <utility>

namespace walkford {

namespace {
constexpr std::size_t kMaxMachinesPerCall = 100;
constexpr Ms kRetryDelay = 1200;
// A confirmed release is remembered for this many list lags plus the margin.
constexpr Ms kRememberedLagFactor = 6;
constexpr Ms kRememberedMargin = 60000;
}  // namespace

MachineReleaser::MachineReleaser(LeaderContext& context, TaskLifecycle& lifecycle,
                                 MachineRegistry& registry, CapacityBackoff& backoff,
                                 UnregisteredMachines& unregistered)
    : context_(context),
      lifecycle_(lifecycle),
      registry_(registry),
      backoff_(backoff),
      unregistered_(unregistered) {}

void MachineReleaser::release(Ms now, Id machine_id, const char* reason) {
    Machine& machine = context_.cluster.machines[machine_id];
    if (machine.releasing || machine.terminated) {
        return;
    }
    machine.releasing = true;
    spdlog::info("releasing machine {} (type {}{}): {}", machine.name,
                 machine.machine_type == kNone
                     ? "?"
                     : context_.controller.names.machine_types.name(machine.machine_type),
                 machine.spot ? ", spot" : "", reason);
    std::string name = machine.name;
    registry_.mark_releasing(name);
    if (!machine.registered) {
        pending_releases_.insert(name);
        return;
    }
    registry_.after_write([this, name](Ms) { pending_releases_.insert(name); });
    registry_.write(now);
}

void MachineReleaser::send_due(Ms now) {
    if (call_open_ || pending_releases_.empty() || now < retry_at_) {
        return;
    }
    call_open_ = true;
    std::vector<std::string> machines;
    for (const std::string& machine : pending_releases_) {
        if (machines.size() == kMaxMachinesPerCall) {
            break;
        }
        machines.push_back(machine);
    }
    CloudRequest request;
    request.operation = CloudOperation::scale_in;
    request.names = machines;
    auto on_response = [this, machines = std::move(machines)](Ms at,
                                                              const CloudResponse& response) {
        on_release_response(at, machines, response);
    };
    context_.controller.cloud.call(std::move(request),
                                   context_.while_leading(std::move(on_response)));
}

void MachineReleaser::on_release_response(Ms now, const std::vector<std::string>& machines,
                                          const CloudResponse& response) {
    call_open_ = false;
    if (response.status != CloudCallStatus::ok) {
        retry_at_ = now + kRetryDelay;
        return;
    }
    for (const std::string& name : machines) {
        pending_releases_.erase(name);
        released_at_[name] = now;
        Id machine = context_.cluster.find_machine(name);
        if (machine != kNone) {
            remove(now, machine, "released");
        }
    }
}

void MachineReleaser::remove(Ms now, Id machine_id, const char* reason) {
    ClusterState& cluster = context_.cluster;
    std::string name = cluster.machines[machine_id].name;
    bool registered = cluster.machines[machine_id].registered;
    backoff_.clear_machine_type(cluster.machines[machine_id].machine_type);
    context_.scale_out_requested = true;
    lifecycle_.requeue_machine_tasks(machine_id, now, reason);
    cluster.forget_machine(machine_id);
    unregistered_.forget(name);
    pending_releases_.erase(name);
    if (!registered) {
        return;
    }
    registry_.remove_machine(name);
    registry_.write(now);
}

void MachineReleaser::forget_old_releases(Ms now) {
    Ms lag = to_ms(context_.controller.platform_settings.list_lag_s);
    Ms remembered_for = kRememberedLagFactor * lag + kRememberedMargin;
    std::erase_if(released_at_,
                  [&](const auto& entry) { return now > entry.second + remembered_for; });
}

}  // namespace walkford
