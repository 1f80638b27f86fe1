#include "coordination/cloud/machine_list_reconciler.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace walkford {

namespace {
constexpr Ms kReadInterval = 2500;
constexpr Ms kReadRetryDelay = 1000;
// A machine counts as gone if it is missing from a list whose read started more than this many list
// lags plus the margin after the machine was first listed: a list may be older than the one before
// it by up to twice the lag.
constexpr Ms kMissingLagFactor = 2;
constexpr Ms kMissingMargin = 1500;
// A machine that has not been listed this many list lags plus the margin after the leader learned
// of it does not exist.
constexpr Ms kNeverListedLagFactor = 4;
constexpr Ms kNeverListedMargin = 10000;
}  // namespace

MachineListReconciler::MachineListReconciler(LeaderContext& context, MachineRegistry& registry,
                                             MachineReleaser& releaser)
    : context_(context), registry_(registry), releaser_(releaser) {}

void MachineListReconciler::tick(Ms now) {
    if (reading_ || now < next_read_at_) {
        return;
    }
    reading_ = true;
    read_started_at_ = now;
    listed_machines_.clear();
    unreadable_names_.clear();
    all_names_known_ = true;
    request_page("");
}

void MachineListReconciler::request_page(const std::string& after) {
    CloudRequest request;
    request.operation = CloudOperation::list;
    request.after = after;
    auto handler = [this](Ms now, const CloudResponse& response) { on_page(now, response); };
    context_.controller.cloud.call(std::move(request), context_.while_leading(std::move(handler)));
}

void MachineListReconciler::on_page(Ms now, const CloudResponse& response) {
    if (response.status != CloudCallStatus::ok) {
        reading_ = false;
        next_read_at_ = now + kReadRetryDelay;
        return;
    }
    listed_machines_.insert(listed_machines_.end(), response.machines.begin(),
                            response.machines.end());
    unreadable_names_.insert(response.unreadable_names.begin(), response.unreadable_names.end());
    all_names_known_ = all_names_known_ && response.all_names_known;
    if (response.more && !response.last_name.empty()) {
        request_page(response.last_name);
        return;
    }
    all_names_known_ = all_names_known_ && !response.more;
    reading_ = false;
    next_read_at_ = now + kReadInterval;
    reconcile(now);
}

void MachineListReconciler::reconcile(Ms now) {
    bool stored = !context_.controller.replica.registry_parts.empty();
    if (!registry_.initialized() && stored) {
        return;  // the stored registry can't be read, so no machine is added or released
    }
    if (!registry_.initialized()) {
        adopt_listed_machines(now);
    }
    std::set<std::string> listed_names = apply_listed_machines(now);
    releaser_.forget_old_releases(now);
    if (!all_names_known_) {
        return;  // a machine that seems to be missing may be one whose name can't be read
    }
    const auto& machines = context_.cluster.machines;
    for (Id machine = 0; machine < machines.size(); ++machine) {
        if (!machines[machine].terminated && !listed_names.contains(machines[machine].name)) {
            handle_missing_machine(now, machine);
        }
    }
}

// Called for the first list of a cluster without a stored registry. The machines that exist at that
// point belong to this cluster and are permanent.
void MachineListReconciler::adopt_listed_machines(Ms now) {
    registry_.create();
    ClusterState& cluster = context_.cluster;
    for (const CloudMachine& listed : listed_machines_) {
        if (listed.status == CloudMachineState::failed) {
            continue;
        }
        Id machine_id = cluster.add_machine(
            listed.name, cluster.names.machine_types.intern(listed.machine_type),
            cluster.names.zones.intern(listed.zone), listed.spot, now);
        Machine& machine = cluster.machines[machine_id];
        machine.registered = true;
        machine.permanent = true;
        registry_.add_machine(
            {listed.name, machine.machine_type, machine.zone, machine.spot, true, false});
    }
    if (registry_.size() > 0) {
        registry_.set_first_scale_out_done();
    }
    spdlog::info("machine registry created with {} machines from the cloud's list, all permanent",
                 registry_.size());
    registry_.write(now);
}

// Returns the names of all listed machines, with those of which only the name can be read.
std::set<std::string> MachineListReconciler::apply_listed_machines(Ms now) {
    std::set<std::string> names = unreadable_names_;
    for (const CloudMachine& listed : listed_machines_) {
        names.insert(listed.name);
        apply_listed_machine(now, listed);
    }
    return names;
}

void MachineListReconciler::apply_listed_machine(Ms now, const CloudMachine& listed) {
    ClusterState& cluster = context_.cluster;
    Id machine_id = cluster.find_machine(listed.name);
    if (machine_id == kNone) {
        if (releaser_.released(listed.name)) {
            return;
        }
        machine_id = cluster.add_machine(listed.name,
                                         cluster.names.machine_types.intern(listed.machine_type),
                                         cluster.names.zones.intern(listed.zone), listed.spot, now);
    }
    Machine& machine = cluster.machines[machine_id];
    if (machine.address.empty()) {
        machine.address = listed.address;
    }
    if (machine.machine_type == kNone) {
        machine.machine_type = cluster.names.machine_types.intern(listed.machine_type);
    }
    machine.listing.state = listed.status;
    if (machine.listing.listed_since < 0) {
        machine.listing.listed_since = now;
        // A new leader derives the time of the request from the age that the cloud lists.
        machine.requested_at = std::min(machine.requested_at, now - to_ms(listed.age_s));
    }
    machine.listing.last_listed = now;
}

void MachineListReconciler::handle_missing_machine(Ms now, Id machine_id) {
    const Machine& machine = context_.cluster.machines[machine_id];
    Ms lag = to_ms(context_.controller.platform_settings.list_lag_s);
    bool was_listed = machine.listing.listed_since >= 0;
    // An outdated list may not show a recently listed machine yet. The machine is gone only if it
    // was first listed longer ago than a list can be outdated.
    Ms max_list_age = kMissingLagFactor * with_drift(lag) + kMissingMargin;
    if (was_listed && read_started_at_ > machine.listing.listed_since + max_list_age) {
        spdlog::info("machine {} is no longer in the cloud's list; its {} tasks are lost",
                     machine.name, machine.tasks.size());
        releaser_.remove(now, machine_id, "no longer in the cloud's list");
        return;
    }
    bool listing_overdue =
        now > machine.known_since + kNeverListedLagFactor * lag + kNeverListedMargin;
    if (!was_listed && machine.registered && !machine.worker.reported && listing_overdue) {
        releaser_.release(now, machine_id, "never appeared in the cloud's list");
    }
}

}  // namespace walkford
